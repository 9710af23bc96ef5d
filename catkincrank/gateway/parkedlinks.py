"""Raises the limit of a pool by its links that are idle in transactions.

An endpoint runs and queues a limited number of statements and refuses more, so
pools limit their links to that number. A parked link, one in a transaction
whose caller pauses, puts no load on the endpoint, so that another link may be
opened in its place.
"""

from typing import final

from catkincrank.gateway.carriers import ConnectionShare

__all__ = ('ParkedLinks',)

# Links opened in place of parked ones are kept this long: pauses in
# transactions are shorter, and opening a link costs the endpoint 12 ms.
_PEAK_HOLD_S = 1.0


@final
class ParkedLinks:
    """Counts the links of one pool that are idle in transactions.

    Args:
        share: Links that the pool may hold.

    Attributes:
        share: Links that the pool may hold.
    """

    __slots__ = ('_count', '_peak', '_peak_until', 'share')

    def __init__(self, share: ConnectionShare) -> None:
        self.share = share
        self._count = 0
        self._peak = 0
        self._peak_until: float = 0

    def park(self, now: float) -> int:
        """Count a link as parked; return the new limit of the pool."""
        self._count += 1
        if self._count >= self._peak or now >= self._peak_until:
            self._peak = self._count
            self._peak_until = now + _PEAK_HOLD_S
        return self.limit(now)

    def unpark(self) -> None:
        """Count a link as in use again or closed."""
        self._count -= 1

    def limit(self, now: float) -> int:
        """Return how many links the pool may hold."""
        parked = self._count
        if now < self._peak_until:
            parked = max(parked, self._peak)
        return min(self.share.max_open, self.share.limit + parked)
