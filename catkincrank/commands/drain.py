"""Command ``drain``: has a process finish its work and stop."""

from typing import Annotated

import anyio
import typer

from catkincrank.adminclient import AdminAddress, AdminError, call
from catkincrank.commands.parameters import AdminList, parse_addresses

__all__ = ('drain_process',)

_POLL_INTERVAL_S = 0.5


def drain_process(
    admin: AdminList,
    wait_s: Annotated[
        float,
        typer.Option('--wait-s', min=0, help='How long to wait for its end.'),
    ] = 0,
) -> None:
    """Begin the drain of each process; print what it waits for."""
    for address in parse_addresses(admin):
        anyio.run(_drain, address, wait_s)


async def _drain(address: AdminAddress, wait_s: float) -> None:
    answer = await call(address, 'POST', '/drain')
    _report(address, answer['waits_for'])
    with anyio.move_on_after(wait_s):
        while await _is_alive(address):
            await anyio.sleep(_POLL_INTERVAL_S)
        typer.echo('{0}: stopped'.format(address))


async def _is_alive(address: AdminAddress) -> bool:
    try:
        await call(address, 'GET', '/health')
    except AdminError:
        return False
    return True


def _report(address: AdminAddress, waits_for: list[str]) -> None:
    pending = ', '.join(waits_for) or 'nothing'
    typer.echo('{0}: draining, waits for {1}'.format(address, pending))
