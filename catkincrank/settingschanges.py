"""Changes of a team's subtree: conditional, applied once, with a history.

A change makes three writes in the store, each safe to repeat: an entry in the
team's history, an entry in the index that readers poll, and the conditional
write of the subtree. Only the last one decides whether the change takes
effect. Each history entry names the change that it was based on; following
these links back from the subtree in force gives the entries that took effect.
"""

from dataclasses import dataclass, field
from typing import final

import anyio

from catkincrank.activesettings import settings_key
from catkincrank.errors import (
    CatkincrankError,
    ConflictError,
    StoreUnavailableError,
)
from catkincrank.settings import parse_team
from catkincrank.settingsdiff import Edit, compare_subtrees
from catkincrank.settingshistory import (
    HistoryEntry,
    follow_chain,
    make_change_id,
    read_entries,
    write_entry,
)
from catkincrank.settingsindex import announce_change
from catkincrank.store import ABSENT, Row, Store

__all__ = (
    'Change',
    'ChangeConflictError',
    'ChangeUnresolvedError',
    'change_team',
)

_FIRST_DELAY_S = 0.2
_MAX_DELAY_S = 2
_TIMEOUT_S = 20
_CONFLICT_TEXT = '{0}: based on version {1}, but version {2} by {3} is in force'
_UNRESOLVED_TEXT = (
    '{0}: the store does not answer; try again with change id {1}'
)


@final
@dataclass(frozen=True, slots=True)
class Change:
    """A requested change.

    Attributes:
        team: The team whose subtree it is.
        body: The whole new subtree as JSON.
        expected_version: Version that it is based on; 0 for a new team.
        author: Who makes it.
        at: When it is made, in seconds since 1970.
        change_id: Identifier; every try of the same change uses the same one.
    """

    team: str
    body: bytes
    expected_version: int
    author: str
    at: float
    change_id: str = field(default_factory=make_change_id)


@final
class ChangeConflictError(CatkincrankError):
    """Another change came first; this one had no effect.

    Args:
        change: The refused change.
        found: Row in force; ``None`` when the team has none.
        author: Author of the row in force; ``unknown`` without an entry in
            the history.
        ours: Edits of the refused change.
        theirs: Edits between the expected version and the row in force.
    """

    def __init__(
        self,
        change: Change,
        found: Row | None,
        author: str,
        ours: tuple[Edit, ...],
        theirs: tuple[Edit, ...],
    ) -> None:
        version = ABSENT if found is None else found.version
        super().__init__(
            _CONFLICT_TEXT.format(
                change.team, change.expected_version, version, author
            ),
        )
        self.found_version = version
        self.author = author
        self.ours = ours
        self.theirs = theirs


@final
class ChangeUnresolvedError(CatkincrankError):
    """The store did not report whether the change took effect.

    Args:
        change: The change; a retry with the same identifier is safe.
        may_have_applied: Whether it may have taken effect.
    """

    def __init__(self, change: Change, *, may_have_applied: bool) -> None:
        super().__init__(
            _UNRESOLVED_TEXT.format(change.team, change.change_id),
        )
        self.change_id = change.change_id
        self.may_have_applied = may_have_applied


async def change_team(
    store: Store,
    change: Change,
    timeout_s: float = _TIMEOUT_S,
) -> Row:
    """Apply ``change`` exactly once and return the row that it creates.

    Raises:
        OptionError: The new subtree is not valid.
        ChangeConflictError: The expected version is not the one in force.
        ChangeUnresolvedError: The store did not answer within ``timeout_s``.
    """
    parse_team(change.body)
    deadline = anyio.current_time() + timeout_s
    delay, may_have_applied = _FIRST_DELAY_S, False
    while True:
        try:
            return await _try_change(store, change)
        except StoreUnavailableError as error:
            may_have_applied = may_have_applied or error.may_have_applied
        if anyio.current_time() + delay > deadline:
            raise ChangeUnresolvedError(
                change,
                may_have_applied=may_have_applied,
            )
        await anyio.sleep(delay)
        delay = min(delay * 2, _MAX_DELAY_S)


async def _try_change(store: Store, change: Change) -> Row:
    history = await read_entries(store, change.team)
    entries = history.entries
    row = await store.read(settings_key(change.team))
    applied = _find_applied(change, entries, row)
    if applied is not None:
        return applied
    if _version(row) != change.expected_version:
        raise _explain_conflict(change, entries, row)
    entry = HistoryEntry(
        change.expected_version + 1,
        change.change_id,
        '' if row is None else row.change_id,
        change.author,
        change.at,
        change.body,
    )
    await write_entry(store, change.team, entry, history)
    await announce_change(store, change.team, change.expected_version + 1)
    return await _write_subtree(store, change)


async def _write_subtree(store: Store, change: Change) -> Row:
    key = settings_key(change.team)
    try:
        return await store.write(
            key,
            change.body,
            expected_version=change.expected_version,
            change_id=change.change_id,
        )
    except ConflictError as error:
        # The next try determines whether this was a lost race, a lost
        # answer or a stale read.
        raise StoreUnavailableError(
            str(error),
            may_have_applied=True,
        ) from error


def _find_applied(
    change: Change,
    entries: tuple[HistoryEntry, ...],
    row: Row | None,
) -> Row | None:
    if row is not None and row.change_id == change.change_id:
        return row
    for entry in follow_chain(entries, row):
        if entry.change_id == change.change_id:
            return Row(
                settings_key(change.team),
                entry.version,
                entry.body,
                entry.change_id,
            )
    return None


def _explain_conflict(
    change: Change,
    entries: tuple[HistoryEntry, ...],
    row: Row | None,
) -> ChangeConflictError:
    chain = follow_chain(entries, row)
    bases = [
        entry.body
        for entry in chain
        if entry.version == change.expected_version
    ]
    base = bases[0] if bases else b''
    found = b'' if row is None else row.body
    return ChangeConflictError(
        change,
        row,
        chain[0].author if chain else 'unknown',
        compare_subtrees(base, change.body),
        compare_subtrees(base, found),
    )


def _version(row: Row | None) -> int:
    return ABSENT if row is None else row.version
