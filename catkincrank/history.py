"""Log marks and the history of terms of one database group.

A group's log is one sequence of positions. Each change of primary begins a new
term at a position. Records that an older primary wrote beyond that position
are not part of the surviving history.
"""

import enum
from dataclasses import dataclass
from typing import final

__all__ = ('Containment', 'History', 'LogMark', 'TermStart')


@final
@dataclass(frozen=True, slots=True, order=True)
class LogMark:
    """A log position together with its term.

    Attributes:
        term: Term in which the record was written; counts from 1.
        position: Log position just after the record, in log units.
    """

    term: int
    position: int


@final
@dataclass(frozen=True, slots=True)
class TermStart:
    """The start of a term.

    Attributes:
        term: The term.
        position: Log position at which the term began.
    """

    term: int
    position: int


@final
class Containment(enum.Enum):
    """Whether a history contains a mark.

    Attributes:
        HELD: The mark belongs to the lineage.
        LOST: The mark was written beyond the start of a later term, or in a
            term that is not part of the lineage.
        AHEAD: The mark's term is newer than the history.
        UNKNOWN: The mark's term is older than the oldest term kept.
    """

    HELD = 'held'
    LOST = 'lost'
    AHEAD = 'ahead'
    UNKNOWN = 'unknown'


@final
@dataclass(frozen=True, slots=True)
class History:
    """Terms of a group in ascending order, as far back as they are kept.

    Attributes:
        starts: One entry for each term; never empty.
    """

    starts: tuple[TermStart, ...]

    @property
    def term(self) -> int:
        """The newest term."""
        return self.starts[-1].term

    def locate(self, mark: LogMark) -> Containment:
        """Return whether this history's log lineage contains ``mark``.

        ``HELD`` means that the record belongs to the lineage, not that any
        particular instance has replayed it yet.
        """
        if mark.term > self.term:
            return Containment.AHEAD
        if mark.term < self.starts[0].term:
            return Containment.UNKNOWN
        following = [start for start in self.starts if start.term > mark.term]
        if not any(start.term == mark.term for start in self.starts):
            return Containment.LOST
        if following and mark.position > following[0].position:
            return Containment.LOST
        return Containment.HELD

    def extend(self, term: int, position: int) -> 'History':
        """Return this history with a new term that begins at ``position``."""
        return History((*self.starts, TermStart(term, position)))
