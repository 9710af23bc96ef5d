"""Records of callers and endpoints during a soak."""

import enum
from collections import defaultdict
from dataclasses import dataclass, field
from typing import final

from catkincrank.gateway.position import Position
from catkincrank.standins.memoryendpoints import PrimaryChange
from catkincrank.standins.memorylink import Run

__all__ = ('Attempt', 'Cut', 'History', 'Outcome', 'Span', 'VersionSeen')


@final
class Outcome(enum.Enum):
    """Outcome of a request as its caller sees it."""

    DONE = 'success'
    NOT_RUN = 'guarantee that nothing is kept'
    IN_DOUBT = 'may have run'
    UNANSWERED = 'connection ended'


@final
@dataclass(slots=True)
class Attempt:  # noqa: WPS230
    """One request of a caller.

    Attributes:
        request_id: Identifier of the request.
        session: Number of the caller's session.
        consistency: Consistency type of the route.
        text: The statement.
        sent_at: When its first byte was sent, in seconds.
        began_at: When its transaction was begun; ``sent_at`` outside one.
        transaction: Number of the caller's transaction; 0 outside one.
        values: Session values whose setting was acknowledged.
        program: Name and incarnation of the gateway.
        answered_at: When the complete answer had arrived.
        outcome: Outcome as the caller sees it.
        rows: Number of rows in the answer.
    """

    request_id: bytes
    session: int
    consistency: str
    text: bytes
    sent_at: float
    began_at: float
    transaction: int
    values: dict[bytes, bytes]
    program: tuple[str, int]
    answered_at: float = 0
    outcome: Outcome = Outcome.UNANSWERED
    rows: int = 0

    @property
    def is_read(self) -> bool:
        """Whether the statement is a read."""
        return self.text.startswith((b'READ', b'EXECUTE'))

    @property
    def is_commit(self) -> bool:
        """Whether its success commits a write or a transaction."""
        single = self.text.startswith(b'WRITE') and not self.transaction
        return single or self.text == b'COMMIT'


@final
@dataclass(frozen=True, slots=True)
class Cut:
    """A request whose connection ended without a complete answer."""

    attempt: Attempt
    at: float


@final
@dataclass(frozen=True, slots=True)
class Span:
    """Kind, target and time span of a disruption, in seconds."""

    kind: str
    target: str
    begins_at: float
    ends_at: float
    is_planned: bool


@final
@dataclass(frozen=True, slots=True)
class VersionSeen:
    """A version of the configuration in force at a gateway."""

    at: float
    program: tuple[str, int]
    version: int


@final
@dataclass(slots=True)
class History:
    """Records of one soak.

    Attributes:
        attempts: Requests by identifier.
        runs: Statements as endpoints ran them.
        primary_changes: Changes of primary.
        cuts: Requests whose connections ended without a complete answer.
        spans: Disruptions.
        versions: Versions of the configuration in force at gateways.
        faults: Gateway processes that ended or did not recover.
        is_durable: Whether no acknowledged commit may be rolled back.
    """

    attempts: dict[bytes, Attempt] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    primary_changes: list[PrimaryChange] = field(default_factory=list)
    cuts: list[Cut] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    versions: list[VersionSeen] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    is_durable: bool = False

    def runs_by_id(self) -> dict[bytes, list[Run]]:
        """Return the runs of each request."""
        found: dict[bytes, list[Run]] = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found

    def kept_writes(self) -> dict[bytes, list[Run]]:
        """Return, by request, the runs of writes that took effect."""
        committed = {
            (id(run.link), run.transaction)
            for run in self.runs
            if run.text == b'COMMIT'
        }
        found: dict[bytes, list[Run]] = defaultdict(list)
        for run in self.runs:
            run_transaction = (id(run.link), run.transaction)
            is_kept = not run.transaction or run_transaction in committed
            if run.text.startswith(b'WRITE') and is_kept:
                found[run.request_id].append(run)
        return found

    def list_commits(self) -> list[tuple[Attempt, Run]]:
        """Return the acknowledged commits of writes, with their runs."""
        writers = {
            (id(run.link), run.transaction)
            for run in self.runs
            if run.text.startswith(b'WRITE') and run.transaction
        }
        return [
            (attempt, run)
            for run in self.runs
            if (attempt := self.attempts.get(run.request_id)) is not None
            and attempt.outcome is Outcome.DONE
            and attempt.is_commit
            and (
                not run.transaction
                or (id(run.link), run.transaction) in writers
            )
        ]

    def is_rolled_back(self, position: Position) -> bool:
        """Return whether a promotion rolled back a commit at ``position``."""
        return any(
            position.term < change.term and position > change.position
            for change in self.primary_changes
        )

    def is_planned_cut(self, cut: Cut, stable_s: float) -> bool:
        """Return whether only planned work can explain a cut request.

        Args:
            cut: The request.
            stable_s: How long after its end an unplanned disruption still
                explains cuts, in seconds.
        """
        begins_at = cut.attempt.sent_at - stable_s
        overlapping = [
            span
            for span in self.spans
            if span.begins_at <= cut.at and span.ends_at >= begins_at
        ]
        return bool(overlapping) and all(
            span.is_planned for span in overlapping
        )
