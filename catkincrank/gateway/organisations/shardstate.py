"""What this process knows of the shards, and which of them it may use."""

from typing import Final, final

import anyio
import msgspec

from catkincrank.gateway.features import LIMIT_SHARDS
from catkincrank.gateway.fleetrecords import HOLDER_KEY, decode_holder
from catkincrank.gateway.organisations.shardrecords import (
    GROUPS,
    ShardOwner,
    ShardRecord,
    decode_shards,
    is_shard_key,
)
from catkincrank.gateway.rowerrors import log_unreadable
from catkincrank.gateway.rowstore import RowChange
from catkincrank.gateway.tablecopy import TableCopy

__all__ = ('OWNERSHIP_S', 'ShardState')

# An owner uses its shards for this long after a reading of the table that shows
# it as the owner, so that limits outlast outages of the store. A shard whose
# owner has ended is missing for as long.
OWNERSHIP_S: Final = 60.0
# After a holder of a build without shards, its shares may be in use this long.
_EARLIER_SHARES_S = 15.0


@final
class ShardState:
    """Owners of the shards, by the newest reading of the fleet's table.

    Args:
        copy: Copy of the fleet's table.
        owner: This VM.
        started_at: When earlier processes of this VM had ended, in seconds.

    Attributes:
        owner: This VM.
        records: Newest record of each group. After a restoration of the store
            the record from before is kept until it is confirmed.
    """

    __slots__ = (
        '_blocked_until',
        '_confirmed_at',
        '_copy',
        '_has_earlier_holder',
        '_has_read',
        '_owned_since',
        '_started_at',
        'owner',
        'records',
    )

    def __init__(
        self, copy: TableCopy, owner: ShardOwner, started_at: float
    ) -> None:
        self.owner = owner
        self.records: dict[int, ShardRecord] = {}
        self._copy = copy
        self._started_at = started_at
        self._has_read = False
        self._has_earlier_holder = False
        self._blocked_until: float = 0
        self._confirmed_at: dict[int, float] = {}
        self._owned_since: dict[int, float] = {}
        copy.listen(self.apply_changes)

    @property
    def era(self) -> int:
        """Era of the newest reading of the store."""
        return self._copy.revision.era

    @property
    def is_complete(self) -> bool:
        """Whether the owners of all shards are known."""
        return len(self.records) == GROUPS

    @property
    def is_in_force(self) -> bool:
        """Whether operations are admitted by tokens of the shards."""
        return self.is_complete and not self._has_earlier_holder

    @property
    def is_confirmed(self) -> bool:
        """Whether all owners are confirmed in the current era of the store."""
        return self.is_complete and all(
            record.era == self.era for record in self.records.values()
        )

    def apply_changes(self, changed: tuple[RowChange, ...]) -> None:
        """Apply a reading of the fleet's table."""
        for row in changed:
            try:
                self._apply_row(row)
            except msgspec.MsgspecError as error:
                log_unreadable(row, error)
        now = anyio.current_time()
        if self._has_earlier_holder:
            self._blocked_until = now + _EARLIER_SHARES_S
        for record in self.records.values():
            if record.era == self.era:
                self._confirm(record, now)
        self._has_read = True

    def count_usable(self, group: int, now: float) -> int:
        """Return how many shards of a group this process may use."""
        record = self.records.get(group)
        confirmed_at = self._confirmed_at.get(group)
        if record is None or confirmed_at is None or now < self._blocked_until:
            return 0
        if now >= confirmed_at + OWNERSHIP_S:
            return 0
        return record.count_owned(self.owner)

    def find_owned_since(self, group: int, now: float) -> float:
        """Return since when no other process has used the own shards."""
        return self._owned_since.get(group, now)

    def _apply_row(self, row: RowChange) -> None:
        if row.body is None:
            return
        if row.key == HOLDER_KEY:
            holder = decode_holder(row.body)
            self._has_earlier_holder = LIMIT_SHARDS not in holder.features
        elif is_shard_key(row.key):
            self._apply_record(decode_shards(row.body))

    def _apply_record(self, record: ShardRecord) -> None:
        """Apply the owners that a reading shows.

        A restored table may show earlier owners. They replace what is known
        only once the lease holder has confirmed them.
        """
        is_current = record.era == self.era
        if is_current or record.group not in self.records:
            self.records[record.group] = record

    def _confirm(self, record: ShardRecord, now: float) -> None:
        """Record that the newest reading shows the owners of a group."""
        self._confirmed_at[record.group] = self._copy.read_at
        if record.count_owned(self.owner):
            # An earlier process of this VM owned what the first reading shows,
            # and has ended before this one started.
            since = now if self._has_read else self._started_at
            self._owned_since.setdefault(record.group, since)
        else:
            self._owned_since.pop(record.group, None)
