"""Runs the benchmarks, checks their bounds and writes the result."""

import argparse
import asyncio
import json
import logging
import os
import platform
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
from loguru import logger
from rich.console import Console
from rich.table import Table

from benchmarks.latency import measure_acknowledgements, measure_overhead
from benchmarks.processcosts import measure_keeper
from benchmarks.propagation import measure_leaving, measure_settings
from benchmarks.quotacosts import measure_admission
from benchmarks.result import Figures, check_bounds
from benchmarks.startcosts import measure_start
from benchmarks.trials import measure_failovers, measure_shares

__all__ = ('main',)

_RESULT_PATH = Path('results/bench.json')
_GROUPS = 3


async def _measure_control(figures: Figures, *, is_quick: bool) -> None:
    """Measure a keeper process at today's number of groups."""
    if is_quick:
        figures.notes.append('keeper_cpu_share: not run in the quick mode')
        return
    cost = await measure_keeper(_GROUPS)
    figures.put('keeper_cpu_share', cost.cpu_share)
    figures.put('keeper_resident_mb', cost.resident_mb)
    figures.put('endpoint_bytes_per_s', cost.endpoint_bytes_per_s)
    figures.put('store_reads_per_s', cost.store_reads_per_s)


MEASURES: dict[str, Callable[..., Awaitable[None]]] = {  # noqa: WPS407
    'overhead': measure_overhead,
    'acknowledgements': measure_acknowledgements,
    'shares': measure_shares,
    'failovers': measure_failovers,
    'settings': measure_settings,
    'leaving': measure_leaving,
    'control': _measure_control,
    'start': measure_start,
    'quotas': measure_admission,
}


def main() -> int:
    """Run the selected benchmarks and return the exit status."""
    options = _parse()
    logger.remove()
    logging.getLogger(asyncio.__name__).setLevel(logging.CRITICAL)
    console = Console()
    figures = Figures()
    for name in options.only or MEASURES:
        took_s = _run_isolated(name, figures, is_quick=options.quick)
        console.print('{0}: {1:.0f} s'.format(name, took_s), highlight=False)
    figures.notes.append('fairness between teams: not measured yet')
    broken = [*check_bounds(figures), *figures.failures]
    console.print(_make_table(figures, _read_earlier(options.earlier)))
    for line in (*figures.notes, *broken):
        console.print(line, highlight=False, markup=False)
    result = {
        'machine': '{0}, {1} cores'.format(platform.machine(), os.cpu_count()),
        'python': platform.python_version(),
        'is_quick': options.quick,
        'figures': figures.values,
        'notes': figures.notes,
        'broken': broken,
    }
    text = '{0}\n'.format(json.dumps(result))
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_text(text, 'utf-8')
    sys.stdout.write(text)
    return 1 if broken else 0


def _run_isolated(name: str, figures: Figures, *, is_quick: bool) -> float:
    """Run a benchmark and record a failure, so that the others still run."""
    began = time.monotonic()
    try:
        anyio.run(_run_measure, name, figures, is_quick)
    except Exception as error:
        figures.failures.append('{0} failed: {1!r}'.format(name, error))
    return time.monotonic() - began


async def _run_measure(name: str, figures: Figures, quick: bool) -> None:
    await MEASURES[name](figures, is_quick=quick)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='benchmarks.run')
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--only', action='append', choices=sorted(MEASURES))
    parser.add_argument('--earlier', type=Path, default=_RESULT_PATH)
    parser.add_argument('--output', type=Path, default=_RESULT_PATH)
    return parser.parse_args()


def _read_earlier(path: Path) -> dict[str, float]:
    if not path.is_file():
        return {}
    return json.loads(path.read_text('utf-8'))['figures']


def _make_table(figures: Figures, earlier: dict[str, float]) -> Table:
    table = Table('figure', 'now', 'earlier')
    for name, value in figures.values.items():
        before = earlier.get(name)
        table.add_row(name, _format_value(value), _format_value(before))
    return table


def _format_value(value: float | None) -> str:
    return '' if value is None else '{0:g}'.format(value)


if __name__ == '__main__':
    sys.exit(main())
