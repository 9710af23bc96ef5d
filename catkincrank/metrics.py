"""Prometheus metrics of one process, in a separate registry."""

from collections.abc import Callable
from typing import final

from prometheus_client.core import CollectorRegistry
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics import Counter, Gauge, Histogram

__all__ = ('CONTENT_TYPE', 'Metrics')

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
_NAMESPACE = 'catkincrank'
_LATENCY_BUCKETS_S = (
    0.001,
    0.003,
    0.01,
    0.03,
    0.1,
    0.3,
    1,
    3,
    10,
    30,
)


@final
class Metrics:
    """Creates and renders the metrics of one process."""

    __slots__ = ('registry',)

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)

    def counter(
        self,
        name: str,
        description: str,
        labels: tuple[str, ...] = (),
    ) -> Counter:
        """Create a counter."""
        return Counter(
            name,
            description,
            labels,
            namespace=_NAMESPACE,
            registry=self.registry,
        )

    def gauge(
        self,
        name: str,
        description: str,
        labels: tuple[str, ...] = (),
    ) -> Gauge:
        """Create a gauge."""
        return Gauge(
            name,
            description,
            labels,
            namespace=_NAMESPACE,
            registry=self.registry,
        )

    def watch(
        self,
        name: str,
        description: str,
        sample: Callable[[], float],
    ) -> None:
        """Create a gauge that calls ``sample`` for its value at each scrape."""
        self.gauge(name, description).set_function(sample)

    def histogram(
        self,
        name: str,
        description: str,
        labels: tuple[str, ...] = (),
    ) -> Histogram:
        """Create a histogram of latencies in seconds."""
        return Histogram(
            name,
            description,
            labels,
            namespace=_NAMESPACE,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
