"""Actions that a failover requests, and the events that report results."""

from dataclasses import dataclass
from typing import Annotated, final

import msgspec

from catkincrank.instance import Ballot, InstanceStatus

__all__ = (
    'Action',
    'Claim',
    'ClaimRecord',
    'Done',
    'Failed',
    'Follow',
    'InstanceAction',
    'JournalEntry',
    'Promote',
    'ReadClaim',
    'ReadStatus',
    'Seal',
)

# Numbers beyond this limit do not fit into messages.
_MAX_NUMBER = (1 << 63) - 1  # noqa: WPS432
_Number = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]


@final
@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Row of a group in the store.

    Attributes:
        term: Highest term that was claimed.
        keeper: Keeper that claimed it.
        primary: Endpoint that began the term; empty until it has.
        position: Log position at which the term began.
        version: Version of the row; 0 stands for no row.
    """

    term: _Number = 0
    keeper: str = ''
    primary: str = ''
    position: _Number = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Action:
    """A request to the caller; its result is returned as an event."""


@final
@dataclass(frozen=True, slots=True)
class ReadClaim(Action):
    """Read the group's row from the store."""


@final
@dataclass(frozen=True, slots=True)
class Claim(Action):
    """Write the group's row if its version is still the one expected.

    Attributes:
        record: What to write, with the expected version.
    """

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class InstanceAction(Action):
    """An action on one instance.

    Attributes:
        endpoint: The instance.
        ballot: The ballot under which it is requested.
    """

    endpoint: str
    ballot: Ballot


@final
@dataclass(frozen=True, slots=True)
class ReadStatus(InstanceAction):
    """Read the instance's status."""


@final
@dataclass(frozen=True, slots=True)
class Seal(InstanceAction):
    """Seal the instance to the ballot."""


@final
@dataclass(frozen=True, slots=True)
class Promote(InstanceAction):
    """Promote the instance, if it is still sealed to the ballot."""


@final
@dataclass(frozen=True, slots=True)
class Follow(InstanceAction):
    """Make the instance follow ``primary``.

    Attributes:
        primary: Endpoint of the primary.
    """

    primary: str


@final
@dataclass(frozen=True, slots=True)
class JournalEntry(Action):
    """Record a decision in the journal and the log.

    Attributes:
        name: Name of the event.
        cause: Why a decision was needed.
        outcome: What was decided.
        evidence: Observations that support it.
    """

    name: str
    cause: str
    outcome: str
    evidence: tuple[tuple[str, str], ...] = ()


@final
@dataclass(frozen=True, slots=True)
class Done:
    """An action was answered.

    Attributes:
        action: The action.
        status: The instance's status; ``None`` for actions on the store.
        record: The store's row; ``None`` for actions on instances.
    """

    action: Action
    status: InstanceStatus | None = None
    record: ClaimRecord | None = None


@final
@dataclass(frozen=True, slots=True)
class Failed:
    """An action was not answered, or was refused.

    Attributes:
        action: The action.
        reason: What went wrong.
        is_conflict: Whether the store's row has another version.
    """

    action: Action
    reason: str
    is_conflict: bool = False
