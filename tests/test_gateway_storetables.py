"""Readings of the store are made by one process and do for all others."""

from types import SimpleNamespace

import anyio
import pytest

from catkincrank.gateway import relay
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.options import Address, GatewayOptions
from catkincrank.gateway.storetables import Readings
from catkincrank.standins.memoryrows import MemoryRows, MemoryRowStore
from tests import virtualtime

NOWHERE = Address('127.0.0.1', 1)
OPTIONS = GatewayOptions(
    'vm', 'zone', 'region', NOWHERE, NOWHERE, NOWHERE, NOWHERE, '', ''
)
DOCUMENTS = SimpleNamespace(config_table='op', roster_table='servers')
# A round trip between regions and the peer's own turn, in seconds.
ANSWER_S = 0.1


@pytest.mark.parametrize('name', ['config', 'roster'])
@pytest.mark.parametrize('changes_each_s', [None, 0.3, 2])
def test_the_holders_readings_stay_fresh_for_its_peers(name, changes_each_s):
    """Each of 63 gateways read the platform's tables every three seconds.

    The reading that the holder passed on was older than its peers accept just
    before each answer of the store.
    """

    async def scenario():
        rows = MemoryRows()
        readings = Readings(
            MemoryRowStore(rows, 'vm'), OPTIONS, DOCUMENTS, Groups()
        )
        copy = getattr(readings, name)
        oldest = 0

        async def write():
            while changes_each_s:
                await anyio.sleep(changes_each_s)
                rows.write(copy.table, [], {'key': b'{}'})

        rows.write(copy.table, [], {'key': b'{}'})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(copy.run)
            tasks.start_soon(write)
            await anyio.sleep(1)
            for _ in range(2000):
                await anyio.sleep(0.01)
                oldest = max(oldest, anyio.current_time() - copy.read_at)
            tasks.cancel_scope.cancel()
        return oldest, copy._fresh_s

    oldest, fresh_s = virtualtime.run(scenario)
    assert oldest + relay._INTERVAL_S + ANSWER_S < fresh_s
