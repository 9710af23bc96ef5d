"""State of a caller's transaction, and its errors."""

from typing import final

from catkincrank.endpoint import StatementError, TransactionStatus
from catkincrank.errors import EndpointError
from catkincrank.leases import Lease
from catkincrank.request import Access
from catkincrank.requestkeys import KeyClaim
from catkincrank.session import Session
from catkincrank.statement import Statement
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = (
    'Transaction',
    'make_aborted_error',
    'make_connection_lost_error',
    'make_primary_replaced_error',
    'get_transaction',
)

_ABORTED_SQLSTATE = '25P02'


@final
class Transaction:
    """State of a caller's open transaction.

    The first statement leases the connection.

    Args:
        begin: The statement that opened it.
        settings: Session settings to restore on rollback.
    """

    __slots__ = (
        'access',
        'begin',
        'claim',
        'has_written',
        'lease',
        'settings',
        'statement_count',
        'status',
    )

    def __init__(self, begin: Statement, settings: dict[str, str]) -> None:
        self.begin = begin
        self.access = Access.READ if begin.is_read_only else Access.WRITE
        self.status = TransactionStatus.OPEN
        self.lease: Lease | None = None
        self.claim: KeyClaim | None = None
        self.has_written = False
        self.statement_count = 0
        self.settings = settings


def get_transaction(session: Session) -> Transaction:
    """Return the open transaction of a session."""
    if session.transaction is None:
        raise RuntimeError('no transaction is open')
    return session.transaction


def make_aborted_error() -> StatementError:
    """Return the error of a statement in an aborted transaction."""
    return StatementError(
        _ABORTED_SQLSTATE,
        'current transaction is aborted, commands ignored until end of '
        'transaction block',
        {},
        TransactionStatus.FAILED,
    )


def make_connection_lost_error(error: EndpointError) -> RequestError:
    """Return the error of a transaction whose connection broke."""
    return RequestError(
        Verdict.NOT_RUN,
        Reason.CONNECTION_LOST,
        'the transaction was lost with its connection: {0}'.format(error),
        retry_after_s=0,
    )


def make_primary_replaced_error(error: StatementError) -> RequestError:
    """Return the error of a transaction whose primary was replaced."""
    return RequestError(
        Verdict.NOT_RUN,
        Reason.NO_PRIMARY,
        'the endpoint does not accept writes: {0}'.format(error),
        retry_after_s=0,
    )
