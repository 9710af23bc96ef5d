"""What a relay asks its process to do."""

from dataclasses import dataclass
from typing import Any, final

from catkincrank.store import Row

__all__ = ('Action', 'ApplySubtree', 'ReadIndex', 'ReadTeam', 'Send')


@final
@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Read the settings index from the store.

    Attributes:
        asked_at: Time of the decision; comes back with the answer.
    """

    asked_at: float


@final
@dataclass(frozen=True, slots=True)
class ReadTeam:
    """Read a team's row from the store.

    Attributes:
        team: The team.
    """

    team: str


@final
@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer.

    Attributes:
        peer: Name of the peer.
        message: The message.
    """

    peer: str
    message: Any


@final
@dataclass(frozen=True, slots=True)
class ApplySubtree:
    """Bring a subtree into force.

    Attributes:
        team: The team.
        row: Its row.
        source: Where it came from: ``store`` or the name of a peer.
    """

    team: str
    row: Row
    source: str


Action = ReadIndex | ReadTeam | Send | ApplySubtree
