"""Messages between gateway processes; ``envelope`` has their form."""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import register_message

__all__ = (
    'Nudge',
    'ReachQuery',
    'ReachReply',
    'RevokeReply',
    'RevokeRequest',
    'TablePlace',
    'TableQuery',
    'TableReplies',
    'TableReply',
    'TableRow',
)


@final
@dataclass(frozen=True, slots=True)
class TablePlace:
    """How far a process has read a table.

    Attributes:
        table: Name of the table.
        version: Version of the store that it has seen.
    """

    table: str
    version: int


@register_message('tableQuery')
@final
@dataclass(frozen=True, slots=True)
class TableQuery:
    """Asks for what a peer knows of tables of the store.

    Attributes:
        name: Name of the process that asks.
        places: How far it has read each of them.
    """

    name: str
    places: tuple[TablePlace, ...]


@final
@dataclass(frozen=True, slots=True)
class TableRow:
    """A row of a table.

    Attributes:
        key: Its key.
        version: Version of the store that wrote it.
        body: Its bytes.
        is_removed: Whether it was removed.
    """

    key: str
    version: int
    body: bytes
    is_removed: bool


@final
@dataclass(frozen=True, slots=True)
class TableReply:
    """What a peer knows of a table.

    Attributes:
        table: Name of the table.
        version: Version of the store when it was read.
        age_s: How long ago that was, in seconds; negative if never.
        rows: Rows that changed after the asker's version.
    """

    table: str
    version: int
    age_s: float
    rows: tuple[TableRow, ...] = ()


@register_message('tableReply')
@final
@dataclass(frozen=True, slots=True)
class TableReplies:
    """What a peer knows of the tables that it was asked about."""

    replies: tuple[TableReply, ...]


@register_message('nudge')
@final
@dataclass(frozen=True, slots=True)
class Nudge:
    """Says that there is news, or that a nudge has arrived.

    Attributes:
        name: Name of the process that says so.
    """

    name: str


@register_message('revokeRequest')
@final
@dataclass(frozen=True, slots=True)
class RevokeRequest:
    """Asks to give up grants that rest on older readings of the store.

    Attributes:
        service: Group concerned; empty for all.
        version: Readings of the store older than this count no more.
        holder: Name of the process that asks.
    """

    service: str
    version: int
    holder: str


@register_message('revokeReply')
@final
@dataclass(frozen=True, slots=True)
class RevokeReply:
    """Says that the grants were given up."""

    is_done: bool


@register_message('reachQuery')
@final
@dataclass(frozen=True, slots=True)
class ReachQuery:
    """Asks a peer to find out whether an endpoint answers it.

    Attributes:
        service: Group of the endpoint.
        endpoint: Its identifier.
    """

    service: str
    endpoint: str


@register_message('reachReply')
@final
@dataclass(frozen=True, slots=True)
class ReachReply:
    """Says whether the endpoint answered."""

    is_reachable: bool
