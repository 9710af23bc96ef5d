"""Lets links that rest in open transactions not count as busy.

An endpoint queues statements beyond a few and refuses more, so links are kept
to what it can have in hand. A link in a transaction whose caller pauses gives
the endpoint no work; another one may be opened for it.
"""

from typing import final

from catkincrank.gateway.carriers import Share

__all__ = ('ParkedLinks',)

# Links opened for parked ones are kept this long, in seconds: pauses in
# transactions are shorter, and opening costs the endpoint 12 ms.
_KEEP_S = 1.0


@final
class ParkedLinks:
    """Links of one pool that rest in transactions.

    Args:
        share: Links that the pool may hold.

    Attributes:
        share: Links that the pool may hold.
    """

    __slots__ = ('_count', '_peak', '_peak_until', 'share')

    def __init__(self, share: Share) -> None:
        self.share = share
        self._count = 0
        self._peak = 0
        self._peak_until: float = 0

    def park(self, now: float) -> int:
        """Note that a link rests; return the limit of the pool."""
        self._count += 1
        if self._count >= self._peak or now >= self._peak_until:
            self._peak = self._count
            self._peak_until = now + _KEEP_S
        return self.limit(now)

    def unpark(self) -> None:
        """Note that a link is used again, or gone."""
        self._count -= 1

    def limit(self, now: float) -> int:
        """Return how many links the pool may hold."""
        resting = self._count
        if now < self._peak_until:
            resting = max(resting, self._peak)
        return min(self.share.most, self.share.limit + resting)
