"""Submits settings changes: authorization, write and notification."""

import getpass
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import anyio
import typer

from catkincrank.activesettings import settings_key
from catkincrank.commands.parameters import parse_keepers
from catkincrank.credentials import TeamCredential, authorize
from catkincrank.settingschanges import Change, ChangeConflictError, change_team
from catkincrank.settingsdiff import Edit
from catkincrank.settingshistory import make_change_id
from catkincrank.settingspush import push_change
from catkincrank.store import ABSENT, Row, Store

__all__ = ('NEWEST', 'Draft', 'show_edits', 'submit_draft')

NEWEST = -1


@final
@dataclass(frozen=True, slots=True)
class Draft:
    """A settings change as given by flags.

    Attributes:
        team: The team.
        author: Author of the change; empty for the login name.
        change_id: Identifier of an earlier attempt at the same change; empty
            for a new change.
        credential: ``TEAM:SECRET``.
        keepers: Keepers to notify, separated by commas.
        expected_version: Version that the change is based on.
    """

    team: str
    author: str
    change_id: str
    credential: str
    keepers: str
    expected_version: int = NEWEST

    def __repr__(self) -> str:
        return 'Draft(team={0!r})'.format(self.team)


def submit_draft(
    store: Store,
    draft: Draft,
    edit: Callable[[Row | None], bytes],
) -> None:
    """Submit the change that ``edit`` computes from the current row."""
    anyio.run(_submit, store, draft, edit)


def show_edits(edits: tuple[Edit, ...], *, to_error: bool = False) -> None:
    """Print edits, one per line."""
    for edit in edits:
        typer.echo('  {0}'.format(edit), err=to_error)


async def _submit(
    store: Store,
    draft: Draft,
    edit: Callable[[Row | None], bytes],
) -> None:
    holder = TeamCredential.parse(draft.credential)
    keepers = parse_keepers(draft.keepers)
    row = await store.read(settings_key(draft.team))
    change = _make_change(draft, row, edit(row))
    await authorize(store, holder, draft.team)
    accepted = await _write_change(store, change)
    typer.echo('{0}: version {1}'.format(draft.team, accepted.version))
    notified = await push_change(accepted, change.author, keepers)
    if keepers and not notified:
        typer.echo(
            'no keeper answered; keepers will read the change from the store',
            err=True,
        )


def _make_change(draft: Draft, row: Row | None, body: bytes) -> Change:
    expected = draft.expected_version
    if expected == NEWEST:
        expected = ABSENT if row is None else row.version
    return Change(
        draft.team,
        body,
        expected,
        draft.author or getpass.getuser(),
        time.time(),
        draft.change_id or make_change_id(),
    )


async def _write_change(store: Store, change: Change) -> Row:
    try:
        return await change_team(store, change)
    except ChangeConflictError as conflict:
        typer.echo('your change:', err=True)
        show_edits(conflict.ours, to_error=True)
        typer.echo('change by {0}:'.format(conflict.author), err=True)
        show_edits(conflict.theirs, to_error=True)
        raise
