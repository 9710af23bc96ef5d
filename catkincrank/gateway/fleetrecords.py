"""Rows that the fleet keeps in a table of its own in the platform's store."""

from typing import Final, final

import msgspec

from catkincrank.gateway.position import Position

__all__ = (
    'BEAT_KEY',
    'FLEET_TABLE',
    'HOLDER_KEY',
    'GroupRecord',
    'HolderRecord',
    'MemberRecord',
    'decode_group',
    'decode_holder',
    'decode_member',
    'encode_record',
    'group_key',
    'member_key',
)

FLEET_TABLE: Final = 'catkincrank'
HOLDER_KEY: Final = 'holder'
# Written again and again by the holder, to show that it lives.
BEAT_KEY: Final = 'beat'
_GROUP_PREFIX = 'group/'
_MEMBER_PREFIX = 'member/'
# Sessions that idle through more changes of primary than this lose sight of
# what the oldest of them rolled back.
_KEPT_BASES = 16


@final
class HolderRecord(msgspec.Struct, frozen=True):
    """Who may replace primaries; the row's version is the fencing token.

    Attributes:
        name: Name of the VM.
        incarnation: Life of its process.
    """

    name: str
    incarnation: str


@final
class MemberRecord(msgspec.Struct, frozen=True):
    """A process that may hold grants.

    Attributes:
        name: Name of the VM.
        incarnation: Life of its process.
        host: IP number for its peers.
        port: TCP port for its peers.
        zone: Availability zone.
    """

    name: str
    incarnation: str
    host: str
    port: int
    zone: str


@final
class GroupRecord(msgspec.Struct, frozen=True):
    """Who leads a group.

    Attributes:
        service: The group.
        primary: Identifier of the primary.
        born_ms: Its incarnation.
        term: Its term.
        is_replacing: Whether it is being replaced, so that no grant holds.
        bases: For each term, where its log began: term, then the position's
            term and number.
    """

    service: str
    primary: str
    born_ms: int
    term: int
    is_replacing: bool = False
    bases: tuple[tuple[int, int, int], ...] = ()

    def list_bases(self) -> tuple[tuple[int, Position], ...]:
        """Return the bases as positions."""
        return tuple(
            (began, Position(term, number))
            for began, term, number in self.bases
        )

    def replace(self) -> 'GroupRecord':
        """Return the record while the primary is being replaced."""
        return msgspec.structs.replace(self, is_replacing=True)

    def keep(self) -> 'GroupRecord':
        """Return the record if the primary stays after all."""
        return msgspec.structs.replace(self, is_replacing=False)

    def follow(
        self,
        primary: str,
        born_ms: int,
        term: int,
        base: Position,
    ) -> 'GroupRecord':
        """Return the record of the next primary."""
        bases = (*self.bases, (term, base.term, base.number))
        return GroupRecord(
            self.service,
            primary,
            born_ms,
            term,
            bases=bases[-_KEPT_BASES:],
        )


def group_key(service: str) -> str:
    """Return the key of a group's row."""
    return _GROUP_PREFIX + service


def member_key(name: str) -> str:
    """Return the key of a member's row."""
    return _MEMBER_PREFIX + name


def is_group_key(key: str) -> bool:
    """Return whether a key is that of a group's row."""
    return key.startswith(_GROUP_PREFIX)


def is_member_key(key: str) -> bool:
    """Return whether a key is that of a member's row."""
    return key.startswith(_MEMBER_PREFIX)


def encode_record(record: msgspec.Struct) -> bytes:
    """Return the bytes of a row."""
    return msgspec.json.encode(record)


def decode_group(body: bytes) -> GroupRecord:
    """Return a group's row."""
    return msgspec.json.decode(body, type=GroupRecord)


def decode_member(body: bytes) -> MemberRecord:
    """Return a member's row."""
    return msgspec.json.decode(body, type=MemberRecord)


def decode_holder(body: bytes) -> HolderRecord:
    """Return the holder's row."""
    return msgspec.json.decode(body, type=HolderRecord)
