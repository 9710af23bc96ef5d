"""Commands ``settings ...``: read and change the settings of a team."""

import time
from pathlib import Path
from typing import Annotated

import anyio
import typer

from catkincrank.activesettings import settings_key
from catkincrank.commands.drafts import NEWEST, Draft, show_edits, submit_draft
from catkincrank.commands.files import read_subtree
from catkincrank.commands.parameters import (
    AuthorFlag,
    CredentialFlag,
    KeeperList,
    StoreFlag,
    TeamArgument,
)
from catkincrank.credentials import TeamCredential, grant_credential
from catkincrank.errors import OptionError
from catkincrank.settings import encode_team, parse_team
from catkincrank.settingsdiff import compare_subtrees, edit_subtree
from catkincrank.settingshistory import (
    HistoryEntry,
    make_change_id,
    read_history,
)
from catkincrank.store import Row
from catkincrank.storeaddress import open_store

__all__ = ('app',)

app = typer.Typer(help="Read and change a team's settings.")

ExpectedFlag = Annotated[
    int,
    typer.Option(
        '--expected-version',
        min=NEWEST,
        help='Version the change is based on; default: the newest.',
    ),
]
ChangeFlag = Annotated[
    str,
    typer.Option('--change-id', help='Identifier of an earlier attempt.'),
]


@app.command('get')
def print_settings(team: TeamArgument, store: StoreFlag) -> None:
    """Print the current settings of a team as JSON."""
    row = anyio.run(open_store(store).read, settings_key(team))
    if row is None:
        raise OptionError('team', team, 'a team that has settings')
    typer.echo('version {0}'.format(row.version), err=True)
    typer.echo(row.body.decode('utf-8'))


@app.command('set')
def set_value(  # noqa: WPS211
    team: TeamArgument,
    path: Annotated[str, typer.Argument(help='Path of the setting.')],
    value: Annotated[str, typer.Argument(help='Value as JSON or bare word.')],
    store: StoreFlag,
    credential: CredentialFlag,
    author: AuthorFlag = '',
    change_id: ChangeFlag = '',
    keepers: KeeperList = '',
) -> None:
    """Change one setting of a team."""
    draft = Draft(team, author, change_id, credential, keepers)

    def edit(row: Row | None) -> bytes:  # noqa: WPS430
        body = b'' if row is None else row.body
        try:
            edited = edit_subtree(body, path, value)
        except (KeyError, TypeError):
            raise OptionError(
                path, value, 'the path of an existing setting'
            ) from None
        return encode_team(parse_team(edited))

    submit_draft(open_store(store), draft, edit)


@app.command('apply')
def apply_file(  # noqa: WPS211
    team: TeamArgument,
    file: Annotated[Path, typer.Argument(help='TOML or JSON file.')],
    store: StoreFlag,
    credential: CredentialFlag,
    expected_version: ExpectedFlag = NEWEST,
    author: AuthorFlag = '',
    change_id: ChangeFlag = '',
    keepers: KeeperList = '',
) -> None:
    """Replace the settings of a team with those of a file."""
    body = read_subtree(file)
    draft = Draft(
        team,
        author,
        change_id,
        credential,
        keepers,
        expected_version,
    )
    submit_draft(open_store(store), draft, lambda row: body)


@app.command('history')
def show_history(team: TeamArgument, store: StoreFlag) -> None:
    """Print the changes with author and time, newest first."""
    entries, _ = anyio.run(read_history, open_store(store), team)
    for entry, base in zip(entries, [*entries[1:], None], strict=True):
        typer.echo(_describe_entry(entry))
        show_edits(
            compare_subtrees(base.body if base else b'', entry.body),
        )


@app.command('diff')
def show_diff(
    team: TeamArgument,
    older: Annotated[int, typer.Argument(help='A version.')],
    newer: Annotated[int, typer.Argument(help='Another version.')],
    store: StoreFlag,
) -> None:
    """Print the differences between two versions, path by path."""
    entries, _ = anyio.run(read_history, open_store(store), team)
    bodies = {entry.version: entry.body for entry in entries}
    for version in (older, newer):
        if version not in bodies:
            raise OptionError(
                'version', str(version), 'a version in the history'
            )
    show_edits(compare_subtrees(bodies[older], bodies[newer]))


@app.command('grant')
def grant(
    holder: Annotated[str, typer.Argument(help='A team, or * for all.')],
    store: StoreFlag,
    credential: CredentialFlag = '',
) -> None:
    """Create a credential and print it; it cannot be shown again."""
    granted_by = TeamCredential.parse(credential) if credential else None
    made = anyio.run(
        grant_credential,
        open_store(store),
        holder,
        make_change_id(),
        granted_by,
    )
    typer.echo('{0}:{1}'.format(made.holder, made.secret))


def _describe_entry(entry: HistoryEntry) -> str:
    stamp = time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(entry.at))
    return 'version {0}  {1} UTC  {2}  {3}'.format(
        entry.version,
        stamp,
        entry.author,
        entry.change_id,
    )
