"""Prints results on a terminal."""

from collections.abc import Mapping

from rich.console import Console
from rich.table import Table

from catkincrank.load.summary import Latency, LoadFigures
from catkincrank.load.trial import Trial, TrialResult

__all__ = ('show_load', 'show_trial', 'show_violations')

_MS_PER_S = 1000
_MAX_SHOWN_VIOLATIONS = 5


def show_trial(console: Console, result: TrialResult) -> None:
    """Print the result of a trial as a table."""
    table = Table('measure', 'value', title=result.deployment)
    for name, text in _list_rows(result).items():
        table.add_row(name, text)
    console.print(table)


def show_load(console: Console, figures: LoadFigures) -> None:
    """Print the figures of a load run as a table."""
    table = Table('measure', 'value')
    for name, text in _list_load(figures).items():
        table.add_row(name, text)
    console.print(table)


def show_violations(console: Console, trial: Trial) -> None:
    """Print the first violations of each broken invariant."""
    for name, found in trial.violations.items():
        for violation in found[:_MAX_SHOWN_VIOLATIONS]:
            console.print('{0}: {1}'.format(name, violation), markup=False)


def _list_rows(result: TrialResult) -> Mapping[str, str]:
    return {
        **_list_load(result.load),
        'reads served by replicas': '{0:.1%}'.format(
            result.replica_read_share,
        ),
        'failover gaps': ', '.join(
            '{0:.2f} s'.format(gap) for gap in result.failover_gap_s
        ),
        'crashes': ', '.join(result.crashes) or 'none',
        **{
            'broken: {0}'.format(name): str(count)
            for name, count in result.invariants_broken.items()
        },
    }


def _list_load(load: LoadFigures) -> Mapping[str, str]:
    return {
        'requests': str(load.arrivals),
        'without success by their deadline': str(load.unserved),
        'writes acknowledged': str(load.writes_acknowledged),
        'read latency': _show_latency(load.reads),
        'write latency': _show_latency(load.writes),
        'refused, not run': str(load.refused_not_run),
        'may have run': str(load.may_have_run),
    }


def _show_latency(latency: Latency) -> str:
    return 'p50 {0:.1f} ms, p99 {1:.1f} ms, max {2:.1f} ms'.format(
        latency.p50 * _MS_PER_S,
        latency.p99 * _MS_PER_S,
        latency.highest * _MS_PER_S,
    )
