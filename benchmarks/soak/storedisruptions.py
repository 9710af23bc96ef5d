"""Troubles of the store; each begins, waits and ends."""

import anyio

from benchmarks.soak.networkfaults import Harm
from benchmarks.soak.plan import Trouble
from benchmarks.soak.targets import (
    MAX_DELAY_S,
    file_trouble,
    harm_for,
    pick_harm,
    pick_program,
)
from benchmarks.soak.testbed import World

__all__ = ()


@file_trouble('store cut')
async def cut_store(world: World, trouble: Trouble) -> str:
    """Cut the path of one gateway to the store, one way or both."""
    program = pick_program(world, trouble)
    wire = world.store_wires[program.name]
    await harm_for([wire], pick_harm(trouble), trouble.for_s)
    return program.name


@file_trouble('store down')
async def take_store_down(world: World, trouble: Trouble) -> str:
    """Let the store refuse everybody."""
    async with anyio.create_task_group() as tasks:
        wires = world.store_wires.values()
        harm = Harm(refuses=True)
        tasks.start_soon(harm_for, wires, harm, trouble.for_s)
        for wire in wires:
            tasks.start_soon(wire.reset)
    return 'all'


@file_trouble('store slow')
async def slow_store(world: World, trouble: Trouble) -> str:
    """Delay all that passes between the store and the gateways."""
    harm = Harm(delay_s=trouble.strength * MAX_DELAY_S)
    await harm_for(world.store_wires.values(), harm, trouble.for_s)
    return 'all'


@file_trouble('history lost')
async def lose_history(world: World, trouble: Trouble) -> str:
    """Let the store forget which rows changed."""
    rows = world.platform.rows
    rows.horizon = rows.version
    return 'store'


@file_trouble('promotions cut')
async def cut_promotions(world: World, trouble: Trouble) -> str:
    """Cut the path of one gateway to what appoints primaries."""
    program = pick_program(world, trouble)
    wire = world.promoter_wires[program.name]
    await harm_for([wire], pick_harm(trouble), trouble.for_s)
    return program.name
