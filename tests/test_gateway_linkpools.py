import anyio
import pytest

from catkincrank.gateway.carriers import ConnectionShare
from catkincrank.gateway.linkpools import LinkPools, LinkRequest
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup
from catkincrank.standins.memorylink import MemoryDriver
from tests import virtualtime
from tests.gatewaypath import STRONG

CONNECTIONS = 8
VMS = 30


@pytest.mark.parametrize(
    ('share', 'all_served'),
    [
        (ConnectionShare(1, 1, is_contended=True), True),
        (ConnectionShare(1, 1), False),
    ],
)
def test_all_vms_are_served_only_if_idle_connections_are_closed(
    share, all_served
):
    """More VMs than connections, and each VM needs one only occasionally.

    VMs that keep an idle connection open block the others from connecting.
    """

    async def scenario():
        group = MemoryEndpointGroup('svc', ('a',))
        entry = group.list_entries()[0]
        held = set()
        served = set()

        class Driver(MemoryDriver):
            async def connect(self, entry, application):
                self.is_refusing = len(held) >= CONNECTIONS
                link = await super().connect(entry, application)
                held.add(link)
                close = link.close

                async def forget():
                    held.discard(link)
                    await close()

                link.close = forget
                return link

        driver = Driver({'svc': group}, [])
        async with anyio.create_task_group() as tasks:

            async def work(number):
                pools = LinkPools(driver, 'vm{0}'.format(number), tasks)
                pools.configure({entry.endpoint_id: entry}.get, lambda _: share)
                tasks.start_soon(pools.run)
                await anyio.sleep(number * 0.1)
                for _ in range(10):
                    try:
                        deadline = anyio.current_time() + 0.8
                        link_request = LinkRequest(
                            STRONG.name, STRONG.priority, deadline
                        )
                        link = await pools.borrow(entry, link_request)
                    except Exception:
                        await anyio.sleep(0.1)
                        continue
                    await anyio.sleep(0.02)
                    link.give_back()
                    served.add(number)
                    return

            async with anyio.create_task_group() as workers:
                for number in range(VMS):
                    workers.start_soon(work, number)
            tasks.cancel_scope.cancel()
        return len(served) == VMS

    assert virtualtime.run(scenario) is all_served
