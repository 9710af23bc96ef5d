"""Token bucket whose rate and capacity may change."""

from typing import final

__all__ = ('TokenBucket',)


@final
class TokenBucket:
    """Tokens that accrue at a rate up to a capacity.

    Args:
        updated_at: Time from which tokens accrue, in seconds.
        rate: Tokens added per second.
        capacity: Most tokens that it holds.
        tokens: Tokens at the start.

    Attributes:
        rate: Tokens added per second.
        capacity: Most tokens that it holds.
        tokens: Tokens at the last update.
    """

    __slots__ = ('_updated_at', 'capacity', 'rate', 'tokens')

    def __init__(
        self,
        updated_at: float,
        rate: float = 0,
        capacity: float = 0,
        tokens: float = 0,
    ) -> None:
        self._updated_at = updated_at
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(tokens, capacity)

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last update."""
        if now > self._updated_at:
            earned = (now - self._updated_at) * self.rate
            self.tokens = min(self.capacity, self.tokens + earned)
            self._updated_at = now

    def take(self, now: float, count: int = 1) -> int:
        """Take up to ``count`` whole tokens and return their number."""
        self.refill(now)
        taken = min(count, int(self.tokens))
        self.tokens -= taken
        return taken

    def reshape(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity; tokens above the capacity are lost."""
        self.refill(now)
        self.rate = max(0, rate)
        self.capacity = max(0, capacity)
        self.tokens = min(self.tokens, self.capacity)
