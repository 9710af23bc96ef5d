"""Load pattern: the callers of one zone ask for twice their usual load."""

import random

import anyio
import pytest

from catkincrank.errors import EndpointError
from catkincrank.gateway.carriers import Carriers
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.linkpools import LinkPools, LinkRequest
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup
from catkincrank.verdict import RequestError
from tests import virtualtime
from tests.limiteddriver import LimitedDriver

CONNECTIONS = 46
SLOTS = 4
ZONES = ('a', 'b', 'c', 'd', 'e', 'f')
FLEET = {
    'vm{0}'.format(number): MemberRecord(
        'vm{0}'.format(number), 'i', '10.0.0.1', 1, ZONES[number % len(ZONES)]
    )
    for number in range(31)
}
BUSY_VMS = [name for name, one in FLEET.items() if one.zone == 'a']
# A write takes this long; a tenth of the transactions pause for longer.
WORK_S = 0.01
PAUSE_S = 0.4
LIMIT_S = 0.8
ARRIVALS_PER_S = 60


def _choose_vm(carriers: Carriers, name: str, entry: EndpointEntry) -> str:
    """Return the VM on whose connections a statement of ``name`` runs."""
    carrier = carriers.find(entry, anyio.current_time())
    return name if carrier is None else carrier.name


async def _run_statement(pools, entry, pause_s) -> bool:
    link_request = LinkRequest('r', 1, anyio.current_time() + LIMIT_S)
    try:
        borrowed = await pools.borrow(entry, link_request)
    except (EndpointError, RequestError):
        return False
    await anyio.sleep(WORK_S + pause_s)
    borrowed.give_back()
    return True


@pytest.mark.parametrize('pausing_share', [0.1, 0.3])
def test_burst_of_one_zone_uses_the_connections_of_all(pausing_share):
    """Guards against callers refused beside idle connections.

    Each of 31 VMs held one of the 44 connections. The six VMs of a zone with a
    burst refused statements, as a single transaction occupied what each had.
    """

    async def scenario():
        group = MemoryEndpointGroup('svc', ('i-1',))
        entry = EndpointEntry('i-1', 'svc', '10.0.1.1', 80, 'a', SLOTS)
        driver = LimitedDriver({'svc': group}, CONNECTIONS)
        source = random.Random(7)
        served = []
        async with anyio.create_task_group() as tasks:
            carriers = {name: Carriers(one, {}) for name, one in FLEET.items()}
            pools = {}
            for name, one in carriers.items():
                one.configure({'svc': CONNECTIONS}, FLEET)
                pools[name] = LinkPools(driver, name, tasks)
                pools[name].configure(lambda _: entry, one.share)
                tasks.start_soon(pools[name].run)

            async def call():
                name = source.choice(BUSY_VMS)
                vm = _choose_vm(carriers[name], name, entry)
                pauses = source.random() < pausing_share
                served.append(
                    await _run_statement(pools[vm], entry, PAUSE_S * pauses)
                )

            async with anyio.create_task_group() as callers:
                for _ in range(10 * ARRIVALS_PER_S):
                    callers.start_soon(call)
                    await anyio.sleep(1 / ARRIVALS_PER_S)
            tasks.cancel_scope.cancel()
        return sum(served) / len(served)

    assert virtualtime.run(scenario) > 0.98
