"""Load pattern: every VM loses power and callers return all at once."""

import anyio
import pytest

from catkincrank.gateway.catalog import Catalog, Service
from catkincrank.gateway.configurator import Configurator
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkpools import LinkRequest
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup
from tests import virtualtime
from tests.limiteddriver import LimitedDriver

CONNECTIONS = 33
MEMBERS = 7
WORK_S = 0.06
# An endpoint counts the connections of a dead VM for 3 s, and a VM is back
# 1.6 s after it lost power.
COUNTED_FOR_S = 1.4
LIMIT_S = 0.8


class _Vm:
    """Connections of one VM, divided as by the gateway."""

    def __init__(self, name, group, driver, members, tasks):
        self.groups = Groups()
        self.groups.accept(
            Catalog(1, {}, {'svc': Service('svc', CONNECTIONS, 0)}, 3)
        )
        for entry in group.list_entries():
            self.groups.roster.put(entry)
        self.provider = LinkProvider(driver, members[name], {}, tasks)
        self.configurator = Configurator(
            None, self.groups, self.provider, lambda: members
        )

    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.provider.run)
            while True:
                self.configurator.divide_connections()
                await anyio.sleep(0.5)

    async def run_statement(self, entry):
        link_request = LinkRequest('r', 1, anyio.current_time() + LIMIT_S)
        try:
            borrowed = await self.provider.borrow(entry, link_request)
        except Exception:
            return False
        await anyio.sleep(WORK_S)
        borrowed.give_back()
        return True


@pytest.mark.parametrize(
    ('dead', 'served_share'),
    [
        # As many as all VMs may hold: only the spare connections are left.
        (28, 0.9),
        (14, 0.99),
        (0, 0.99),
    ],
)
def test_callers_are_served_soon_after_all_vms_restart(dead, served_share):
    """Guards against VMs that keep to one connection for seconds.

    New processes opened one connection to each endpoint until those of their
    predecessors had certainly expired. Four of seven VMs, which carried all
    statements meanwhile, refused a fifth of them.
    """

    async def scenario():
        group = MemoryEndpointGroup('svc', ('a', 'b', 'c'))
        entries = group.list_entries()
        driver = LimitedDriver({'svc': group}, CONNECTIONS)
        driver.dead = dead
        driver.dead_until = anyio.current_time() + COUNTED_FOR_S
        names = ['vm{0}'.format(number) for number in range(MEMBERS)]
        members = {
            name: MemberRecord(name, 'i', '127.0.0.1', 1, 'zone')
            for name in names
        }
        served = []
        async with anyio.create_task_group() as tasks:
            vms = [
                _Vm(name, group, driver, members, tasks) for name in names[:4]
            ]
            for vm in vms:
                tasks.start_soon(vm.run)
            await anyio.sleep(0.3)

            async def call(number):
                vm = vms[number % len(vms)]
                served.append(await vm.run_statement(entries[number % 3]))

            async with anyio.create_task_group() as callers:
                for number in range(900):
                    callers.start_soon(call, number)
                    await anyio.sleep(1 / 300)
            tasks.cancel_scope.cancel()
        return sum(served) / len(served)

    assert virtualtime.run(scenario) >= served_share
