"""Commits that reads are required to see."""

from bisect import bisect_right
from collections import defaultdict
from itertools import accumulate
from typing import final

from benchmarks.soak.history import Attempt, History
from catkincrank.gateway.position import Position

__all__ = ('STALENESS_S', 'Commits')

# Staleness that `make_config` of the trial allows, in seconds, by consistency
# type of the route.
STALENESS_S = {  # noqa: WPS407
    'primary': 0,
    'bounded_staleness': 1.5,
    'read_your_writes': 1.5,
}
_READ_YOUR_WRITES = 'read_your_writes'
_NO_POSITION = Position(0, 0)


@final
class Commits:
    """Acknowledged commits that no promotion rolled back."""

    def __init__(self, history: History) -> None:
        found = [
            (attempt.answered_at, attempt.session, run.position)
            for attempt, run in history.list_commits()
            if not history.is_rolled_back(run.position)
        ]
        found.sort()
        self._all = _PositionTimeline(
            [(at, committed) for at, _, committed in found]
        )
        by_session: dict[int, list[tuple[float, Position]]] = defaultdict(list)
        for at, owner, committed in found:
            by_session[owner].append((at, committed))
        self._own = {
            session: _PositionTimeline(positions)
            for session, positions in by_session.items()
        }

    def find_required(self, attempt: Attempt) -> Position:
        """Return the position that a read is required to see."""
        age_s = STALENESS_S[attempt.consistency]
        required = self._all.find_highest(attempt.began_at - age_s)
        own = self._own.get(attempt.session)
        if attempt.consistency == _READ_YOUR_WRITES and own is not None:
            required = max(required, own.find_highest(attempt.began_at))
        return required


@final
class _PositionTimeline:
    """Highest position up to each point in time.

    Args:
        positions: Times and positions, sorted.
    """

    def __init__(self, positions: list[tuple[float, Position]]) -> None:
        self._times = [at for at, _ in positions]
        self._highest = list(
            accumulate((position for _, position in positions), max)
        )

    def find_highest(self, before: float) -> Position:
        """Return the highest position up to a time."""
        count = bisect_right(self._times, before)
        return self._highest[count - 1] if count else _NO_POSITION
