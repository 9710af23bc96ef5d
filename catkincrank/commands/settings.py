"""Commands ``settings ...``: reading and changing a team's subtree."""

import getpass
import time
from pathlib import Path
from typing import Annotated

import anyio
import typer

from catkincrank.changes import Change, ChangeConflictError, change_team
from catkincrank.commands.files import read_subtree
from catkincrank.commands.parameters import (
    AuthorFlag,
    CredentialFlag,
    StoreFlag,
    TeamArgument,
)
from catkincrank.credentials import (
    TeamCredential,
    authorize,
    grant_credential,
)
from catkincrank.errors import OptionError
from catkincrank.settings import encode_team, parse_team
from catkincrank.settingsdiff import Edit, compare_subtrees, edit_subtree
from catkincrank.settingshistory import (
    HistoryEntry,
    make_change_id,
    read_history,
)
from catkincrank.store import ABSENT, Row, Store
from catkincrank.storeaddress import open_store
from catkincrank.subtree import settings_key

__all__ = ('app',)

_NEWEST = -1

app = typer.Typer(help="Read and change a team's settings.")

ExpectedFlag = Annotated[
    int,
    typer.Option(
        '--expected-version',
        min=_NEWEST,
        help='Version that the change was made on; the newest by default.',
    ),
]
ChangeFlag = Annotated[
    str,
    typer.Option('--change-id', help='Identifier of a change tried before.'),
]


@app.command('get')
def print_settings(team: TeamArgument, store: StoreFlag) -> None:
    """Print a team's subtree in force as JSON."""
    row = anyio.run(open_store(store).read, settings_key(team))
    if row is None:
        raise OptionError('team', team, 'a team that has settings')
    typer.echo('version {0}'.format(row.version), err=True)
    typer.echo(row.body.decode('utf-8'))


@app.command('set')
def set_value(
    team: TeamArgument,
    path: Annotated[str, typer.Argument(help='Path of the value.')],
    value: Annotated[str, typer.Argument(help='The value as JSON or a word.')],
    store: StoreFlag,
    credential: CredentialFlag,
    author: AuthorFlag = '',
    change_id: ChangeFlag = '',
) -> None:
    """Change one value of a team's subtree."""
    client = open_store(store)
    row = anyio.run(client.read, settings_key(team))
    body = b'' if row is None else row.body
    try:
        edited = edit_subtree(body, path, value)
    except (KeyError, TypeError):
        raise OptionError(path, value, 'a path that exists') from None
    checked = encode_team(parse_team(edited))
    version = ABSENT if row is None else row.version
    change = _make_change(team, checked, version, author, change_id)
    _submit(client, change, credential)


@app.command('apply')
def apply_file(
    team: TeamArgument,
    file: Annotated[Path, typer.Argument(help='TOML or JSON file.')],
    store: StoreFlag,
    credential: CredentialFlag,
    expected_version: ExpectedFlag = _NEWEST,
    author: AuthorFlag = '',
    change_id: ChangeFlag = '',
) -> None:
    """Replace a team's subtree by a file's."""
    body = read_subtree(file)
    client = open_store(store)
    if expected_version == _NEWEST:
        row = anyio.run(client.read, settings_key(team))
        expected_version = ABSENT if row is None else row.version
    change = _make_change(team, body, expected_version, author, change_id)
    _submit(client, change, credential)


@app.command('history')
def show_history(team: TeamArgument, store: StoreFlag) -> None:
    """Print who changed what and when, newest first."""
    entries, _ = anyio.run(read_history, open_store(store), team)
    for entry, base in zip(entries, [*entries[1:], None], strict=True):
        typer.echo(_describe_entry(entry))
        _show_edits(
            compare_subtrees(base.body if base else b'', entry.body),
        )


@app.command('diff')
def show_diff(
    team: TeamArgument,
    older: Annotated[int, typer.Argument(help='A version.')],
    newer: Annotated[int, typer.Argument(help='Another version.')],
    store: StoreFlag,
) -> None:
    """Print what differs between two versions, path by path."""
    entries, _ = anyio.run(read_history, open_store(store), team)
    bodies = {entry.version: entry.body for entry in entries}
    for version in (older, newer):
        if version not in bodies:
            raise OptionError('version', str(version), 'a version kept')
    _show_edits(compare_subtrees(bodies[older], bodies[newer]))


@app.command('grant')
def grant(
    holder: Annotated[str, typer.Argument(help='A team, or * for all.')],
    store: StoreFlag,
    credential: CredentialFlag = '',
) -> None:
    """Make a new credential; print it once."""
    granted_by = TeamCredential.parse(credential) if credential else None
    made = anyio.run(
        grant_credential,
        open_store(store),
        holder,
        make_change_id(),
        granted_by,
    )
    typer.echo('{0}:{1}'.format(made.holder, made.secret))


def _make_change(
    team: str,
    body: bytes,
    expected_version: int,
    author: str,
    change_id: str,
) -> Change:
    return Change(
        team,
        body,
        expected_version,
        author or getpass.getuser(),
        time.time(),
        change_id or make_change_id(),
    )


def _submit(client: Store, change: Change, credential: str) -> None:
    holder = TeamCredential.parse(credential)
    try:
        row = anyio.run(_authorize_and_change, client, change, holder)
    except ChangeConflictError as conflict:
        typer.echo('yours:', err=True)
        _show_edits(conflict.ours, to_error=True)
        typer.echo('theirs, by {0}:'.format(conflict.author), err=True)
        _show_edits(conflict.theirs, to_error=True)
        raise
    typer.echo('{0}: version {1}'.format(change.team, row.version))


async def _authorize_and_change(
    client: Store,
    change: Change,
    holder: TeamCredential,
) -> Row:
    await authorize(client, holder, change.team)
    return await change_team(client, change)


def _describe_entry(entry: HistoryEntry) -> str:
    stamp = time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(entry.at))
    return 'version {0}  {1} UTC  {2}  {3}'.format(
        entry.version,
        stamp,
        entry.author,
        entry.change_id,
    )


def _show_edits(edits: tuple[Edit, ...], *, to_error: bool = False) -> None:
    for edit in edits:
        typer.echo('  {0}'.format(edit), err=to_error)
