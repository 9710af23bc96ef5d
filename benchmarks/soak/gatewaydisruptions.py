"""Disruptions of the gateways, with planned work.

Each function starts a disruption, waits and ends it.
"""

import signal

import anyio

from benchmarks.soak.plan import Disruption
from benchmarks.soak.program import Program
from benchmarks.soak.targets import (
    pick_program,
    register_disruption,
)
from benchmarks.soak.testbed import Testbed

__all__ = ()


@register_disruption('gateway stopped', is_planned=True)
async def stop_gateway(testbed: Testbed, disruption: Disruption) -> str:
    """Stop a gateway gracefully while callers keep using it."""
    program = pick_program(testbed, disruption)
    async with program.lock:
        await program.stop(signal.SIGTERM)
        await program.start()
    return program.name


@register_disruption('gateway hung up', is_planned=True)
async def hang_up(testbed: Testbed, disruption: Disruption) -> str:
    """Send SIGHUP to a gateway."""
    program = pick_program(testbed, disruption)
    program.send_signal(signal.SIGHUP)
    return program.name


@register_disruption('settings changed', is_planned=True)
async def change_settings(testbed: Testbed, disruption: Disruption) -> str:
    """Write a newer configuration."""
    testbed.write_settings()
    return 'version {0}'.format(testbed.settings_version)


@register_disruption('gateway killed')
async def kill_gateway(testbed: Testbed, disruption: Disruption) -> str:
    """Kill a gateway and start it again."""
    program = pick_program(testbed, disruption)
    async with program.lock:
        await program.stop(signal.SIGKILL)
        await anyio.sleep(disruption.for_s)
        await program.start()
    return program.name


@register_disruption('gateways killed')
async def kill_gateways(testbed: Testbed, disruption: Disruption) -> str:
    """Kill all gateways at once and start them again."""
    async with anyio.create_task_group() as tasks:
        for program in testbed.programs:
            tasks.start_soon(_kill_briefly, program, disruption.for_s)
    return 'all'


async def _kill_briefly(program: Program, for_s: float) -> None:
    async with program.lock:
        await program.stop(signal.SIGKILL)
        await anyio.sleep(for_s)
        await program.start()


@register_disruption('gateway paused')
async def pause_gateway(testbed: Testbed, disruption: Disruption) -> str:
    """Suspend a gateway for a while."""
    program = pick_program(testbed, disruption)
    async with program.lock:
        program.send_signal(signal.SIGSTOP)
        await anyio.sleep(disruption.for_s)
        program.send_signal(signal.SIGCONT)
    return program.name
