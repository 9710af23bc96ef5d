"""Messages between gateway processes, encoded by ``envelope``."""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import register_message

__all__ = (
    'ChangeNotice',
    'ReachQuery',
    'ReachReply',
    'RevokeReply',
    'RevokeRequest',
    'TableVersion',
    'TableQuery',
    'TableReplies',
    'TableReply',
    'TableRow',
)


@final
@dataclass(frozen=True, slots=True)
class TableVersion:
    """Version up to which a process has read a table.

    Attributes:
        table: Name of the table.
        version: Newest version of the store that it has read.
    """

    table: str
    version: int


@register_message('tableQuery')
@final
@dataclass(frozen=True, slots=True)
class TableQuery:
    """Asks a peer for its newest readings of tables.

    Attributes:
        name: Name of the process that asks.
        places: Version up to which it has read each table.
    """

    name: str
    places: tuple[TableVersion, ...]


@final
@dataclass(frozen=True, slots=True)
class TableRow:
    """A row of a table.

    Attributes:
        key: Key of the row.
        version: Version of the store that wrote it.
        body: Content of the row; empty if it was removed.
        is_removed: Whether the row was removed.
    """

    key: str
    version: int
    body: bytes
    is_removed: bool


@final
@dataclass(frozen=True, slots=True)
class TableReply:
    """A peer's newest reading of one table.

    Attributes:
        table: Name of the table.
        version: Version of the store when it was read.
        age_s: Age of the reading, in seconds; negative if there was none.
        rows: Rows that changed after the version in the query.
    """

    table: str
    version: int
    age_s: float
    rows: tuple[TableRow, ...] = ()


@register_message('tableReply')
@final
@dataclass(frozen=True, slots=True)
class TableReplies:
    """A peer's newest readings of the tables in a query."""

    replies: tuple[TableReply, ...]


@register_message('nudge')
@final
@dataclass(frozen=True, slots=True)
class ChangeNotice:
    """Change notice, and its acknowledgement.

    Attributes:
        name: Name of the process that sends it.
    """

    name: str


@register_message('revokeRequest')
@final
@dataclass(frozen=True, slots=True)
class RevokeRequest:
    """Asks to revoke grants based on older readings of the store.

    Attributes:
        service: Name of the group; empty for all.
        version: Grants based on readings older than this are revoked.
        holder: Name of the lease holder that asks.
    """

    service: str
    version: int
    holder: str


@register_message('revokeReply')
@final
@dataclass(frozen=True, slots=True)
class RevokeReply:
    """Confirms that the grants were revoked."""

    is_done: bool


@register_message('reachQuery')
@final
@dataclass(frozen=True, slots=True)
class ReachQuery:
    """Asks a peer to probe an endpoint.

    Attributes:
        service: Group of the endpoint.
        endpoint: Identifier of the endpoint.
    """

    service: str
    endpoint: str


@register_message('reachReply')
@final
@dataclass(frozen=True, slots=True)
class ReachReply:
    """Whether the endpoint answered the peer's probe."""

    is_reachable: bool
