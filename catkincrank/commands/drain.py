"""Command ``drain``: asks processes to finish their work and stop."""

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
        typer.Option(
            '--wait-s', min=0, help='Seconds to wait for the process to stop.'
        ),
    ] = 0,
) -> None:
    """Start draining each process; print the work it waits for."""
    for address in parse_addresses(admin):
        anyio.run(_drain, address, wait_s)


async def _drain(address: AdminAddress, wait_s: float) -> None:
    answer = await call(address, 'POST', '/drain')
    _print_pending(address, answer['waits_for'])
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


def _print_pending(address: AdminAddress, waits_for: list[str]) -> None:
    pending = ', '.join(waits_for) or 'nothing'
    typer.echo('{0}: draining, waiting for {1}'.format(address, pending))
