"""Runs the fault matrix of a request for a number of seeds.

Usage: ``python -m benchmarks.faults --seeds 20``. Prints each violation and,
as its last line, one JSON object. Exits with code 1 if there are violations.
"""

import argparse
import json
import multiprocessing
import sys
from collections import Counter

import anyio
import looptime
from loguru import logger

from catkincrank.standins.faultmatrix import FaultCase, list_cases, run_case

_CASE_TIMEOUT_S = 1000
_SHOWN_PER_INVARIANT = 2


def _run(case: FaultCase) -> tuple[FaultCase, list[str], bool]:
    """Run one case in virtual time and describe its violations."""
    logger.remove()
    try:
        outcome = anyio.run(
            _run_with_timeout,
            case,
            backend='asyncio',
            backend_options={
                'loop_factory': lambda: looptime.new_event_loop(start=0),
            },
        )
    except Exception as error:
        return case, ['crash: {0!r}'.format(error)], True
    texts = [
        '{0}: {1.subject}: {1.explanation}'.format(name, violation)
        for name, violations in outcome.violations.items()
        for violation in violations[:_SHOWN_PER_INVARIANT]
    ]
    return case, texts, outcome.was_injected


async def _run_with_timeout(case: FaultCase) -> object:
    with anyio.fail_after(_CASE_TIMEOUT_S):
        return await run_case(case)


def _select_cases(options: argparse.Namespace) -> list[FaultCase]:
    seeds = range(options.first, options.first + options.seeds)
    cases = list_cases(seeds, acknowledgement=options.acknowledgement)
    if options.pairs:
        cases = list_cases(seeds, has_pairs=True)
    return [
        case
        for case in cases
        if options.fault in {'', case.fault} and options.step in {'', case.step}
    ]


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--first', type=int, default=0, help='first seed')
    parser.add_argument('--fault', default='', help='only this fault')
    parser.add_argument('--step', default='', help='only this step')
    parser.add_argument('--pairs', action='store_true')
    parser.add_argument('--acknowledgement', default='replica')
    parser.add_argument('--processes', type=int, default=4)
    return parser.parse_args()


def main() -> int:
    """Run the matrix."""
    options = _parse()
    cases = _select_cases(options)
    counts: Counter[str] = Counter()
    with multiprocessing.Pool(options.processes) as pool:
        for case, texts, was_injected in pool.imap_unordered(_run, cases):
            counts['violations'] += len(texts)
            counts['struck'] += was_injected
            for text in texts:
                sys.stdout.write('{0} {1}\n'.format(case, text))
    outcome = {
        'cases': len(cases),
        'violations': counts['violations'],
        'seeds': options.seeds,
        'struck': counts['struck'],
    }
    sys.stdout.write('{0}\n'.format(json.dumps(outcome)))
    return 1 if counts['violations'] else 0


if __name__ == '__main__':
    sys.exit(main())
