"""What a connection pool asks its daemon to do."""

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
    """Why a pool gave up on a request, which did not run."""

    OVERLOADED = 'more requests wait than can be served in time'
    UNREACHABLE = 'no connection to the endpoint could be opened'
    LEAVING = 'the endpoint takes no new work'
    DEADLINE = 'no connection became free before the deadline'


@final
@dataclass(frozen=True, slots=True)
class Open:
    """Open a connection; report ``opened`` or ``open_failed``."""

    connection_id: int
    login: str


@final
@dataclass(frozen=True, slots=True)
class Grant:
    """Hand a connection to a request, to be given back or discarded."""

    request_id: int
    connection_id: int


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell a request at once that it will not be served.

    Attributes:
        request_id: The request.
        cause: Why.
        retry_after_s: When trying this endpoint again may help, in seconds.
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
    """See whether a connection still works; report ``probed``."""

    connection_id: int


PoolAction: TypeAlias = Open | Grant | Refuse | Close | Probe
