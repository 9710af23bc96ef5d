"""The platform's codes for failures, states and positions."""

from catkincrank.endpoint import TransactionStatus
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure

__all__ = (
    'FAILURES',
    'FAILURE_CODES',
    'parse_number',
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


# Longer numbers do not fit into the messages between gateways, and ``int``
# refuses very long ones.
_MAX_DIGITS = 18


def parse_number(text: bytes) -> int | None:
    """Return a whole number, or ``None`` if the text is not a usable one."""
    return int(text) if len(text) <= _MAX_DIGITS and text.isdigit() else None


def parse_position(text: bytes) -> Position | None:
    """Return a log position, or ``None`` if the text is not one."""
    head, _, tail = text.partition(b'.')
    term, number = parse_number(head), parse_number(tail)
    if term is None or number is None:
        return None
    return Position(term, number)


def parse_status(text: bytes) -> TransactionStatus | None:
    """Return a transaction state, or ``None`` for an unknown letter."""
    return _STATUSES.get(text)
