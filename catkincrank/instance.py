"""What an instance of a group says of itself.

Statuses come from the instance's own answers and are the evidence on which
routing, acknowledgement and failover rest.
"""

import enum
from dataclasses import dataclass
from typing import final

from catkincrank.history import History, LogMark

__all__ = ('Ballot', 'InstanceStatus', 'Observation', 'Role')


@final
class Role(enum.Enum):
    """Whether an instance takes writes."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@final
@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A claim to begin a term; ballots are ordered, the higher one wins.

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
            have gone back: at a restart or a rewind.
        role: Whether it takes writes.
        history: Lineage of the log it holds.
        received: Position up to which its log is stored.
        replayed: Position up to which its reads see the log.
        follows: Name of the endpoint it streams from; empty when none.
        sealed: Highest ballot it has promised to; ``None`` when none.
        connections: Open connections, with the one that asked.
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
        """Term of the newest record it can hold."""
        return self.history.term

    @property
    def received_mark(self) -> LogMark:
        """Mark of the newest record it stores."""
        return LogMark(self.term, self.received)

    @property
    def is_sealed(self) -> bool:
        """Whether it has promised a term beyond the one that it follows."""
        return self.sealed is not None and self.sealed.term > self.term


@final
@dataclass(frozen=True, slots=True)
class Observation:
    """A status and the time it was taken.

    Attributes:
        status: What the instance said.
        taken_at: A time, on the holder's own clock in seconds, that is no
            later than the moment the instance read its positions.
    """

    status: InstanceStatus
    taken_at: float
