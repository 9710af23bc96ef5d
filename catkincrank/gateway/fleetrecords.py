"""Rows of the fleet's own table in the platform's store."""

from typing import Annotated, Final, TypeVar, final

import msgspec

from catkincrank.gateway.position import Position

__all__ = (
    'FLEET_TABLE',
    'HEARTBEAT_KEY',
    'HOLDER_KEY',
    'GroupRecord',
    'HeartbeatRecord',
    'HolderRecord',
    'Large',
    'MemberRecord',
    'Port',
    'decode_group',
    'decode_heartbeat',
    'decode_holder',
    'decode_member',
    'decode_record',
    'encode_record',
    'group_key',
    'lease_key',
    'member_key',
)

FLEET_TABLE: Final = 'catkincrank'
HOLDER_KEY: Final = 'holder'
# Row that the lease holder rewrites as its heartbeat.
HEARTBEAT_KEY: Final = 'beat'
_GROUP_PREFIX = 'group/'
_MEMBER_PREFIX = 'member/'
_LEASE_PREFIX = 'lease/'
_RecordT = TypeVar('_RecordT', bound=msgspec.Struct)
# Numbers beyond these limits do not fit into the messages between gateways.
_MAX_PORT = 65535
_MAX_LARGE = (1 << 63) - 1  # noqa: WPS432
Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
_Host = Annotated[str, msgspec.Meta(pattern=r'^[0-9A-Za-z.:-]{1,45}\Z')]
Large = Annotated[int, msgspec.Meta(ge=0, le=_MAX_LARGE)]
# The store's limit for the texts that name its rows.
_MAX_NAME_CHARS = 200
_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]
_Seconds = Annotated[float, msgspec.Meta(ge=0)]
# Terms whose first position is stored. A session that is idle during more
# changes of primary than this does not detect rollbacks at the oldest ones.
_MAX_BASES = 16


@final
class HolderRecord(msgspec.Struct, frozen=True):
    """Holder of the failover lease.

    Attributes:
        name: Name of the VM.
        incarnation: Identifier of the process, new at each start.
        lease: Identifier of the lease, new at each takeover.
        era: Era of the store in which the lease was taken over.
        features: What the holder's build can do beyond the first ones.
    """

    name: _Name
    incarnation: _Name
    lease: _Name = ''
    era: Large = 0
    features: tuple[_Name, ...] = ()


@final
class HeartbeatRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Heartbeat of the lease holder.

    Attributes:
        listed_s: Time for which all removals of members that did not answer are
            listed, in seconds; ``None`` if unknown.
        pruned: Names of these members, with the least time since then.
    """

    listed_s: _Seconds | None = None
    pruned: tuple[tuple[_Name, _Seconds], ...] = ()


@final
class MemberRecord(msgspec.Struct, frozen=True):
    """A member of the fleet: a process that may hold grants.

    Attributes:
        name: Name of the VM.
        incarnation: Identifier of the process, new at each start.
        host: IP number for its peers.
        port: TCP port for its peers.
        zone: Availability zone.
        features: What its build can do beyond the first ones.
    """

    name: _Name
    incarnation: _Name
    host: _Host
    port: Port
    zone: _Name
    features: tuple[_Name, ...] = ()

    def leads_to(self, other: 'MemberRecord') -> bool:
        """Return whether this row describes another process as well.

        Its peers reach it by the row, and know what its build can do.
        """
        own = (self.host, self.port, self.zone, self.features)
        return own == (other.host, other.port, other.zone, other.features)


@final
class GroupRecord(msgspec.Struct, frozen=True):
    """Primary of a group.

    Attributes:
        service: Name of the group.
        primary: Identifier of the primary; empty in a marked record if no
            endpoint led the group.
        born_ms: Start of the primary's incarnation, in Unix milliseconds.
        term: Term of the primary.
        is_replacing: Whether the primary is being replaced, so that no grant
            is given for it.
        bases: Where the log of each term began: the term, then the term and
            number of the position.
        era: Era of the store in which a lease holder last confirmed the record.
    """

    service: _Name
    primary: _Name
    born_ms: Large
    term: Large
    is_replacing: bool = False
    bases: tuple[tuple[Large, Large, Large], ...] = ()
    era: Large = 0

    def confirm(self, era: int) -> 'GroupRecord':
        """Return the record as confirmed in an era of the store."""
        return msgspec.structs.replace(self, era=era)

    def list_bases(self) -> tuple[tuple[int, Position], ...]:
        """Return the bases as positions."""
        return tuple(
            (began, Position(term, number))
            for began, term, number in self.bases
        )

    def mark_replacing(self) -> 'GroupRecord':
        """Return the record with the replacement mark set."""
        return msgspec.structs.replace(self, is_replacing=True)

    def clear_replacing(self, born_ms: int) -> 'GroupRecord':
        """Return the record without the mark, for a start of the primary."""
        return msgspec.structs.replace(
            self, is_replacing=False, born_ms=born_ms
        )

    def with_primary(
        self,
        primary: str,
        born_ms: int,
        term: int,
        base: Position,
    ) -> 'GroupRecord':
        """Return the record with another primary in a later term."""
        bases = (*self.bases, (term, base.term, base.number))
        return GroupRecord(
            self.service,
            primary,
            born_ms,
            term,
            bases=bases[-_MAX_BASES:],
            era=self.era,
        )


def group_key(service: str) -> str:
    """Return the key of a group's row."""
    return _GROUP_PREFIX + service


def member_key(name: str) -> str:
    """Return the key of a member's row."""
    return _MEMBER_PREFIX + name


def lease_key(lease: str) -> str:
    """Return the key of the row that exists while a lease is held."""
    return _LEASE_PREFIX + lease


def is_group_key(key: str) -> bool:
    """Return whether a key is that of a group's row."""
    return key.startswith(_GROUP_PREFIX)


def is_member_key(key: str) -> bool:
    """Return whether a key is that of a member's row."""
    return key.startswith(_MEMBER_PREFIX)


def encode_record(record: msgspec.Struct) -> bytes:
    """Return the encoded row of a record."""
    return msgspec.json.encode(record)


def decode_record(body: bytes, kind: type[_RecordT]) -> _RecordT:
    """Decode a row, which may come from another writer.

    Raises:
        msgspec.MsgspecError: The row is malformed.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except RecursionError:
        raise msgspec.DecodeError('nested too deeply') from None


def decode_group(body: bytes) -> GroupRecord:
    """Decode the row of a group."""
    return decode_record(body, GroupRecord)


def decode_heartbeat(body: bytes) -> HeartbeatRecord:
    """Decode the row of the holder's heartbeat."""
    return decode_record(body, HeartbeatRecord)


def decode_member(body: bytes) -> MemberRecord:
    """Decode the row of a member."""
    return decode_record(body, MemberRecord)


def decode_holder(body: bytes) -> HolderRecord:
    """Decode the row of the lease holder."""
    return decode_record(body, HolderRecord)
