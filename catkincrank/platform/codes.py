"""The platform's codes for failures, states and positions."""

from catkincrank.endpoint import TransactionStatus
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure

__all__ = (
    'FAILURES',
    'FAILURE_CODES',
    'parse_position',
    'parse_status',
)

FAILURE_CODES = {  # noqa: WPS407
    Failure.BUSY: b'BUSY',
    Failure.ABORTED: b'ABORTED',
    Failure.LAGGING: b'LAGGING',
    Failure.READ_ONLY: b'READONLY',
    Failure.WRONG_ENDPOINT: b'MISROUTED',
    Failure.OVERLOADED: b'OVERLOAD',
    Failure.IN_DOUBT: b'INDOUBT',
    Failure.TIMED_OUT: b'TIMEOUT',
    Failure.FAILED: b'FAILED',
    Failure.UNKNOWN_NAME: b'UNKNOWN',
    Failure.MALFORMED: b'MALFORMED',
    Failure.UNKNOWN_DATABASE: b'NODATABASE',
    Failure.DENIED: b'DENIED',
}

FAILURES = {  # noqa: WPS407
    word: failure for failure, word in FAILURE_CODES.items()
}

_STATUSES = {  # noqa: WPS407
    one.value.encode('ascii'): one for one in TransactionStatus
}


def parse_position(text: bytes) -> Position | None:
    """Return a log position, or ``None`` if the text is not one."""
    term, dot, number = text.partition(b'.')
    if not (dot and term.isdigit() and number.isdigit()):
        return None
    return Position(int(term), int(number))


def parse_status(text: bytes) -> TransactionStatus | None:
    """Return a transaction state, or ``None`` for an unknown letter."""
    return _STATUSES.get(text)
