"""Records of a run, from which ``invariants`` judges what was promised.

Whoever causes load or faults writes them down: tests, ``try`` and the fault
matrix. Times are seconds on one clock.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias, TypeVar, final

from catkincrank.history import LogMark
from catkincrank.verdict import Verdict

__all__ = (
    'DrainBegan',
    'EffectFound',
    'LeavingChanged',
    'ProcessChanged',
    'ProcessState',
    'Record',
    'RecordedHistory',
    'RequestAnswered',
    'RequestSubmitted',
    'SettingsAccepted',
    'SettingsInForce',
    'StatementPlace',
    'StatementRan',
    'TermBegan',
)

RecordT = TypeVar('RecordT')


@final
@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A caller sent a request.

    Attributes:
        at: When.
        request: Name of this submission, unique in the run.
        session: The caller's session.
        proxy: The proxy it was sent to.
        item: What it reads or writes, e.g. an account.
        version: Version of the item that a write makes; 0 for a read.
        key: Request key; empty when it has none.
        is_idempotent: Whether it may run more than once.
        max_staleness_s: Age that a read accepts; ``None`` for any.
    """

    at: float
    request: str
    session: str = ''
    proxy: str = ''
    item: str = ''
    version: int = 0
    key: str = ''
    is_idempotent: bool = True
    max_staleness_s: float | None = None

    @property
    def is_write(self) -> bool:
        """Whether it writes."""
        return self.version > 0


@final
@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """A caller got the final answer to a request, or lost its connection.

    Attributes:
        at: When the answer was sent.
        request: The submission that it was taken for.
        verdict: Whether it ran.
        version: Version of the item that a read saw.
        mark: Mark of an acknowledged write.
        echo: Name of the request that the answer itself carries; empty when
            the answer is an error.
        is_whole: Whether all of the answer came.
        is_cut: Whether the connection ended in place of an answer.
        outlives_primary: Whether the policy promises that an acknowledged
            write survives its primary.
    """

    at: float
    request: str
    verdict: Verdict
    version: int = 0
    mark: LogMark | None = None
    echo: str = ''
    is_complete: bool = True
    is_disconnected: bool = False
    outlives_primary: bool = True


@final
@dataclass(frozen=True, slots=True)
class EffectFound:
    """The surviving log holds the effect of a request, at the run's end.

    Attributes:
        request: The submission that caused it.
        item: What it changed.
        version: Version that it made.
        key: Its request key.
    """

    request: str
    item: str = ''
    version: int = 0
    key: str = ''


@final
@dataclass(frozen=True, slots=True)
class TermBegan:
    """An instance began a term.

    Attributes:
        at: When.
        group: The group.
        term: The new term.
        position: Log position at which it began.
    """

    at: float
    group: str
    term: int
    position: int


@final
class StatementPlace(enum.Enum):
    """Where a statement stands in its transaction."""

    FIRST = 'first'
    INNER = 'inner'
    LAST = 'last'
    ALONE = 'alone'


@final
@dataclass(frozen=True, slots=True)
class StatementRan:
    """An endpoint ran a statement.

    Attributes:
        at: When.
        endpoint: The endpoint.
        connection: Its name for the connection, unique in the run.
        transaction: Whose transaction, unique in the run.
        place: Where it stands in the transaction.
    """

    at: float
    endpoint: str
    connection: str
    transaction: str
    place: StatementPlace


@final
@dataclass(frozen=True, slots=True)
class LeavingChanged:
    """An endpoint was marked as leaving, or no longer so."""

    at: float
    endpoint: str
    is_leaving: bool


@final
@dataclass(frozen=True, slots=True)
class DrainBegan:
    """A proxy was told to shut down gracefully."""

    at: float
    proxy: str


@final
class ProcessState(enum.Enum):
    """What became of a process; ``KILLED`` is without a drain."""

    STARTED = 'started'
    STOPPED = 'stopped'
    KILLED = 'killed'
    ISOLATED = 'isolated'
    REJOINED = 'rejoined'


@final
@dataclass(frozen=True, slots=True)
class ProcessChanged:
    """A process started, ended, or was cut off from all others."""

    at: float
    process: str
    state: ProcessState


@final
@dataclass(frozen=True, slots=True)
class SettingsAccepted:
    """The store accepted a version of a team's settings.

    Attributes:
        at: When.
        team: The team.
        version: The version.
        change_id: Identifier of the change.
    """

    at: float
    team: str
    version: int
    change_id: str


@final
@dataclass(frozen=True, slots=True)
class SettingsInForce:
    """A process began to act by a version of a team's settings."""

    at: float
    process: str
    team: str
    version: int
    change_id: str


Record: TypeAlias = (
    RequestSubmitted
    | RequestAnswered
    | EffectFound
    | TermBegan
    | StatementRan
    | LeavingChanged
    | DrainBegan
    | ProcessChanged
    | SettingsAccepted
    | SettingsInForce
)


@final
class RecordedHistory:
    """The records of one run, in the order they were added.

    Args:
        records: Records to begin with.
    """

    __slots__ = ('_records',)

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self._records: dict[type[Record], list[Record]] = {}
        for record in records:
            self.add(record)

    def add(self, record: Record) -> None:
        """Keep a record."""
        self._records.setdefault(type(record), []).append(record)

    def of_kind(self, kind: type[RecordT]) -> list[RecordT]:
        """Return the records of one kind."""
        return list(self._records.get(kind, ()))

    def submissions(self) -> dict[str, RequestSubmitted]:
        """Return the submissions by their names."""
        return {one.request: one for one in self.of_kind(RequestSubmitted)}
