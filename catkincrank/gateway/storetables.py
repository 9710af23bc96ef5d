"""What one process reads of the platform's store, and its row there."""

import secrets
from typing import final

import anyio

from catkincrank.errors import StoreUnavailableError
from catkincrank.gateway.configurator import Documents
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    MemberRecord,
    encode_record,
    member_key,
)
from catkincrank.gateway.fleetstate import Ledger
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.rowstore import RowStore
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.logs import log_event

__all__ = ('Readings', 'follow_fleet')

# How long one call to the store waits for changes: short enough that a lost
# connection is noticed within the time in which a configuration must be in
# force, long enough that calls, which are priced, stay few.
_CONFIG_WAIT_S = 1.0
_ROSTER_WAIT_S = 0.8
_FLEET_WAIT_S = 1.2
# While readings of others are no older than this, the store is not asked: two
# waits of the holder, since a reading counts from its question, the gap below
# and its peers' interval; grants also need time left to find another source.
_DOCUMENTS_FRESH_S = 2.8
_FLEET_FRESH_S = 1.5
# Registrations change all the time; their changes are gathered for a while.
_ROSTER_GAP_S = 0.4
# A fleet that starts writes a row for each process; without a pause each of
# them would read the table once for each row.
_FLEET_GAP_S = 0.25
_REGISTER_PAUSE_S = 0.3


@final
class Readings:
    """Copies of the tables that a process needs.

    Args:
        store: The platform's store.
        options: Options of the process.
        documents: Names the platform's tables.
        groups: Where grants are put.

    Attributes:
        store: The platform's store.
        config: The operator's configuration.
        roster: Registrations of endpoints.
        ledger: The fleet's own table.
    """

    __slots__ = ('config', 'ledger', 'roster', 'store')

    def __init__(
        self,
        store: RowStore,
        options: GatewayOptions,
        documents: Documents,
        groups: Groups,
    ) -> None:
        self.store = store
        self.config = TableCopy(
            store,
            documents.config_table,
            _CONFIG_WAIT_S,
            fresh_s=_DOCUMENTS_FRESH_S,
        )
        self.roster = TableCopy(
            store,
            documents.roster_table,
            _ROSTER_WAIT_S,
            _ROSTER_GAP_S,
            _DOCUMENTS_FRESH_S,
        )
        self.ledger = Ledger(
            follow_fleet(store),
            groups,
            MemberRecord(
                options.name,
                secrets.token_hex(4),
                options.peers.host,
                options.peers.port,
                options.zone,
            ),
        )

    @property
    def copies(self) -> tuple[TableCopy, ...]:
        """All copies."""
        return self.config, self.roster, self.ledger.copy

    async def run(self) -> None:
        """Keep the copies and the own row until cancelled."""
        async with anyio.create_task_group() as tasks:
            for copy in self.copies:
                tasks.start_soon(copy.run)
            tasks.start_soon(self._register)

    async def unregister(self) -> None:
        """Remove the own row; others need not ask this process any more."""
        key = member_key(self.ledger.me.name)
        try:
            await self.store.write(FLEET_TABLE, [], {}, [key])
        except StoreUnavailableError as error:
            log_event('unregistration_failed', cause=str(error))

    async def _register(self) -> None:
        """Keep the own row in the fleet's table."""
        key = member_key(self.ledger.me.name)
        body = encode_record(self.ledger.me)
        while True:
            if not self.ledger.is_registered:
                try:
                    await self._write_row(key, body)
                except StoreUnavailableError as error:
                    log_event('registration_failed', cause=str(error))
            await anyio.sleep(_REGISTER_PAUSE_S)

    async def _write_row(self, key: str, body: bytes) -> None:
        await self.store.write(FLEET_TABLE, [], {key: body})
        await self.ledger.copy.reload()


def follow_fleet(store: RowStore) -> TableCopy:
    """Return a copy of the fleet's own table."""
    return TableCopy(
        store,
        FLEET_TABLE,
        _FLEET_WAIT_S,
        _FLEET_GAP_S,
        _FLEET_FRESH_S,
    )
