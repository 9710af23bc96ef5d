"""Prometheus metrics of one process, in a separate registry.

The library is loaded when the metrics are first read. Until then, changes are
recorded, so that the start of a process does not wait for its import.
"""

from collections.abc import Callable
from typing import Any, final

__all__ = ('CONTENT_TYPE', 'DeferredMetric', 'Metrics')

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
# Recorded changes of one metric after which the library is loaded even if
# nobody reads the metrics; bounds the memory for them.
_MAX_CHANGES = 2000
_Labels = tuple[str, ...]


@final
class MetricChanges:
    """Records changes of a metric with given labels.

    Args:
        metric: The metric.
        labels: Values of its labels.
    """

    __slots__ = ('_labels', '_metric')

    def __init__(self, metric: 'DeferredMetric', labels: _Labels) -> None:
        self._metric = metric
        self._labels = labels

    def inc(self, amount: float = 1) -> None:
        """Increase a counter or gauge."""
        self._metric.change(self._labels, 'inc', amount)

    def set(self, amount: float) -> None:
        """Set a gauge."""
        self._metric.change(self._labels, 'set', amount)

    def observe(self, amount: float) -> None:
        """Add an observation to a histogram."""
        self._metric.change(self._labels, 'observe', amount)

    def __getattr__(self, name: str) -> Any:
        """Load the library for any other use."""
        return getattr(self._metric.resolve(self._labels), name)


@final
class DeferredMetric:
    """A metric of the library, or its changes until the library is loaded.

    Args:
        metrics: Metrics of the process.
        kind: Name of the library's class.
        definition: Arguments of the class.
    """

    __slots__ = ('_changes', '_definition', '_kind', '_metric', '_metrics')

    def __init__(
        self, metrics: 'Metrics', kind: str, definition: dict[str, Any]
    ) -> None:
        self._metrics = metrics
        self._kind = kind
        self._definition = definition
        self._changes: list[tuple[_Labels, str, Any]] = []
        self._metric: Any = None

    def labels(self, *labels: str) -> Any:
        """Return the metric with the given values of its labels."""
        if self._metric is not None:
            return self._metric.labels(*labels)
        return MetricChanges(self, labels)

    def inc(self, amount: float = 1) -> None:
        """Increase a counter or gauge without labels."""
        self.change((), 'inc', amount)

    def set_function(self, sample: Callable[[], float]) -> None:
        """Call ``sample`` for the value of a gauge without labels."""
        self.change((), 'set_function', sample)

    def clear(self) -> None:
        """Remove all label values."""
        self._changes.clear()
        if self._metric is not None:
            self._metric.clear()

    def change(self, labels: _Labels, method: str, argument: Any) -> None:
        """Call a method of the library's class, now or once it is loaded."""
        if self._metric is not None:
            getattr(self.resolve(labels), method)(argument)
            return
        self._changes.append((labels, method, argument))
        if len(self._changes) >= _MAX_CHANGES:
            self._metrics.load()

    def load(self, library: Any, registry: Any) -> None:
        """Create the library's object and apply the recorded changes."""
        create = getattr(library, self._kind)
        self._metric = create(
            namespace=_NAMESPACE, registry=registry, **self._definition
        )
        for labels, method, argument in self._changes:
            getattr(self.resolve(labels), method)(argument)
        self._changes.clear()

    def resolve(self, labels: _Labels) -> Any:
        """Return the library's object with the given values of its labels."""
        self._metrics.load()
        return self._metric.labels(*labels) if labels else self._metric


@final
class Metrics:
    """Creates and renders the metrics of one process."""

    __slots__ = ('_library', '_metrics', '_registry')

    def __init__(self) -> None:
        self._library: Any = None
        self._registry: Any = None
        self._metrics: list[DeferredMetric] = []

    def counter(
        self,
        name: str,
        description: str,
        labels: _Labels = (),
    ) -> DeferredMetric:
        """Create a counter."""
        return self._create('Counter', name, description, labels)

    def gauge(
        self,
        name: str,
        description: str,
        labels: _Labels = (),
    ) -> DeferredMetric:
        """Create a gauge."""
        return self._create('Gauge', name, description, labels)

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
        labels: _Labels = (),
    ) -> DeferredMetric:
        """Create a histogram of latencies in seconds."""
        return self._create(
            'Histogram', name, description, labels, buckets=_LATENCY_BUCKETS_S
        )

    def load(self) -> None:
        """Load the library, unless it has been loaded."""
        if self._library is not None:
            return
        import prometheus_client  # noqa: WPS433

        self._library = prometheus_client
        self._registry = prometheus_client.CollectorRegistry(
            auto_describe=False
        )
        for metric in self._metrics:
            metric.load(self._library, self._registry)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.load()
        return self._library.generate_latest(self._registry)

    def _create(
        self,
        kind: str,
        name: str,
        description: str,
        labels: _Labels,
        **further: Any,
    ) -> DeferredMetric:
        definition = {
            'name': name,
            'documentation': description,
            'labelnames': labels,
            **further,
        }
        metric = DeferredMetric(self, kind, definition)
        self._metrics.append(metric)
        if self._library is not None:
            metric.load(self._library, self._registry)
        return metric
