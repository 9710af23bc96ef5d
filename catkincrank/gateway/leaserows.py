"""Conditional writes of the failover lease to the fleet's table.

A store that is restored from a copy gives out versions again, so the version
of the holder's row alone does not identify a takeover. Each takeover therefore
writes a row whose key is new, and removes that of the lease before it. Every
write of a holder depends on its own row: a write that is delayed until after
the next takeover, or whose takeover is missing in the copy, is refused.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import final

from catkincrank.gateway.fleetrecords import (
    HOLDER_KEY,
    HolderRecord,
    encode_record,
    lease_key,
)
from catkincrank.gateway.rowstore import ORIGIN, Condition, Revision

__all__ = ('HeldLease', 'RowWrite', 'make_token', 'plan_takeover')

# Bits of a fencing token below the era; a store that writes a thousand times a
# second takes 30 years to fill them.
_VERSION_BITS = 40
_LEASE_BODY = b'{}'


@final
@dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write of rows of the fleet's table.

    Attributes:
        conditions: Revisions that rows must have.
        bodies: Rows to write, by key.
        removed: Keys of rows to remove.
    """

    conditions: tuple[Condition, ...]
    bodies: Mapping[str, bytes] = field(default_factory=dict)
    removed: tuple[str, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this process has taken over.

    Attributes:
        record: The holder's row.
        revision: Revision of that row.
    """

    record: HolderRecord
    revision: Revision

    @property
    def token(self) -> int:
        """Fencing token."""
        return make_token(self.revision)

    @property
    def conditions(self) -> tuple[Condition, ...]:
        """Conditions under which the lease is still held."""
        return _list_conditions(self.record, self.revision)


def make_token(revision: Revision) -> int:
    """Return the fencing token of a takeover; later takeovers get greater ones.

    The era comes first, as the versions of a later era may be lower.
    """
    return (revision.era << _VERSION_BITS) + revision.version


def plan_takeover(
    previous: tuple[Revision, HolderRecord] | None,
    own: HolderRecord,
) -> RowWrite:
    """Return the write that takes over the lease.

    Args:
        previous: Row of the holder before, if there is one.
        own: Row to write.
    """
    bodies = {
        HOLDER_KEY: encode_record(own),
        lease_key(own.lease): _LEASE_BODY,
    }
    if previous is None:
        return RowWrite((Condition(HOLDER_KEY, ORIGIN),), bodies)
    revision, record = previous
    removed = (lease_key(record.lease),) if record.lease else ()
    return RowWrite(_list_conditions(record, revision), bodies, removed)


def _list_conditions(
    record: HolderRecord, revision: Revision
) -> tuple[Condition, ...]:
    keys = [HOLDER_KEY]
    if record.lease:
        keys.append(lease_key(record.lease))
    return tuple(Condition(key, revision) for key in keys)
