"""Load pattern: steady reads with one replica near and the others far away."""

import dataclasses

import anyio
import pytest

from catkincrank.gateway.position import Position
from tests import virtualtime
from tests.gatewaypath import RequestPath

NEAR_WORK_S = 0.035
# One round trip between regions takes 24 ms more.
FAR_WORK_S = 0.059
SLOTS = 5


async def _read_for(path, count, length_s):
    """Run ``count`` concurrent readers; return the share of the near replica.

    The first reads are not counted, as they measure the response times.
    """

    async def read():
        session = path.open('bounded')
        ends_at = anyio.current_time() + length_s
        while anyio.current_time() < ends_at:
            path.evidence.add_sample(anyio.current_time(), Position(1, 0))
            await path.run_statement(session, b'READ k')
            await anyio.sleep(0.03)

    for _ in range(2):
        path.runs.clear()
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(read)
    near = sum(run.endpoint_id == 'b' for run in path.runs)
    return near / len(path.runs)


@pytest.mark.parametrize(
    ('readers', 'least', 'most'),
    [(1, 0.9, 1), (3, 0.9, 1), (6, 0.7, 1), (40, 0.3, 0.8)],
)
def test_reads_stay_near_while_the_replica_has_free_slots(readers, least, most):
    """Guards against reads that cross regions although a slot is free nearby.

    Each statement in flight counted as much as a whole service time, as if an
    endpoint ran one at a time, so a second concurrent read went to another
    region.
    """

    async def scenario():
        async with anyio.create_task_group() as tasks:
            path = RequestPath(tasks)
            path.grant('a')
            for entry in path.group.list_entries():
                is_near = entry.endpoint_id == 'b'
                zone = 'zone' if is_near else entry.endpoint_id
                path.groups.roster.put(
                    dataclasses.replace(entry, zone=zone, slots=SLOTS)
                )
                path.group.instances[entry.endpoint_id].work_s = (
                    NEAR_WORK_S if is_near else FAR_WORK_S
                )
            found = await _read_for(path, readers, 3)
            tasks.cancel_scope.cancel()
        return found

    assert least <= virtualtime.run(scenario) <= most
