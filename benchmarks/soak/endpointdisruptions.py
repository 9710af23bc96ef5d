"""Disruptions of the endpoints.

Each function starts a disruption, waits and ends it.
"""

import time

import anyio

from benchmarks.soak.networkfaults import NetworkFault
from benchmarks.soak.plan import Disruption
from benchmarks.soak.targets import (
    MAX_DELAY_S,
    inject_fault,
    pick_endpoint,
    pick_fault,
    pick_program,
    register_disruption,
)
from benchmarks.soak.testbed import Testbed

__all__ = ()

_MAX_WORK_S = 0.2
_MAX_LAG_S = 2
_MAX_LOST_ANSWERS = 6
_QUORUM = 3
_MS = 1000


@register_disruption('endpoint crashed')
async def crash_endpoint(testbed: Testbed, disruption: Disruption) -> str:
    """Crash an endpoint; it restarts under its name without its data.

    In a group with synchronous replicas it keeps its data.
    """
    endpoint = pick_endpoint(testbed, disruption)
    injector = testbed.endpoint_injectors[endpoint.endpoint_id]
    if not endpoint.is_up or testbed.count_up() < _QUORUM:
        return 'none'
    endpoint.is_up = False
    injector.set_fault(NetworkFault(refuses=True))
    await injector.reset()
    testbed.platform.register_all()
    await anyio.sleep(disruption.for_s)
    injector.set_fault(None)
    born_ms = int(time.time() * _MS)
    if testbed.group.sync_replicas:
        endpoint.is_up = True
        endpoint.born_ms = born_ms
        endpoint.is_primary = endpoint is testbed.group.newest_primary
    else:
        testbed.group.restart(endpoint, born_ms)
    testbed.platform.register_all()
    return endpoint.endpoint_id


@register_disruption('endpoint silent')
async def silence_endpoint(testbed: Testbed, disruption: Disruption) -> str:
    """Cut an endpoint off from all gateways, one way or both."""
    endpoint = pick_endpoint(testbed, disruption)
    injector = testbed.endpoint_injectors[endpoint.endpoint_id]
    await inject_fault([injector], pick_fault(disruption), disruption.for_s)
    return endpoint.endpoint_id


@register_disruption('endpoint cut')
async def cut_endpoint(testbed: Testbed, disruption: Disruption) -> str:
    """Cut the path of one gateway to an endpoint, one way or both."""
    endpoint = pick_endpoint(testbed, disruption)
    program = pick_program(testbed, disruption)
    injector = testbed.endpoint_injectors[endpoint.endpoint_id]
    await inject_fault(
        [injector], pick_fault(disruption), disruption.for_s, program.name
    )
    return '{0} {1}'.format(program.name, endpoint.endpoint_id)


@register_disruption('endpoint delayed')
async def delay_endpoint(testbed: Testbed, disruption: Disruption) -> str:
    """Delay all data between an endpoint and the gateways."""
    endpoint = pick_endpoint(testbed, disruption)
    injector = testbed.endpoint_injectors[endpoint.endpoint_id]
    fault = NetworkFault(delay_s=disruption.choice * MAX_DELAY_S)
    await inject_fault([injector], fault, disruption.for_s)
    return endpoint.endpoint_id


@register_disruption('endpoint slow')
async def slow_endpoint(testbed: Testbed, disruption: Disruption) -> str:
    """Increase the time that an endpoint takes for each statement.

    In a group with synchronous replicas it is too busy to report its state.
    """
    endpoint = pick_endpoint(testbed, disruption)
    initial_s = endpoint.work_s
    endpoint.work_s = max(initial_s, disruption.choice * _MAX_WORK_S)
    endpoint.is_busy = testbed.group.sync_replicas > 0
    await anyio.sleep(disruption.for_s)
    endpoint.is_busy = False
    endpoint.work_s = testbed.work_s
    return endpoint.endpoint_id


@register_disruption('replicas behind')
async def delay_replicas(testbed: Testbed, disruption: Disruption) -> str:
    """Increase the replication lag of the replicas.

    In a group with synchronous replicas, of one of them only.
    """
    lagging = list(testbed.group.instances.values())
    if testbed.group.sync_replicas:
        lagging = [lagging[int(disruption.choice * len(lagging))]]
    for endpoint in lagging:
        endpoint.lag_s = disruption.strength * _MAX_LAG_S
    await anyio.sleep(disruption.for_s)
    for one in testbed.group.instances.values():
        one.lag_s = 0
    return 'all'


@register_disruption('answers lost')
async def lose_answers(testbed: Testbed, disruption: Disruption) -> str:
    """Have an endpoint run statements and close without an answer."""
    endpoint = pick_endpoint(testbed, disruption)
    endpoint.lost_answers = int(1 + disruption.choice * _MAX_LOST_ANSWERS)
    return endpoint.endpoint_id


@register_disruption('connections reset')
async def reset_connections(testbed: Testbed, disruption: Disruption) -> str:
    """Reset the connections of an endpoint, or of a gateway to the store."""
    endpoint = pick_endpoint(testbed, disruption)
    await testbed.endpoint_injectors[endpoint.endpoint_id].reset()
    program = pick_program(testbed, disruption)
    await testbed.store_injectors[program.name].reset()
    return '{0} {1}'.format(program.name, endpoint.endpoint_id)
