"""Command ``state``: prints state dumps."""

import sys

import anyio
import msgspec

from catkincrank.adminclient import call
from catkincrank.commands.parameters import AdminList, parse_addresses

__all__ = ('show_state',)


def show_state(admin: AdminList) -> None:
    """Print the state dump of each process as JSON, one per line."""
    for address in parse_addresses(admin):
        state = anyio.run(call, address, 'GET', '/state')
        encoded = msgspec.json.encode(state)
        sys.stdout.write('{0}\n'.format(encoded.decode('utf-8')))
