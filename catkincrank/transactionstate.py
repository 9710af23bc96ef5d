"""State of a caller's transaction, and how it fails."""

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
    'explain_failed',
    'explain_loss',
    'explain_replacement',
    'find_transaction',
)

_FAILED_STATE = '25P02'


@final
class Transaction:
    """State of a transaction that a caller has open.

    The connection is leased with its first statement.

    Args:
        begin: The statement that began it.
    """

    __slots__ = (
        'access',
        'begin',
        'claim',
        'has_written',
        'lease',
        'settings',
        'statements',
        'status',
    )

    def __init__(self, begin: Statement, settings: dict[str, str]) -> None:
        self.begin = begin
        self.access = Access.READ if begin.is_read_only else Access.WRITE
        self.status = TransactionStatus.OPEN
        self.lease: Lease | None = None
        self.claim: KeyClaim | None = None
        self.has_written = False
        self.statements = 0
        self.settings = settings


def find_transaction(session: Session) -> Transaction:
    """Return the open transaction of a session."""
    if session.transaction is None:
        raise RuntimeError('no transaction is open')
    return session.transaction


def explain_failed() -> StatementError:
    """Return the error of a statement after a failed one."""
    return StatementError(
        _FAILED_STATE,
        'current transaction is aborted, commands ignored until end of '
        'transaction block',
        {},
        TransactionStatus.FAILED,
    )


def explain_loss(error: EndpointError) -> RequestError:
    """Return the failure of a transaction whose connection broke."""
    return RequestError(
        Verdict.NOT_RUN,
        Reason.CONNECTION_LOST,
        'the transaction was lost with its connection: {0}'.format(error),
        retry_after_s=0,
    )


def explain_replacement(error: StatementError) -> RequestError:
    """Return the failure of a transaction whose primary was replaced."""
    return RequestError(
        Verdict.NOT_RUN,
        Reason.NO_PRIMARY,
        'the endpoint takes no writes now: {0}'.format(error),
        retry_after_s=0,
    )
