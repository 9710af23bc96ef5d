"""Counts links to endpoints by how requests obtained them."""

from typing import final

import anyio

from catkincrank.logs import log_event
from catkincrank.metrics import Metrics

__all__ = ('LinkCounter',)

# Interval of the log line. Links may be evicted many times a second.
_LOG_INTERVAL_S = 60.0
_EVICTED = 'evicted'


@final
class LinkCounter:
    """Counts links that were opened, reused, or evicted.

    Args:
        metrics: Metrics of the process.
    """

    __slots__ = ('_counts', '_links', '_logged_at')

    def __init__(self, metrics: Metrics) -> None:
        self._links = metrics.counter(
            'links',
            'Links to endpoints that were opened, reused, or evicted.',
            ('event',),
        )
        self._counts: dict[str, int] = {}
        self._logged_at: float | None = None

    def count(self, event: str) -> None:
        """Count one event; evictions are logged once a minute."""
        self._links.labels(event).inc()
        self._counts[event] = self._counts.get(event, 0) + 1
        if event == _EVICTED:
            self._log(anyio.current_time())

    def _log(self, now: float) -> None:
        if self._logged_at is not None:
            if now < self._logged_at + _LOG_INTERVAL_S:
                return
        self._logged_at = now
        log_event('links_evicted', **self._counts)
        self._counts = {}
