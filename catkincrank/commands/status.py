"""Command ``status``: summarizes the processes of a deployment."""

import anyio
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from catkincrank.adminclient import ProcessState, fetch_states
from catkincrank.commands.parameters import AdminList, parse_addresses

__all__ = ('show_status',)

_COLUMNS = ('process', 'role', 'ready', 'settings in force', 'settings age')


def show_status(admin: AdminList) -> None:
    """Print the settings in force and the readiness of each process."""
    states = anyio.run(fetch_states, parse_addresses(admin))
    table = Table(*_COLUMNS)
    for state in states:
        # Names of teams are keys of rows, which may hold any text.
        table.add_row(*map(escape, describe_process(state)))
    Console().print(table)


def describe_process(process: ProcessState) -> tuple[str, ...]:
    """Return the table row of one process."""
    if process.error:
        return (str(process.address), '?', 'no answer', '?', '?')
    state = process.state
    known = state.get('settings', {})
    versions = known.get('versions', {})
    obstacles = state.get('obstacles', [])
    return (
        str(state.get('name', process.address)),
        str(state.get('role', '?')),
        ', '.join(obstacles) or 'yes',
        ', '.join(
            '{0} v{1}'.format(team, version)
            for team, version in sorted(versions.items())
        ),
        _describe_age(known.get('age_s')),
    )


def _describe_age(age_s: float | None) -> str:
    if age_s is None:
        return 'never received'
    return '{0:.1f} s'.format(age_s)
