"""Troubles of the endpoints; each begins, waits and ends."""

import time

import anyio

from benchmarks.soak.networkfaults import Harm
from benchmarks.soak.plan import Trouble
from benchmarks.soak.targets import (
    MAX_DELAY_S,
    file_trouble,
    harm_for,
    pick_endpoint,
    pick_harm,
    pick_program,
)
from benchmarks.soak.testbed import World

__all__ = ()

_MAX_WORK_S = 0.2
_MAX_LAG_S = 2
_MAX_LOST = 6
_QUORUM = 3
_MS = 1000


@file_trouble('endpoint crashed')
async def crash_endpoint(world: World, trouble: Trouble) -> str:
    """Crash an endpoint; it restarts under its name without its data."""
    endpoint = pick_endpoint(world, trouble)
    wire = world.endpoint_wires[endpoint.endpoint_id]
    if not endpoint.is_up or world.count_up() < _QUORUM:
        return 'none'
    endpoint.is_up = False
    wire.harm(Harm(refuses=True))
    await wire.reset()
    world.platform.register_all()
    await anyio.sleep(trouble.for_s)
    wire.harm(None)
    world.group.restart(endpoint, int(time.time() * _MS))
    world.platform.register_all()
    return endpoint.endpoint_id


@file_trouble('endpoint silent')
async def silence_endpoint(world: World, trouble: Trouble) -> str:
    """Cut an endpoint off from all gateways, one way or both."""
    endpoint = pick_endpoint(world, trouble)
    wire = world.endpoint_wires[endpoint.endpoint_id]
    await harm_for([wire], pick_harm(trouble), trouble.for_s)
    return endpoint.endpoint_id


@file_trouble('endpoint cut')
async def cut_endpoint(world: World, trouble: Trouble) -> str:
    """Cut the path of one gateway to an endpoint, one way or both."""
    endpoint = pick_endpoint(world, trouble)
    program = pick_program(world, trouble)
    wire = world.endpoint_wires[endpoint.endpoint_id]
    await harm_for([wire], pick_harm(trouble), trouble.for_s, program.name)
    return '{0} {1}'.format(program.name, endpoint.endpoint_id)


@file_trouble('endpoint delayed')
async def delay_endpoint(world: World, trouble: Trouble) -> str:
    """Delay all that passes between an endpoint and the gateways."""
    endpoint = pick_endpoint(world, trouble)
    wire = world.endpoint_wires[endpoint.endpoint_id]
    harm = Harm(delay_s=trouble.choice * MAX_DELAY_S)
    await harm_for([wire], harm, trouble.for_s)
    return endpoint.endpoint_id


@file_trouble('endpoint slow')
async def slow_endpoint(world: World, trouble: Trouble) -> str:
    """Let an endpoint take longer for each statement."""
    endpoint = pick_endpoint(world, trouble)
    usual_s = endpoint.work_s
    endpoint.work_s = max(usual_s, trouble.choice * _MAX_WORK_S)
    await anyio.sleep(trouble.for_s)
    endpoint.work_s = world.work_s
    return endpoint.endpoint_id


@file_trouble('replicas behind')
async def delay_replicas(world: World, trouble: Trouble) -> str:
    """Let the replicas fall behind."""
    for endpoint in world.group.instances.values():
        endpoint.lag_s = trouble.strength * _MAX_LAG_S
    await anyio.sleep(trouble.for_s)
    for one in world.group.instances.values():
        one.lag_s = 0
    return 'all'


@file_trouble('answers lost')
async def lose_answers(world: World, trouble: Trouble) -> str:
    """Let an endpoint run statements and close without an answer."""
    endpoint = pick_endpoint(world, trouble)
    endpoint.lost_answers = int(1 + trouble.choice * _MAX_LOST)
    return endpoint.endpoint_id


@file_trouble('connections reset')
async def reset_connections(world: World, trouble: Trouble) -> str:
    """Reset the connections of an endpoint, or of a gateway to the store."""
    endpoint = pick_endpoint(world, trouble)
    await world.endpoint_wires[endpoint.endpoint_id].reset()
    program = pick_program(world, trouble)
    await world.store_wires[program.name].reset()
    return '{0} {1}'.format(program.name, endpoint.endpoint_id)
