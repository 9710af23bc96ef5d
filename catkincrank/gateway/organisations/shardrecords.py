"""Rows that say which VMs own the shards of the organisations' limits.

Organisations are divided into groups by their names. The limits of a group are
divided into equal shards, each owned by one VM.
"""

import zlib
from typing import Final, final

import msgspec

from catkincrank.gateway.fleetrecords import (
    Large,
    MemberRecord,
    Port,
    decode_record,
)

__all__ = (
    'GROUPS',
    'SHARDS',
    'ShardOwner',
    'ShardRecord',
    'decode_shards',
    'find_group',
    'is_shard_key',
    'shard_key',
)

GROUPS: Final = 4
# The loss of an owner takes an eighth of the limits away.
SHARDS: Final = 8
_PREFIX = 'limits/'


@final
class ShardOwner(msgspec.Struct, frozen=True):
    """VM that owns a shard.

    A later process with the same name and address runs on the same VM, so the
    earlier one has ended.

    Attributes:
        name: Name of the VM.
        host: IP number for its peers.
        port: TCP port for its peers.
    """

    name: str
    host: str
    port: Port

    @classmethod
    def of(cls, member: MemberRecord) -> 'ShardOwner':
        """Return the owner that a member of the fleet is."""
        return cls(member.name, member.host, member.port)


@final
class ShardRecord(msgspec.Struct, frozen=True):
    """Owners of the shards of one group of organisations.

    Attributes:
        group: Number of the group.
        owners: Owner of each shard.
        suspended: Numbers of the shards whose owners are being replaced.
        era: Era of the store in which the owners were confirmed.
    """

    group: int
    owners: tuple[ShardOwner, ...]
    suspended: tuple[Large, ...] = ()
    era: Large = 0

    def count_owned(self, owner: ShardOwner) -> int:
        """Return how many shards a VM may use."""
        return sum(
            1
            for number, one in enumerate(self.owners)
            if one == owner and number not in self.suspended
        )


def find_group(organisation: str) -> int:
    """Return the group that an organisation belongs to."""
    return zlib.crc32(organisation.encode('utf-8')) % GROUPS


def shard_key(group: int) -> str:
    """Return the key of a group's row."""
    return '{0}{1}'.format(_PREFIX, group)


def is_shard_key(key: str) -> bool:
    """Return whether a key is that of a row with owners of shards."""
    return key.startswith(_PREFIX)


def decode_shards(body: bytes) -> ShardRecord:
    """Decode a row with the owners of shards.

    Raises:
        msgspec.MsgspecError: The row is malformed, or of another division.
    """
    record = decode_record(body, ShardRecord)
    if len(record.owners) != SHARDS or not 0 <= record.group < GROUPS:
        raise msgspec.ValidationError('unknown division into shards')
    return record
