"""Messages between gateway processes, encoded by ``envelope``.

A reading is the content of a table of the store at one version.
"""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import register_message

__all__ = (
    'ChangeNotice',
    'ReachQuery',
    'ReachReply',
    'RecallReply',
    'RecallRequest',
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
        era: Era of that version.
    """

    table: str
    version: int
    era: int = 0


@register_message('tableQuery')
@final
@dataclass(frozen=True, slots=True)
class TableQuery:
    """Asks a peer for its newest readings of tables.

    Attributes:
        name: Name of the process that asks.
        places: Version up to which it has read each table.
        heard: Names of the processes that have asked it for readings lately.
        accepts_compressed: Whether it can decompress rows.
    """

    name: str
    places: tuple[TableVersion, ...]
    heard: tuple[str, ...] = ()
    accepts_compressed: bool = False


@final
@dataclass(frozen=True, slots=True)
class TableRow:
    """A row of a table.

    Attributes:
        key: Key of the row.
        version: Version of the store that wrote it.
        body: Content of the row; empty if it was removed.
        is_removed: Whether the row was removed.
        is_compressed: Whether the content is compressed with zlib.
    """

    key: str
    version: int
    body: bytes
    is_removed: bool
    is_compressed: bool = False


@final
@dataclass(frozen=True, slots=True)
class TableReply:
    """A peer's newest reading of one table.

    Attributes:
        table: Name of the table.
        version: Version of the store when it was read.
        age_s: Age of the reading, in seconds; negative if there was none.
        rows: Rows that changed after the version in the query.
        era: Era of the version, and of those of the rows.
        is_whole: Whether the table has no other rows.
        reading_s: How long the store takes to send the table, in seconds; 0 if
            that is not noticeable.
    """

    table: str
    version: int
    age_s: float
    rows: tuple[TableRow, ...] = ()
    era: int = 0
    is_whole: bool = False
    reading_s: float = 0


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
    """Makes the receiver poll the lease holder; also the acknowledgement.

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
        era: Era of the version.
        pass_on_to: Names of the processes that the receiver asks in turn.
    """

    service: str
    version: int
    holder: str
    era: int = 0
    pass_on_to: tuple[str, ...] = ()


@register_message('revokeReply')
@final
@dataclass(frozen=True, slots=True)
class RevokeReply:
    """Confirms that the grants were revoked.

    Attributes:
        is_done: Whether the process that answers has revoked its own.
        confirmed: Names of the processes that it has asked in turn and that
            have confirmed.
    """

    is_done: bool
    confirmed: tuple[str, ...] = ()


@register_message('recallRequest')
@final
@dataclass(frozen=True, slots=True)
class RecallRequest:
    """Asks what a process knew of the groups before the store was restored.

    Attributes:
        holder: Name of the lease holder that asks.
        era: Era of the restored store.
    """

    holder: str
    era: int


@register_message('recallReply')
@final
@dataclass(frozen=True, slots=True)
class RecallReply:
    """Records of groups from earlier eras, encoded as in the fleet's table."""

    records: tuple[bytes, ...]


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
