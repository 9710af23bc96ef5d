"""What a process may conclude about one group, and for how long.

A grant says who is primary until a time on this process's clock. Samples are
positions of the primary's log with times no later than when they were taken:
a log that holds a sample holds every commit acknowledged before its time.
"""

from collections import deque
from dataclasses import dataclass
from typing import final

from catkincrank.gateway.position import Position

__all__ = ('Grant', 'GroupEvidence')

# Samples older than any stated age are of no use; the oldest age in use by
# both users is 2.5 s, kept with a margin.
_KEPT_S = 5.0
# Two samples closer than this are as good as one.
_SAMPLE_SPACING_S = 0.02


@final
@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to treat an endpoint as the primary.

    Attributes:
        endpoint_id: The primary.
        term: Its term.
        until: When the permission ends, in seconds of the local clock.
        bases: For each recent term, the position at which it began.
    """

    endpoint_id: str
    term: int
    until: float
    bases: tuple[tuple[int, Position], ...] = ()


@final
class GroupEvidence:
    """Evidence about one group.

    Attributes:
        grant: The newest grant, which may have ended.
        reached: Newest position seen of each endpoint.
        answered_at: When each endpoint last answered, in seconds.
        granted_at: When the present primary was first granted, in seconds.
    """

    __slots__ = (
        '_samples',
        'answered_at',
        'grant',
        'granted_at',
        'positions',
    )

    def __init__(self) -> None:
        self.grant: Grant | None = None
        self.positions: dict[str, Position] = {}
        self.answered_at: dict[str, float] = {}
        self.granted_at: float = 0
        self._samples: deque[tuple[float, Position]] = deque()

    def find_grant(self, now: float) -> Grant | None:
        """Return the grant if it holds at ``now``."""
        grant = self.grant
        if grant is None or now >= grant.until:
            return None
        return grant

    def ungranted_s(self, now: float) -> float:
        """Return for how long no grant has held, in seconds."""
        if self.grant is None:
            return 0
        return max(0, now - self.grant.until)

    def holds(self, term: int, now: float) -> bool:
        """Return whether a grant for ``term`` holds at ``now``."""
        grant = self.find_grant(now)
        return grant is not None and grant.term == term

    def apply_grant(self, grant: Grant | None, now: float) -> bool:
        """Replace the grant; return whether the primary changed."""
        before = self.grant
        self.grant = grant
        if grant is None:
            return False
        changed = before is None or before.term != grant.term
        if changed:
            self.positions.clear()
            self.granted_at = now
        return changed

    def record_answer(
        self,
        endpoint_id: str,
        position: Position | None,
        sent_at: float,
        now: float,
    ) -> None:
        """Take in the position that came with an answer.

        Args:
            endpoint_id: Who answered.
            position: Position of its log.
            sent_at: When the question was sent.
            now: The time.
        """
        self.answered_at[endpoint_id] = now
        if position is None:
            return
        self.positions[endpoint_id] = position
        grant = self.find_grant(now)
        if grant is None or grant.endpoint_id != endpoint_id:
            return
        # A question from before was answered by a replica, perhaps, which has
        # received more since.
        if sent_at >= self.granted_at:
            self.add_sample(sent_at, position)

    def add_sample(self, taken_at: float, position: Position) -> None:
        """Keep a position of the primary's log."""
        samples = self._samples
        while samples and samples[0][0] < taken_at - _KEPT_S:
            samples.popleft()
        if samples and taken_at - samples[-1][0] < _SAMPLE_SPACING_S:
            return
        samples.append((taken_at, position))

    def find_covering_position(self, since: float) -> Position | None:
        """Return the least known position that holds all before ``since``."""
        for taken_at, position in self._samples:
            if taken_at >= since:
                return self.exclude_rolled_back(position)
        return None

    def exclude_rolled_back(self, position: Position) -> Position:
        """Return ``position`` without what later terms rolled back."""
        if self.grant is None:
            return position
        written = position.term
        for began, base in self.grant.bases:
            if began > written:
                position = min(position, base)
        return position
