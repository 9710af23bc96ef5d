"""Session state of one caller, and statements answered without I/O."""

import math
from collections.abc import Callable, Mapping
from typing import final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.gateway.catalog import Route
from catkincrank.gateway.linkpools import BorrowedLink
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import (
    Failure,
    Reply,
    StatementFailed,
    refuse,
)
from catkincrank.gateway.statement import Kind, Prepared, Statement

__all__ = ('Session', 'Transaction', 'answer_locally')

_LocalAnswer = Callable[['Session', Statement], Reply | None]


@final
class Transaction:
    """A caller's open transaction.

    Attributes:
        route: Route of the session when the transaction began.
        is_read_only: Whether the caller declared it read-only.
        borrowed: Link it runs on; borrowed by its first statement.
        term: Term of the primary that it runs on; 0 at a replica.
        has_written: Whether at least one of its writes succeeded.
        arrived_at: When the caller began it, in seconds.
        expires_at: When it is rolled back because the caller's key was
            withdrawn, in seconds; infinity while the key is valid.
    """

    __slots__ = (
        '_scope',
        'arrived_at',
        'borrowed',
        'expires_at',
        'has_written',
        'is_read_only',
        'route',
        'term',
    )

    def __init__(
        self,
        route: Route,
        now: float,
        *,
        is_read_only: bool,
    ) -> None:
        self.route = route
        self.is_read_only = is_read_only
        self.borrowed: BorrowedLink | None = None
        self.term = 0
        self.has_written = False
        self.arrived_at = now
        self.expires_at = math.inf
        self._scope: anyio.CancelScope | None = None

    def limit(self) -> anyio.CancelScope:
        """Return a scope for one statement that ends at ``expires_at``."""
        self._scope = anyio.CancelScope(deadline=self.expires_at)
        return self._scope

    def expire(self, deadline: float) -> None:
        """Change when it is rolled back, also for a running statement."""
        self.expires_at = deadline
        if self._scope is not None:
            self._scope.deadline = deadline

    def close_link(self) -> None:
        """Close the link, which makes the endpoint roll back."""
        if self.borrowed is not None:
            self.borrowed.discard()
            self.borrowed = None


@final
class Session:
    """A caller's session.

    Attributes:
        database: Database that the caller named at startup.
        credential: Digest of the key that the caller gave.
        organisation: Name of the organisation that the caller belongs to;
            empty for none.
        status: Transaction state last reported to the caller.
        values: Session values set by the caller.
        prepared: Prepared statements by name.
        transaction: Open transaction, if any.
        last_commit: Log position of the session's newest commit.
        is_revoked: Whether the key was withdrawn.
        is_closing: Whether the session is closed after the current reply.
        may_have_run: Whether the current statement was sent to an endpoint
            and may have run there.
    """

    __slots__ = (
        'credential',
        'database',
        'is_closing',
        'is_revoked',
        'last_commit',
        'may_have_run',
        'organisation',
        'prepared',
        'status',
        'transaction',
        'values',
    )

    def __init__(
        self,
        database: str,
        credential: bytes = b'',
        organisation: str = '',
    ) -> None:
        self.database = database
        self.credential = credential
        self.organisation = organisation
        self.status = TransactionStatus.IDLE
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, Prepared] = {}
        self.transaction: Transaction | None = None
        self.last_commit: Position | None = None
        self.is_revoked = False
        self.is_closing = False
        self.may_have_run = False

    def record_commit(self, position: Position | None) -> None:
        """Advance the log position of the session's newest commit."""
        if position is None:
            return
        if self.last_commit is None or position > self.last_commit:
            self.last_commit = position

    def writes(self, statement: Statement) -> bool:
        """Return whether a statement writes."""
        if statement.kind is Kind.EXECUTE:
            return self.prepared[statement.name].is_write
        return statement.kind is Kind.WRITE

    def fail_transaction(self) -> None:
        """Mark the open transaction as failed."""
        self.status = TransactionStatus.FAILED

    def deny(self, failure: Failure) -> StatementFailed:
        """Return the failure of a statement whose key was withdrawn."""
        self.is_closing = True
        return StatementFailed(failure, 'the key was withdrawn')

    def end(self) -> None:
        """Clear the transaction, which has ended at the endpoint."""
        self.transaction = None
        self.status = TransactionStatus.IDLE


def answer_locally(session: Session, statement: Statement) -> Reply | None:
    """Return the reply to a statement that needs no endpoint, or ``None``."""
    is_failed = session.status is TransactionStatus.FAILED
    if is_failed and statement.kind not in _ENDING_KINDS:
        return refuse(Failure.MALFORMED, session.status)
    answer = _LOCAL_ANSWERS.get(statement.kind)
    return None if answer is None else answer(session, statement)


def _set_value(session: Session, statement: Statement) -> Reply:
    session.values[statement.name] = statement.operand
    return Reply(status=session.status)


def _prepare(session: Session, statement: Statement) -> Reply:
    session.prepared[statement.name] = statement.prepared
    return Reply(status=session.status)


def _close_prepared(session: Session, statement: Statement) -> Reply:
    if session.prepared.pop(statement.name, None) is None:
        return refuse(Failure.UNKNOWN_NAME, session.status)
    return Reply(status=session.status)


def _check_prepared(session: Session, statement: Statement) -> Reply | None:
    if statement.name in session.prepared:
        return None
    return refuse(Failure.UNKNOWN_NAME, session.status)


def _refuse_malformed(session: Session, _statement: Statement) -> Reply:
    return refuse(Failure.MALFORMED, session.status)


def _check_transaction(session: Session, _statement: Statement) -> Reply | None:
    if session.status is TransactionStatus.IDLE:
        return refuse(Failure.MALFORMED, session.status)
    return None


_ENDING_KINDS = frozenset((Kind.COMMIT, Kind.ROLLBACK))
_LOCAL_ANSWERS: Mapping[Kind, _LocalAnswer] = {  # noqa: WPS407
    Kind.SET: _set_value,
    Kind.PREPARE: _prepare,
    Kind.CLOSE: _close_prepared,
    Kind.EXECUTE: _check_prepared,
    Kind.UNREADABLE: _refuse_malformed,
    Kind.COMMIT: _check_transaction,
    Kind.ROLLBACK: _check_transaction,
}
