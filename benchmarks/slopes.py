"""Measures and records the costs on which docs/CAPACITY.md is based.

``python -m benchmarks.slopes`` writes docs/capacity.json and
docs/capacity.svg. ``--quick`` omits the larger fleets and keepers and writes
to results/ instead. ``--reuse`` computes the figures again from the recorded
costs, ``--reuse-relays`` measures everything but the fleets.
"""

import argparse
import platform
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, final

import anyio
import matplotlib as mpl
import msgspec
import psutil
from loguru import logger
from matplotlib import pyplot

from benchmarks.capacity import Figure, Size, Slopes, extrapolate
from benchmarks.messagecosts import measure_messages
from benchmarks.processcosts import measure_keeper, measure_proxy
from benchmarks.relaycosts import (
    RelayLoad,
    measure_relay,
    measure_relay_steps,
)
from benchmarks.statecosts import measure_state

_REQUIRED_CHANGES_PER_S = 11000 / 86400
_KEEPER_GROUPS = (0, 4, 8, 16)
_FLEETS = (
    RelayLoad(3, 8, _REQUIRED_CHANGES_PER_S, 240),
    RelayLoad(23, 8, _REQUIRED_CHANGES_PER_S, 240),
    RelayLoad(23, 91, _REQUIRED_CHANGES_PER_S, 120),
    RelayLoad(23, 91, 1, 20),
)
_READS = 3000
_CALLERS = 400
_BOUND_SHARE = 1
_MIN_PLOTTED_SHARE = 0.0005
_BOUND_STYLE = {'color': 'tab:red', 'linestyle': ':'}  # noqa: WPS407


@final
@dataclass(frozen=True, slots=True)
class Machine:
    """Machine of a run.

    Attributes:
        processors: Number of processors.
        python: Version of the interpreter.
        load_average: Load average of the last minute, over all processes.
    """

    processors: int
    python: str
    load_average: float


@final
@dataclass(frozen=True, slots=True)
class Run:
    """A run of the measurements.

    Attributes:
        machine: Machine of the run.
        commit: Measured revision.
        slopes: Measured costs.
        relay_commit: Revision at which the fleets were measured.
    """

    machine: Machine
    commit: str
    slopes: Slopes
    relay_commit: str = ''


def main() -> None:
    """Measure the costs, extrapolate them and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--reuse', action='store_true')
    parser.add_argument('--reuse-relays', action='store_true')
    options = parser.parse_args()
    logger.remove()
    folder = Path('results' if options.quick else 'docs')
    folder.mkdir(exist_ok=True)
    path = folder / 'capacity.json'
    relays = _read(path) if options.reuse_relays else None
    if options.reuse:
        run = _read(path)
    else:
        run = _measure(is_quick=options.quick, relays=relays)
    figures = extrapolate(Size(), run.slopes)
    _write(path, run, figures)
    _plot(folder / 'capacity.svg', run.slopes, figures)
    for figure in figures:
        sys.stdout.write('{0}\n'.format(_describe(figure)))


def _measure(*, is_quick: bool, relays: Run | None = None) -> Run:
    keepers = _KEEPER_GROUPS[:2] if is_quick else _KEEPER_GROUPS
    fleets = _FLEETS[:2] if is_quick else _FLEETS
    commit = _find_commit()
    tick_us, push_us = measure_relay_steps()
    slopes = Slopes(
        measure_messages(),
        measure_state(),
        tuple(anyio.run(measure_keeper, groups) for groups in keepers),
        anyio.run(measure_proxy, _READS, _CALLERS),
        relays.slopes.relays if relays else tuple(map(measure_relay, fleets)),
        tick_us,
        push_us,
    )
    machine = Machine(
        psutil.cpu_count() or 0,
        platform.python_version(),
        psutil.getloadavg()[0],
    )
    relay_commit = relays.relay_commit if relays else commit
    return Run(machine, commit, slopes, relay_commit)


def _read(path: Path) -> Run:
    return msgspec.json.decode(path.read_bytes(), type=Run)


def _write(path: Path, run: Run, figures: list[Figure]) -> None:
    content = {
        **msgspec.to_builtins(run),
        'figures': [
            {**msgspec.to_builtins(figure), 'share_of_bound': figure.share}
            for figure in figures
        ],
    }
    encoded = msgspec.json.format(msgspec.json.encode(content), indent=1)
    path.write_bytes(b'%b\n' % encoded)


def _find_commit() -> str:
    found = subprocess.run(
        ('git', 'rev-parse', '--short', 'HEAD'),
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip()


def _plot(path: Path, slopes: Slopes, figures: list[Figure]) -> None:
    mpl.rcParams['svg.hashsalt'] = 'catkincrank'
    chart, panels = pyplot.subplots(2, 2, figsize=(11, 8))
    _plot_keepers(panels[0][0], slopes)
    _plot_spread(panels[0][1], slopes)
    _plot_bytes(panels[1][0], slopes)
    _plot_shares(panels[1][1], figures)
    chart.tight_layout()
    chart.savefig(path, metadata={'Date': None})
    pyplot.close(chart)


def _plot_keepers(axes: Any, slopes: Slopes) -> None:
    groups = [keeper.groups for keeper in slopes.keepers]
    axes.plot(
        groups,
        [keeper.resident_mb for keeper in slopes.keepers],
        marker='o',
        label='resident MB',
    )
    axes.plot(
        groups,
        [100 * keeper.cpu_share for keeper in slopes.keepers],
        marker='s',
        label='% of a core',
    )
    axes.axhline(32, **_BOUND_STYLE)
    axes.axhline(1.8, **_BOUND_STYLE)
    axes.set_xlabel('groups watched')
    axes.set_title('A keeper at rest (bounds dotted)')
    axes.legend()


def _plot_spread(axes: Any, slopes: Slopes) -> None:
    relays = _list_relays(slopes)
    _plot_by_nodes(
        axes,
        relays,
        median=[relay.median_s for relay in relays],
        slowest_node=[relay.longest_s for relay in relays],
    )
    axes.axhline(11, **_BOUND_STYLE)
    axes.set_ylabel('s')
    axes.set_title('Settings: accepted to in force')


def _plot_bytes(axes: Any, slopes: Slopes) -> None:
    relays = _list_relays(slopes)
    _plot_by_nodes(
        axes,
        relays,
        mean_node=[relay.mean_bytes_per_s for relay in relays],
        busiest_node=[relay.most_bytes_per_s for relay in relays],
    )
    axes.axhline(3000, **_BOUND_STYLE)
    axes.set_ylabel('bytes/s, both ways')
    axes.set_title('Relay traffic of a node')


def _list_relays(slopes: Slopes) -> list[Any]:
    return [relay for relay in slopes.relays if relay.changes_per_s < 1]


def _plot_by_nodes(
    axes: Any,
    relays: list[Any],
    **lines: list[float],
) -> None:
    nodes = [relay.nodes for relay in relays]
    for name, heights in lines.items():
        label = name.replace('_', ' ')
        axes.plot(nodes, heights, marker='o', label=label)
    axes.set_xscale('log')
    axes.set_xlabel('nodes')
    axes.legend()


def _plot_shares(axes: Any, figures: list[Figure]) -> None:
    bounded = [figure for figure in figures if figure.share is not None]
    shares = [max(figure.share or 0, _MIN_PLOTTED_SHARE) for figure in bounded]
    colours = [
        'tab:red' if share > _BOUND_SHARE else 'tab:green' for share in shares
    ]
    axes.barh([figure.name for figure in bounded], shares, color=colours)
    axes.axvline(_BOUND_SHARE, **_BOUND_STYLE)
    axes.set_xscale('log')
    axes.invert_yaxis()
    axes.tick_params(axis='y', labelsize=7)
    axes.set_title('Share of the bound at the two-year size')


def _describe(figure: Figure) -> str:
    bound = '' if figure.bound is None else ' of {0:g}'.format(figure.bound)
    return '{0:<45} {1:>12.4g}{2} {3}'.format(
        figure.name,
        figure.amount,
        bound,
        figure.unit,
    )


if __name__ == '__main__':
    main()
