"""Runs soak tests of gateway processes, one for each seed.

Usage: ``python -m benchmarks.soak.run --seeds 50``. Prints each violation and,
as its last line, one JSON object. Exits with code 1 if an invariant was
violated; the logs of these seeds are kept in the directory that is printed.
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
from benchmarks.soak import restorations as restorationkinds
from benchmarks.soak.history import History, Span
from benchmarks.soak.invariants import find_violations
from benchmarks.soak.plan import (
    Disruption,
    draw_plan,
    draw_restorations,
    kinds,
    restorations,
)
from benchmarks.soak.testbed import Testbed
from benchmarks.soak.upgrades import choose_roll, extract_build

__all__ = ('SoakSize', 'run_seed')

# Importing these modules registers their kinds of disruption.
_KINDS = (
    endpointdisruptions,
    gatewaydisruptions,
    restorationkinds,
    storedisruptions,
)
_SHOWN_VIOLATIONS = 3
# Ends disruptions that outlast the plan.
_DISRUPTION_TIMEOUT_S = 40


@final
@dataclass(frozen=True, slots=True)
class SoakSize:
    """Size of one soak.

    Attributes:
        seconds: Period in which disruptions begin, in seconds.
        gateways: Number of gateways.
        callers: Number of callers.
        restores: Whether the store also returns from older copies.
        earlier: Directory of an earlier build, which replaces this one or is
            replaced by it while callers are served.
        sync_replicas: Replicas that receive a commit before it is acknowledged.
    """

    seconds: float = 12
    gateways: int = 3
    callers: int = 16
    restores: bool = False
    earlier: Path | None = None
    sync_replicas: int = 0


async def run_seed(seed: int, size: SoakSize, folder: Path) -> History:
    """Run one soak and return its records."""
    plan = draw_plan(seed, size.seconds)
    if size.restores:
        plan.extend(draw_restorations(seed, size.seconds))
    testbed = Testbed(
        seed, folder, size.gateways, size.callers, size.sync_replicas
    )
    roll = None
    if size.earlier is not None:
        roll = choose_roll(seed, size.earlier)
        testbed.first_source = roll.first
    try:  # noqa: WPS501
        async with anyio.create_task_group() as tasks:
            await testbed.start(tasks)
            if roll is not None:
                tasks.start_soon(roll.run, testbed, size.seconds)
            await _run_plan(testbed, plan, size.seconds)
            await testbed.settle()
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            for program in testbed.programs:
                program.send_signal(signal.SIGCONT)
                await program.stop(signal.SIGKILL)  # noqa: WPS476
    return testbed.finish()


async def _run_plan(
    testbed: Testbed, plan: list[Disruption], seconds: float
) -> None:
    began_at = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for disruption in plan:
            tasks.start_soon(_disrupt, testbed, disruption, began_at)
        await anyio.sleep(seconds)


async def _disrupt(
    testbed: Testbed, disruption: Disruption, began_at: float
) -> None:
    await anyio.sleep_until(began_at + disruption.at_s)
    is_restoration = disruption.kind in restorations.names()
    registry = restorations if is_restoration else kinds
    kind = registry.find(disruption.kind)
    begins_at = anyio.current_time()
    target = ''
    with anyio.move_on_after(_DISRUPTION_TIMEOUT_S):
        target = await kind.disrupt(testbed, disruption)
    testbed.history.spans.append(
        Span(
            disruption.kind,
            target,
            begins_at,
            anyio.current_time(),
            kind.is_planned,
        ),
    )


def _run_alone(task: tuple[int, SoakSize, Path]) -> dict[str, Any]:
    """Run one seed in a process of its own and return its figures."""
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
    for text in figures['broken'][:_SHOWN_VIOLATIONS]:
        sys.stdout.write('  {0}\n'.format(text))
    sys.stdout.flush()


def main() -> None:
    """Run the soaks that the command line asks for."""
    defaults = SoakSize()
    parser = argparse.ArgumentParser(description=__doc__.split('\n', 1)[0])
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--seconds', type=float, default=defaults.seconds)
    parser.add_argument('--gateways', type=int, default=defaults.gateways)
    parser.add_argument('--callers', type=int, default=defaults.callers)
    parser.add_argument('--restores', action='store_true')
    parser.add_argument('--sync-replicas', type=int, default=0)
    parser.add_argument(
        '--from', dest='earlier', help='commit of an earlier build to mix with'
    )
    flags = parser.parse_args()
    parent = Path(tempfile.mkdtemp(prefix='soak-'))
    size = SoakSize(
        flags.seconds,
        flags.gateways,
        flags.callers,
        flags.restores,
        flags.earlier and extract_build(flags.earlier, parent / 'earlier'),
        flags.sync_replicas,
    )
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
