"""Counts the outcomes of a proxy's requests, by group."""

from collections import Counter
from typing import final

from catkincrank.metrics import Metrics
from catkincrank.request import Access

__all__ = ('Tally',)


@final
class Tally:
    """Counts outcomes of requests.

    Attributes:
        served: Answers by group, access and endpoint.
        failed: Errors by group and SQLSTATE.
    """

    __slots__ = ('failed', 'served')

    def __init__(self) -> None:
        self.served: Counter[tuple[str, Access, str]] = Counter()
        self.failed: Counter[tuple[str, str]] = Counter()

    def count_served(self, group: str, access: Access, endpoint: str) -> None:
        """Count a request that an endpoint answered."""
        self.served[group, access, endpoint] += 1

    def count_failed(self, group: str, sqlstate: str) -> None:
        """Count an error that was returned to a caller."""
        self.failed[group, sqlstate] += 1

    def total(self, access: Access) -> int:
        """Return the number of answered requests of one kind."""
        return sum(
            count
            for (_, counted, _), count in self.served.items()
            if counted is access
        )

    def expose(self, metrics: Metrics) -> None:
        """Expose the totals as metrics."""
        for access in Access:
            metrics.watch(
                '{0}s_served'.format(access.value),
                'Requests for a {0} that an endpoint answered.'.format(
                    access.value,
                ),
                _Total(self, access),
            )
        metrics.watch(
            'requests_failed',
            'Requests that ended with an error.',
            self.failed.total,
        )


@final
class _Total:
    """Computes one total at each scrape."""

    __slots__ = ('_access', '_tally')

    def __init__(self, tally: Tally, access: Access) -> None:
        self._tally = tally
        self._access = access

    def __call__(self) -> float:
        return self._tally.total(self._access)
