"""Local copies of the store's tables, and the registration as a member."""

import secrets
from typing import final

import anyio

from catkincrank.errors import StoreUnavailableError
from catkincrank.gateway.configurator import PlatformSchema
from catkincrank.gateway.features import FEATURES
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    MemberRecord,
    encode_record,
    member_key,
)
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.organisations.keyconcealment import KeyConcealment
from catkincrank.gateway.organisations.shardrecords import ShardOwner
from catkincrank.gateway.organisations.shardstate import ShardState
from catkincrank.gateway.resilience import run_restarting
from catkincrank.gateway.rowstore import RowStore
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.logs import log_event

__all__ = ('StoreTables', 'make_fleet_copy')

# How long one call to the store waits for changes. A lost connection must be
# detected within the time in which a configuration has to take effect; longer
# waits mean fewer calls, which the platform charges for.
_CONFIG_WAIT_S = 1.0
_ROSTER_WAIT_S = 0.8
_FLEET_WAIT_S = 1.2
# The store is not read while readings from peers are no older than this. It
# covers two waits of the holder, as the age of a reading counts from its
# request, plus the gap below and the peers' poll interval. For grants it also
# leaves time to find another source before they expire.
_PLATFORM_MAX_AGE_S = 2.8
_FLEET_MAX_AGE_S = 1.5
# Registrations change constantly; the gap batches their changes.
_ROSTER_GAP_S = 0.4
# While a fleet starts, each process writes a row; without the gap each process
# would read the table once for every row.
_FLEET_GAP_S = 0.25
_REGISTER_INTERVAL_S = 0.3


@final
class StoreTables:
    """Local copies of the tables that a process needs.

    Args:
        store: The platform's store.
        options: Options of the process.
        schema: Names of the platform's tables.
        groups: Receives the grants.
        started_at: When earlier processes of this VM had ended, in seconds.

    Attributes:
        store: The platform's store.
        config: Copy of the operator's configuration.
        roster: Copy of the endpoint registrations.
        fleet_state: State of the fleet's own table.
        shards: Owners of the shards of the organisations' limits.
    """

    __slots__ = ('config', 'fleet_state', 'roster', 'shards', 'store')

    def __init__(
        self,
        store: RowStore,
        options: GatewayOptions,
        schema: PlatformSchema,
        groups: Groups,
        started_at: float,
    ) -> None:
        self.store = store
        self.config = TableCopy(
            KeyConcealment(store, schema.conceal_keys),
            schema.config_table,
            _CONFIG_WAIT_S,
            max_age_s=_PLATFORM_MAX_AGE_S,
        )
        self.roster = TableCopy(
            store,
            schema.roster_table,
            _ROSTER_WAIT_S,
            _ROSTER_GAP_S,
            _PLATFORM_MAX_AGE_S,
        )
        self.fleet_state = FleetState(
            make_fleet_copy(store),
            groups,
            MemberRecord(
                options.name,
                secrets.token_hex(4),
                options.peers.host,
                options.peers.port,
                options.zone,
                FEATURES,
            ),
        )
        self.shards = ShardState(
            self.fleet_state.copy,
            ShardOwner.of(self.fleet_state.own_member),
            started_at,
        )

    @property
    def copies(self) -> tuple[TableCopy, ...]:
        """All table copies."""
        return self.config, self.roster, self.fleet_state.copy

    async def run(self) -> None:
        """Update the copies and maintain the own row until cancelled."""
        async with anyio.create_task_group() as tasks:
            for copy in self.copies:
                tasks.start_soon(run_restarting, copy.table, copy.run)
            tasks.start_soon(run_restarting, 'registration', self._register)

    async def unregister(self) -> None:
        """Remove the own row, so that peers stop contacting this process."""
        key = member_key(self.fleet_state.own_member.name)
        try:
            await self.store.write(FLEET_TABLE, [], {}, [key])
        except StoreUnavailableError as error:
            log_event('unregistration_failed', cause=str(error))

    async def _register(self) -> None:
        """Write the own row whenever the fleet's table lacks it."""
        key = member_key(self.fleet_state.own_member.name)
        body = encode_record(self.fleet_state.own_member)
        while True:
            if not self.fleet_state.is_registered:
                try:
                    await self._write_row(key, body)
                except StoreUnavailableError as error:
                    log_event('registration_failed', cause=str(error))
            await anyio.sleep(_REGISTER_INTERVAL_S)

    async def _write_row(self, key: str, body: bytes) -> None:
        await self.store.write(FLEET_TABLE, [], {key: body})
        await self.fleet_state.copy.reload()


def make_fleet_copy(store: RowStore) -> TableCopy:
    """Return a copy of the fleet's own table."""
    return TableCopy(
        store,
        FLEET_TABLE,
        _FLEET_WAIT_S,
        _FLEET_GAP_S,
        _FLEET_MAX_AGE_S,
    )
