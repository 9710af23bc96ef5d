"""Disruptions of the store and of the promotion service.

Each function starts a disruption, waits and ends it.
"""

import anyio

from benchmarks.soak.networkfaults import NetworkFault
from benchmarks.soak.plan import Disruption
from benchmarks.soak.targets import (
    MAX_DELAY_S,
    inject_fault,
    pick_fault,
    pick_program,
    register_disruption,
)
from benchmarks.soak.testbed import Testbed

__all__ = ()


@register_disruption('store cut')
async def cut_store(testbed: Testbed, disruption: Disruption) -> str:
    """Cut the path of one gateway to the store, one way or both."""
    program = pick_program(testbed, disruption)
    injector = testbed.store_injectors[program.name]
    await inject_fault([injector], pick_fault(disruption), disruption.for_s)
    return program.name


@register_disruption('store down')
async def take_store_down(testbed: Testbed, disruption: Disruption) -> str:
    """Have the store refuse all connections."""
    async with anyio.create_task_group() as tasks:
        injectors = testbed.store_injectors.values()
        fault = NetworkFault(refuses=True)
        tasks.start_soon(inject_fault, injectors, fault, disruption.for_s)
        for injector in injectors:
            tasks.start_soon(injector.reset)
    return 'all'


@register_disruption('store slow')
async def slow_store(testbed: Testbed, disruption: Disruption) -> str:
    """Delay all data between the store and the gateways."""
    fault = NetworkFault(delay_s=disruption.strength * MAX_DELAY_S)
    await inject_fault(
        testbed.store_injectors.values(), fault, disruption.for_s
    )
    return 'all'


@register_disruption('history lost')
async def lose_history(testbed: Testbed, disruption: Disruption) -> str:
    """Discard the store's history of row changes."""
    rows = testbed.platform.rows
    rows.horizon = rows.version
    return 'store'


@register_disruption('promotions cut')
async def cut_promotions(testbed: Testbed, disruption: Disruption) -> str:
    """Cut the path of one gateway to the promotion service."""
    program = pick_program(testbed, disruption)
    injector = testbed.promoter_injectors[program.name]
    await inject_fault([injector], pick_fault(disruption), disruption.for_s)
    return program.name
