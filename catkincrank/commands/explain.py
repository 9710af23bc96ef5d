"""Command ``explain``: what led to a failover, or to a failed request."""

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

_STAMP = '%Y-%m-%d %H:%M:%S'


def explain_failover(
    subject: Annotated[
        str,
        typer.Argument(help='A group, or the identifier of a request.'),
    ],
    files: Annotated[
        list[typer.FileText] | None,
        typer.Argument(help='Log files of processes; - for standard input.'),
    ] = None,
    admin: AdminList = '',
) -> None:
    """Print what each process did in a failover, or around a request.

    With log files, the events are taken from them; without, the processes
    named by ``--admin`` are asked for a group's last failover.
    """
    if files:
        _tell_story(subject, files)
    else:
        _tell_failover(subject, admin)


def _tell_story(subject: str, files: list[typer.FileText]) -> None:
    story = correlate_lines(read_lines(itertools.chain(*files)), subject)
    if not story:
        typer.echo('no line is about {0}'.format(subject))
        return
    _tell(subject, story, describe_line)


def _tell_failover(group: str, admin: str) -> None:
    states = anyio.run(fetch_states, parse_addresses(admin))
    for state in states:
        if state.error:
            typer.echo('not heard: {0}'.format(state.error), err=True)
    failover = find_last_failover(collect_events(states), group)
    if not failover:
        typer.echo('no failover of {0} is on record'.format(group))
        return
    _tell(group, failover, describe_event)


def _tell(
    subject: str,
    events: Sequence[Any],
    describe: Callable[[Any, float], str],
) -> None:
    began = events[0].at
    stamp = time.strftime(_STAMP, time.gmtime(began))
    typer.echo('{0}: began {1} UTC'.format(subject, stamp))
    for event in events:
        typer.echo(describe(event, began))
