"""Metrics of one process, in a registry of its own."""

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
    """Makes the metrics of one process and renders them."""

    __slots__ = ('registry',)

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)

    def counter(
        self,
        name: str,
        description: str,
        labels: tuple[str, ...] = (),
    ) -> Counter:
        """Return a new counter."""
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
        """Return a new gauge."""
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
        """Add a gauge whose value ``sample`` returns at each scrape."""
        self.gauge(name, description).set_function(sample)

    def histogram(
        self,
        name: str,
        description: str,
        labels: tuple[str, ...] = (),
    ) -> Histogram:
        """Return a new histogram of latencies in seconds."""
        return Histogram(
            name,
            description,
            labels,
            namespace=_NAMESPACE,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )

    def render(self) -> bytes:
        """Return all metrics in the text form that Prometheus reads."""
        return generate_latest(self.registry)
