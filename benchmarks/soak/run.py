"""Runs soaks of the gateway's real processes, one for each seed.

Usage: ``python -m benchmarks.soak.run --seeds 50``. Prints each broken promise
and, as its last line, one JSON object. Exit code 1 stands for broken promises;
the logs of the processes stay in the folder that is printed.
"""

import argparse
import json
import multiprocessing
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any, final

import anyio
from loguru import logger

from benchmarks.soak import (
    endpointdisruptions,
    gatewaydisruptions,
    storedisruptions,
)
from benchmarks.soak.history import History, Span
from benchmarks.soak.invariants import find_violations
from benchmarks.soak.plan import Trouble, draw_plan, kinds
from benchmarks.soak.testbed import World

__all__ = ('SoakSize', 'run_seed')

# Filling the registry is what this import is for.
_KINDS = (endpointdisruptions, gatewaydisruptions, storedisruptions)
_SHOWN = 3
# What lasts longer than the plan is cut short by the end of the soak.
_LAST_TROUBLE_S = 40


@final
@dataclass(frozen=True, slots=True)
class SoakSize:
    """How large one soak is.

    Attributes:
        seconds: How long troubles begin, in seconds.
        gateways: How many gateways run.
        callers: How many callers there are.
    """

    seconds: float = 12
    gateways: int = 3
    callers: int = 16


async def run_seed(seed: int, size: SoakSize, folder: Path) -> History:
    """Run one soak and return what was seen."""
    plan = draw_plan(seed, size.seconds)
    world = World(seed, folder, size.gateways, size.callers)
    try:  # noqa: WPS501
        async with anyio.create_task_group() as tasks:
            await world.start(tasks)
            await _play(world, plan, size.seconds)
            await world.settle()
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            for program in world.programs:
                program.send_signal(signal.SIGCONT)
                await program.stop(signal.SIGKILL)  # noqa: WPS476
    return world.finish()


async def _play(world: World, plan: list[Trouble], seconds: float) -> None:
    began_at = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for trouble in plan:
            tasks.start_soon(_strike, world, trouble, began_at)
        await anyio.sleep(seconds)


async def _strike(world: World, trouble: Trouble, began_at: float) -> None:
    await anyio.sleep_until(began_at + trouble.at_s)
    kind = kinds.find(trouble.kind)
    begins_at = anyio.current_time()
    target = ''
    with anyio.move_on_after(_LAST_TROUBLE_S):
        target = await kind.strike(world, trouble)
    world.history.spans.append(
        Span(
            trouble.kind,
            target,
            begins_at,
            anyio.current_time(),
            kind.is_planned,
        ),
    )


def _run_alone(task: tuple[int, SoakSize, Path]) -> dict[str, Any]:
    """Run one seed in a process of its own; return its figures."""
    seed, size, parent = task
    logger.remove()
    folder = parent / str(seed)
    folder.mkdir()
    began_at = time.monotonic()
    try:
        history = anyio.run(run_seed, seed, size, folder)
    except Exception as error:
        return {'seed': seed, 'broken': ['soak: {0!r}'.format(error)]}
    broken = find_violations(history)
    if broken:
        text = json.dumps([repr(span) for span in history.spans], indent=1)
        (folder / 'troubles.json').write_text(text)
        (folder / 'broken.txt').write_text('\n'.join(broken))
    else:
        shutil.rmtree(folder)
    outcomes = Counter(one.outcome.name for one in history.attempts.values())
    return {
        'seed': seed,
        'broken': broken,
        'outcomes': dict(outcomes),
        'promotions': len(history.primary_changes),
        'kinds': sorted({span.kind for span in history.spans}),
        'took_s': time.monotonic() - began_at,
    }


def _report(figures: dict[str, Any]) -> None:
    seed = figures['seed']
    verdict = 'broken' if figures['broken'] else 'kept'
    rest = {key: found for key, found in figures.items() if key != 'broken'}
    sys.stdout.write('{0} {1} {2}\n'.format(seed, verdict, json.dumps(rest)))
    for text in figures['broken'][:_SHOWN]:
        sys.stdout.write('  {0}\n'.format(text))
    sys.stdout.flush()


def main() -> None:
    """Run the soaks that the command line asks for."""
    usual = SoakSize()
    parser = argparse.ArgumentParser(description=__doc__.split('\n', 1)[0])
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--seconds', type=float, default=usual.seconds)
    parser.add_argument('--gateways', type=int, default=usual.gateways)
    parser.add_argument('--callers', type=int, default=usual.callers)
    flags = parser.parse_args()
    size = SoakSize(flags.seconds, flags.gateways, flags.callers)
    parent = Path(tempfile.mkdtemp(prefix='soak-'))
    sys.stdout.write('logs of broken seeds: {0}\n'.format(parent))
    seeds = range(flags.first, flags.first + flags.seeds)
    tasks = [(seed, size, parent) for seed in seeds]
    broken = []
    with multiprocessing.Pool(flags.jobs, maxtasksperchild=1) as workers:
        for figures in workers.imap_unordered(_run_alone, tasks):
            _report(figures)
            if figures['broken']:
                broken.append(figures['seed'])
    outcome = {'seeds': flags.seeds, 'broken': sorted(broken)}
    sys.stdout.write('{0}\n'.format(json.dumps(outcome)))
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
