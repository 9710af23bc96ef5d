"""Replies of endpoints and of the proxy itself."""

import enum
from dataclasses import dataclass
from typing import final

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import CatkincrankError
from catkincrank.gateway.position import Position
from catkincrank.verdict import Verdict

__all__ = ('Failure', 'Refusal', 'Reply', 'StatementFailed', 'refuse')


@final
class Failure(enum.Enum):
    """Why a statement failed."""

    BUSY = 'the endpoint accepts no more work'
    ABORTED = 'the transaction was rolled back before its commit'
    LAGGING = 'the log has not reached the position that the read requires'
    READ_ONLY = 'the endpoint is not a primary'
    WRONG_ENDPOINT = 'another endpoint answers at that address'
    OVERLOADED = 'no endpoint could accept the request in time'
    IN_DOUBT = 'no answer came; the write may have taken effect'
    TIMED_OUT = 'no answer came within the time limit of the route'
    FAILED = 'the endpoint failed while it ran the statement'
    UNKNOWN_NAME = 'no prepared statement has that name'
    MALFORMED = 'the request is not accepted in this state'
    UNKNOWN_DATABASE = 'no route has that database'
    DENIED = 'no organisation has that key'

    @property
    def verdict(self) -> Verdict:
        """Whether the statement may have had an effect."""
        if self in _UNCERTAIN:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


_UNCERTAIN = frozenset(
    (Failure.IN_DOUBT, Failure.TIMED_OUT, Failure.FAILED),
)


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """A failure as reported to the caller.

    Attributes:
        failure: Reason of the failure.
        detail: Human-readable explanation, one line.
    """

    failure: Failure
    detail: bytes = b''


@final
@dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply to one statement.

    Attributes:
        rows: Rows as the endpoint sent them.
        signature: The endpoint's proof that it ran the statement; empty for
            a statement that the proxy answers itself.
        refusal: The failure; ``None`` for a success.
        status: Transaction state afterwards.
        position: Position of the endpoint's log afterwards, if reported.
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes = b''
    refusal: Refusal | None = None
    status: TransactionStatus = TransactionStatus.IDLE
    position: Position | None = None


@final
class StatementFailed(CatkincrankError):
    """A statement failed, with the failure to report to the caller.

    Args:
        failure: Reason of the failure.
        detail: Human-readable explanation, one line.
    """

    def __init__(self, failure: Failure, detail: str = '') -> None:
        super().__init__(detail or failure.value)
        self.failure = failure
        self.detail = detail or failure.value

    def as_reply(self, status: TransactionStatus) -> Reply:
        """Return the reply that reports the failure."""
        return refuse(self.failure, status, self.detail)


def refuse(
    failure: Failure,
    status: TransactionStatus,
    detail: str = '',
) -> Reply:
    """Return the reply that reports a failure."""
    text = (detail or failure.value).encode('ascii', 'replace')
    return Reply(refusal=Refusal(failure, text), status=status)
