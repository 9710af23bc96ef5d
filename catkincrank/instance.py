"""Statuses that instances of a group report.

Routing, acknowledgement and failover are based on these reports alone.
"""

import enum
from dataclasses import dataclass
from typing import final

from catkincrank.history import History, LogMark

__all__ = ('Ballot', 'InstanceStatus', 'Observation', 'Role')


@final
class Role(enum.Enum):
    """Whether an instance accepts writes."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@final
@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A claim to begin a term; of two ballots, the higher one wins.

    Attributes:
        term: The term that the claimant wants to begin.
        keeper: Name of the claiming keeper; breaks ties.
    """

    term: int
    keeper: str


@final
@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """One instance's answer to the status statement.

    Attributes:
        endpoint: Name of the endpoint that answered.
        incarnation: Changes whenever the instance's replayed position may
            have moved back: at a restart or a rewind.
        role: Whether it accepts writes.
        history: Lineage of its log.
        received: Position up to which its log is stored.
        replayed: Position up to which its reads reflect the log.
        follows: Name of the endpoint it streams from; empty if none.
        sealed: Highest ballot it is sealed to: it accepts nothing of an older
            term. ``None`` if none.
        connections: Open connections, including the one that reads this.
    """

    endpoint: str
    incarnation: str
    role: Role
    history: History
    received: int
    replayed: int
    follows: str = ''
    sealed: Ballot | None = None
    connections: int = 0

    @property
    def term(self) -> int:
        """Newest term in its history."""
        return self.history.term

    @property
    def received_mark(self) -> LogMark:
        """Mark of the newest record it stores."""
        return LogMark(self.term, self.received)

    @property
    def is_sealed(self) -> bool:
        """Whether it is sealed to a term newer than its history's."""
        return self.sealed is not None and self.sealed.term > self.term


@final
@dataclass(frozen=True, slots=True)
class Observation:
    """A status and the time at which it was taken.

    Attributes:
        status: The instance's status.
        taken_at: Time in seconds, on the clock of the process that holds the
            observation, no later than when the instance read its positions.
    """

    status: InstanceStatus
    taken_at: float
