"""Command ``explain``: events behind a failover or a failed request."""

import itertools
import time
from collections.abc import Callable, Sequence
from typing import Annotated, Any

import anyio
import typer

from catkincrank.adminclient import fetch_states
from catkincrank.commands.parameters import AdminList, parse_addresses
from catkincrank.failovertimeline import (
    collect_events,
    describe_event,
    find_last_failover,
)
from catkincrank.logcorrelation import (
    correlate_lines,
    describe_line,
    read_lines,
)

__all__ = ('explain_failover',)

_TIME_FORMAT = '%Y-%m-%d %H:%M:%S'


def explain_failover(
    subject: Annotated[
        str,
        typer.Argument(help='Name of a group, or identifier of a request.'),
    ],
    files: Annotated[
        list[typer.FileText] | None,
        typer.Argument(help='Log files of processes; - for standard input.'),
    ] = None,
    admin: AdminList = '',
) -> None:
    """Print the events of a failover, or those around a request.

    Events are taken from the log files if any are given. Otherwise the last
    failover of the group is read from the journals of the processes in
    ``--admin``. A request that was refused by an organisation's limit is shown
    with the VM's share, its age and the process that allocated it.
    """
    if files:
        _print_log_lines(subject, files)
    else:
        _print_failover(subject, admin)


def _print_log_lines(subject: str, files: list[typer.FileText]) -> None:
    selected = correlate_lines(read_lines(itertools.chain(*files)), subject)
    if not selected:
        typer.echo('no log line mentions {0}'.format(subject))
        return
    _print_timeline(subject, selected, describe_line)


def _print_failover(group: str, admin: str) -> None:
    states = anyio.run(fetch_states, parse_addresses(admin))
    for state in states:
        if state.error:
            typer.echo('no state: {0}'.format(state.error), err=True)
    failover = find_last_failover(collect_events(states), group)
    if not failover:
        typer.echo('no failover of {0} was recorded'.format(group))
        return
    _print_timeline(group, failover, describe_event)


def _print_timeline(
    subject: str,
    events: Sequence[Any],
    describe: Callable[[Any, float], str],
) -> None:
    started_at = events[0].at
    stamp = time.strftime(_TIME_FORMAT, time.gmtime(started_at))
    typer.echo('{0}: began {1} UTC'.format(subject, stamp))
    for event in events:
        typer.echo(describe(event, started_at))
