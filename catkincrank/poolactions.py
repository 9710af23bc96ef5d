"""Actions that a connection pool asks its runner to perform."""

import enum
from dataclasses import dataclass
from typing import TypeAlias, final

__all__ = (
    'Close',
    'Grant',
    'Open',
    'PoolAction',
    'Probe',
    'RefusalCause',
    'Refuse',
)


@final
class RefusalCause(enum.Enum):
    """Why a pool refused a request; the request did not run."""

    OVERLOADED = 'too many queued requests to serve this one in time'
    UNREACHABLE = 'no connection to the endpoint could be opened'
    LEAVING = 'the endpoint accepts no new requests'
    DEADLINE = 'no connection became available before the deadline'


@final
@dataclass(frozen=True, slots=True)
class Open:
    """Open a connection; report ``opened`` or ``open_failed``."""

    connection_id: int
    login: str


@final
@dataclass(frozen=True, slots=True)
class Grant:
    """Lease a connection to a request until given back or discarded."""

    request_id: int
    connection_id: int


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request.

    Attributes:
        request_id: The request.
        cause: Why the request is refused.
        retry_after_s: Seconds until another attempt here may succeed.
    """

    request_id: int
    cause: RefusalCause
    retry_after_s: float


@final
@dataclass(frozen=True, slots=True)
class Close:
    """Close a connection; report ``closed``."""

    connection_id: int


@final
@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether a connection still works; report ``probed``."""

    connection_id: int


PoolAction: TypeAlias = Open | Grant | Refuse | Close | Probe
