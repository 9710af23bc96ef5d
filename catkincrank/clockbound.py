"""Bounds on the offset of another process's clock, from echoed stamps.

The subscriber stamps its requests with its own clock. The publisher echoes the
newest stamp together with its arrival time on the publisher's clock. The stamp
was made no later than it arrived, so stamp minus arrival never exceeds the
true offset between the clocks, however long the message took.
"""

from collections import deque
from typing import final

__all__ = ('ClockBound',)

_WINDOW_S = 30.0
_MAX_DRIFT_RATE = 0.0002


@final
class ClockBound:
    """Translates times of one publisher to this process's clock.

    A translated time is never later than the true one, so ages computed from
    it are never too small.
    """

    __slots__ = ('_bounds', '_source')

    def __init__(self) -> None:
        self._source = ''
        self._bounds: deque[tuple[float, float]] = deque()

    def record(
        self,
        source: str,
        stamp: float,
        arrived_at: float,
        now: float,
    ) -> None:
        """Add an echoed ``stamp`` that ``source`` got at ``arrived_at``."""
        if source != self._source:
            self._source = source
            self._bounds.clear()
        difference = stamp - arrived_at
        while self._bounds and self._decay(self._bounds[-1], now) <= difference:
            self._bounds.pop()
        self._bounds.append((stamp, difference))
        while self._bounds[0][0] < now - _WINDOW_S:
            self._bounds.popleft()

    def translate(self, taken_at: float, now: float) -> float:
        """Return a time on this clock no later than ``taken_at`` was.

        A translated time in the future shows that one of the clocks was
        stopped meanwhile, so the older bounds are dropped.
        """
        while len(self._bounds) > 1:
            translated = taken_at + self._decay(self._bounds[0], now)
            if translated <= now:
                return translated
            self._bounds.popleft()
        if not self._bounds:
            return float('-inf')
        return min(taken_at + self._decay(self._bounds[0], now), now)

    def _decay(self, bound: tuple[float, float], now: float) -> float:
        """Return the offset of ``bound``, lowered by the possible drift."""
        made_at, difference = bound
        return difference - _MAX_DRIFT_RATE * max(0, now - made_at)
