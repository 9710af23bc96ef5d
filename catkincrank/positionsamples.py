"""Sampled log positions of a group's primaries, which bound data age."""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from typing import final

from catkincrank.history import Containment, History, LogMark

__all__ = ('PositionSample', 'PositionSamples')

_CAPACITY = 1024


@final
@dataclass(frozen=True, slots=True)
class PositionSample:
    """A primary's log position, sampled at ``taken_at`` or later.

    Attributes:
        taken_at: Lower bound of the sample's time, in seconds.
        mark: The primary's term and position.
    """

    taken_at: float
    mark: LogMark


@final
class PositionSamples:
    """The newest position samples of one group.

    Times and marks both rise along the log. A sample with a later time and a
    lower mark than another gives the tighter bound, and replaces it.

    Args:
        capacity: How many samples are kept; the oldest are dropped first.
    """

    __slots__ = ('_capacity', '_marks', '_times')

    def __init__(self, capacity: int = _CAPACITY) -> None:
        self._capacity = capacity
        self._times: list[float] = []
        self._marks: list[LogMark] = []

    def add(self, taken_at: float, mark: LogMark) -> None:
        """Add a sample unless one that is kept gives as tight a bound."""
        index_after = bisect_right(self._marks, mark)
        if index_after and self._times[index_after - 1] >= taken_at:
            return
        first = bisect_left(self._marks, mark)
        last = max(first, bisect_right(self._times, taken_at))
        self._times = [*self._times[:first], taken_at, *self._times[last:]]
        self._marks = [*self._marks[:first], mark, *self._marks[last:]]
        if len(self._times) > self._capacity:
            self._times.pop(0)
            self._marks.pop(0)

    def find(self, history: History, replayed: int) -> PositionSample | None:
        """Return the newest sample that a replica's data cover.

        Args:
            history: The replica's history.
            replayed: Position up to which it has replayed the log.
        """
        index_after = bisect_right(self._marks, LogMark(history.term, replayed))
        for index in range(index_after - 1, -1, -1):
            mark = self._marks[index]
            if mark.position > replayed:
                continue
            if history.locate(mark) is Containment.HELD:
                return PositionSample(self._times[index], mark)
        return None
