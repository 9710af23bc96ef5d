"""Plots of a run."""

import io
from collections.abc import Sequence

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from catkincrank.load.outcome import Outcome
from catkincrank.load.report import RunReport
from catkincrank.verdict import Verdict

__all__ = ('draw_run',)

_WIDTH_IN = 10
_HEIGHT_IN = 11
_MS_PER_S = 1000
_ROWS = 4
_MARK_SIZE = 4
_LINE_WIDTH = 0.8


def draw_run(picture: RunReport) -> str:
    """Return the plots as SVG."""
    figure = Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout='constrained')
    axes = figure.subplots(_ROWS, 1, sharex=True)
    _draw_latency(axes[0], picture.tally.outcomes)
    _draw_writes(axes[1], picture)
    _draw_share(axes[2], picture.reads)
    _draw_queue(axes[3], picture.tally.queue)
    for each in axes:
        for at_s, _ in picture.faults:
            each.axvline(
                at_s, color='grey', linewidth=_LINE_WIDTH, linestyle='--'
            )
    for at_s, name in picture.faults:
        axes[0].annotate(name, (at_s, 1), xycoords=('data', 'axes fraction'))
    axes[-1].set_xlabel('seconds from the start')
    written = io.StringIO()
    figure.savefig(written, format='svg')
    text = written.getvalue()
    return text[text.index('<svg') :]


def _draw_latency(axes: Axes, outcomes: Sequence[Outcome]) -> None:
    for name, is_write in (('reads', False), ('writes', True)):
        kept = [
            one
            for one in outcomes
            if one.is_write is is_write and one.verdict is Verdict.RAN
        ]
        axes.plot(
            [one.arrival.at_s for one in kept],
            [one.latency_s * _MS_PER_S for one in kept],
            '.',
            markersize=_MARK_SIZE,
            label=name,
        )
    axes.set_yscale('log')
    axes.set_ylabel('latency from arrival, ms')
    axes.legend()


def _draw_writes(axes: Axes, picture: RunReport) -> None:
    for number, _ in enumerate(picture.services):
        times = [
            one.finished_s
            for one in picture.tally.outcomes
            if one.service == number
            and one.is_write
            and one.verdict is Verdict.RAN
        ]
        axes.plot(times, [number for _ in times], '|')
    axes.set_yticks(range(len(picture.services)), picture.services)
    axes.set_ylabel('writes served')


def _draw_share(axes: Axes, reads: Sequence[tuple[float, bool]]) -> None:
    seconds: dict[int, list[bool]] = {}
    for at_s, is_replica in reads:
        seconds.setdefault(int(at_s), []).append(is_replica)
    shares = {
        second: sum(served) / len(served)
        for second, served in sorted(seconds.items())
    }
    axes.step(list(shares), list(shares.values()), where='post')
    axes.set_ylim(0, 1)
    axes.set_ylabel('reads on replicas')


def _draw_queue(axes: Axes, queue: Sequence[tuple[float, int]]) -> None:
    axes.step(
        [at_s for at_s, _ in queue],
        [length for _, length in queue],
        where='post',
    )
    axes.set_ylabel('requests waiting')
