"""Command ``explain``: the events of a group's last failover."""

import time
from typing import Annotated

import anyio
import typer

from catkincrank.adminclient import fetch_states
from catkincrank.commands.parameters import AdminList, parse_addresses
from catkincrank.explanation import (
    collect_events,
    describe_event,
    find_last_failover,
)

__all__ = ('explain_failover',)


def explain_failover(
    group: Annotated[str, typer.Argument(help='The group, TEAM/SERVICE.')],
    admin: AdminList,
) -> None:
    """Print what each process did in the last failover, in order."""
    states = anyio.run(fetch_states, parse_addresses(admin))
    for state in states:
        if state.error:
            typer.echo('not heard: {0}'.format(state.error), err=True)
    failover = find_last_failover(collect_events(states), group)
    if not failover:
        typer.echo('no failover of {0} is on record'.format(group))
        return
    began = failover[0].at
    stamp = time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(began))
    typer.echo('{0}: began {1} UTC'.format(group, stamp))
    for event in failover:
        typer.echo(describe_event(event, began))
