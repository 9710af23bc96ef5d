"""Troubles of the gateways; each begins, waits and ends."""

import signal

import anyio

from benchmarks.soak.plan import Trouble
from benchmarks.soak.program import Program
from benchmarks.soak.targets import (
    file_trouble,
    pick_program,
)
from benchmarks.soak.testbed import World

__all__ = ()


@file_trouble('gateway stopped', is_planned=True)
async def stop_gateway(world: World, trouble: Trouble) -> str:
    """Stop a gateway gracefully while callers keep using it."""
    program = pick_program(world, trouble)
    async with program.lock:
        await program.stop(signal.SIGTERM)
        await program.start()
    return program.name


@file_trouble('gateway hung up', is_planned=True)
async def hang_up(world: World, trouble: Trouble) -> str:
    """Send SIGHUP."""
    program = pick_program(world, trouble)
    program.send_signal(signal.SIGHUP)
    return program.name


@file_trouble('settings changed', is_planned=True)
async def change_settings(world: World, trouble: Trouble) -> str:
    """Write a newer configuration."""
    world.write_settings()
    return 'version {0}'.format(world.settings_version)


@file_trouble('gateway killed')
async def kill_gateway(world: World, trouble: Trouble) -> str:
    """Kill a gateway and start it again."""
    program = pick_program(world, trouble)
    async with program.lock:
        await program.stop(signal.SIGKILL)
        await anyio.sleep(trouble.for_s)
        await program.start()
    return program.name


@file_trouble('gateways killed')
async def kill_gateways(world: World, trouble: Trouble) -> str:
    """Kill all gateways at once and start them again."""
    async with anyio.create_task_group() as tasks:
        for program in world.programs:
            tasks.start_soon(_kill_briefly, program, trouble.for_s)
    return 'all'


async def _kill_briefly(program: Program, for_s: float) -> None:
    async with program.lock:
        await program.stop(signal.SIGKILL)
        await anyio.sleep(for_s)
        await program.start()


@file_trouble('gateway paused')
async def pause_gateway(world: World, trouble: Trouble) -> str:
    """Suspend a gateway for a while."""
    program = pick_program(world, trouble)
    async with program.lock:
        program.send_signal(signal.SIGSTOP)
        await anyio.sleep(trouble.for_s)
        program.send_signal(signal.SIGCONT)
    return program.name
