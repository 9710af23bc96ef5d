"""Writes, as the lease holder, which VMs own the shards of the limits."""

from collections.abc import Sequence
from typing import final

import anyio

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.failoverlease import FailoverLease
from catkincrank.gateway.features import LIMIT_SHARDS, list_lacking
from catkincrank.gateway.fleetrecords import FLEET_TABLE, encode_record
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.organisations.quotas import Quotas
from catkincrank.gateway.organisations.shardassignment import (
    REPLACEMENT_S,
    ShardAssigner,
)
from catkincrank.gateway.organisations.shardrecords import (
    ShardRecord,
    shard_key,
)
from catkincrank.gateway.organisations.shardstate import ShardState
from catkincrank.gateway.rowstore import ORIGIN, Condition, RowStore
from catkincrank.logs import log_event

__all__ = ('ShardWriter',)

# Shards are divided once no member has come or gone for this long, so that the
# first ones of a fleet do not get all.
_STABLE_S = 1.5


@final
class ShardWriter:
    """Assigns shards once all members divide limits into them.

    Args:
        store: The platform's store.
        fleet: State of the fleet's table.
        shards: Owners of the shards, as read.
        lease: Failover lease; its holder assigns the shards.
        shares: Allocates shares until then.
    """

    __slots__ = (
        '_assigner',
        '_fleet',
        '_has_closed',
        '_lease',
        '_members',
        '_members_since',
        '_shards',
        '_shares',
        '_store',
        '_token',
    )

    def __init__(
        self,
        store: RowStore,
        fleet: FleetState,
        shards: ShardState,
        lease: FailoverLease,
        shares: Quotas,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._shards = shards
        self._lease = lease
        self._shares = shares
        self._assigner = ShardAssigner()
        self._token = 0
        # Whether the shares were closed for a write that may take effect.
        self._has_closed = False
        self._members: frozenset[str] = frozenset()
        self._members_since: float = 0

    @property
    def may_allocate_shares(self) -> bool:
        """Whether no process uses shards, as far as is known."""
        if self._shards.is_complete or self._has_closed:
            return False
        return not self._may_hide_owners(anyio.current_time())

    async def update(self) -> None:
        """Assign shards if this process holds the lease and some need it."""
        now = anyio.current_time()
        self._watch_members(now)
        lease = self._lease
        if not (lease.is_held and lease.is_settled):
            return
        if lease.token != self._token:
            # A write under the lease before can no longer take effect.
            self._token = lease.token
            self._assigner = ShardAssigner()
            self._has_closed = False
        records = self._choose_records(now)
        if records:
            await self._write(records)

    def _watch_members(self, now: float) -> None:
        members = frozenset(self._fleet.members)
        if members != self._members:
            self._members = members
            self._members_since = now

    def _choose_records(self, now: float) -> list[ShardRecord]:
        """Return the records to write."""
        fleet = self._fleet
        shards = self._shards
        if shards.is_confirmed:
            return self._assigner.replace_absent(
                shards.records, fleet.members, now
            )
        is_stable = now >= self._members_since + _STABLE_S
        has_all = not list_lacking(LIMIT_SHARDS, fleet.members.values())
        if not has_all and not self._has_closed:
            self._shares.reopen()
        if not (has_all and is_stable) or self._may_hide_owners(now):
            return []
        if not (shards.is_complete or self._has_closed):
            self._has_closed = self._shares.close()
            if not self._has_closed:
                return []
        return self._assigner.assign_all(fleet.members, fleet.era)

    def _may_hide_owners(self, now: float) -> bool:
        """Return whether owners may use shards that the table does not show.

        A restored table may lack the newest owners.
        """
        fleet = self._fleet
        return bool(fleet.era) and now < fleet.era_began_at + REPLACEMENT_S

    async def _write(self, records: Sequence[ShardRecord]) -> None:
        rows = self._fleet.copy.rows
        bodies = {}
        conditions = list(self._lease.held.conditions)
        for record in records:
            key = shard_key(record.group)
            row = rows.get(key)
            bodies[key] = encode_record(record)
            conditions.append(Condition(key, row.revision if row else ORIGIN))
        try:
            await self._store.write(FLEET_TABLE, conditions, bodies)
        except (ConflictError, StoreUnavailableError) as error:
            log_event('shards_unwritten', 'WARNING', cause=str(error))
            return
        for record in records:
            log_event(
                'shards_assigned',
                group=record.group,
                owners=[owner.name for owner in record.owners],
                suspended=list(record.suspended),
                token=self._token,
            )
        await self._fleet.copy.try_reload()
