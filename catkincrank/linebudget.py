"""Limit on the rate of log lines."""

from typing import final

__all__ = ('LineBudget',)

# Enough for a second in which each request fails, at the users' load of 30
# requests per second and VM, and for a burst of ten times that.
_LINES_PER_S = 50
_BURST_LINES = 300


@final
class LineBudget:
    """Token bucket for log lines.

    Args:
        rate: Tokens added per second, one for each line.
        burst: Capacity of the bucket, in lines.

    Attributes:
        dropped: Lines dropped since the count was last reset.
    """

    __slots__ = ('_balance', '_burst', '_rate', '_updated_at', 'dropped')

    def __init__(
        self,
        rate: float = _LINES_PER_S,
        burst: float = _BURST_LINES,
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._balance = burst
        self._updated_at: float = 0
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Take a token for one line; return whether there was one."""
        earned = (now - self._updated_at) * self._rate
        self._balance = min(self._burst, self._balance + earned)
        self._updated_at = now
        if self._balance < 1:
            self.dropped += 1
            return False
        self._balance -= 1
        return True

    def reset_dropped(self) -> int:
        """Return the number of dropped lines and reset it."""
        dropped = self.dropped
        self.dropped = 0
        return dropped
