"""History of a team's settings: who changed what and when.

An entry is written before the change that it describes, so it may belong to a
change that was then refused. Each entry names the change that it was based on;
following these links back from the row in force gives the changes that took
effect.
"""

import secrets
from dataclasses import dataclass
from typing import Annotated, final

import msgspec

from catkincrank.activesettings import settings_key
from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.store import ABSENT, Row, Store

__all__ = (
    'HistoryEntry',
    'HistoryRow',
    'follow_chain',
    'make_change_id',
    'read_entries',
    'read_history',
    'write_entry',
)

_HISTORY_PREFIX = 'settings-history/'
_KEPT_ENTRIES = 50
_CHANGE_ID_BYTES = 8
_MAX_NUMBER = (1 << 63) - 1  # noqa: WPS432
# The last day that can be printed.
_MAX_TIME = 253402300799  # noqa: WPS432
_Number = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_Time = Annotated[float, msgspec.Meta(ge=0, le=_MAX_TIME)]


@final
class HistoryEntry(msgspec.Struct, frozen=True):
    """A change as recorded in the history.

    Attributes:
        version: Version that the change creates.
        change_id: Identifier of the change.
        base_change_id: Identifier of the change that it was based on.
        author: Who made it.
        at: When it was made, in seconds since 1970.
        body: The whole subtree after it, as JSON.
    """

    version: _Number
    change_id: str
    base_change_id: str
    author: str
    at: _Time
    body: bytes


@final
@dataclass(frozen=True, slots=True)
class HistoryRow:
    """A team's history row.

    Attributes:
        version: Version of the row.
        entries: Entries, newest first.
    """

    version: int
    entries: tuple[HistoryEntry, ...]


def make_change_id() -> str:
    """Return a new change identifier."""
    return secrets.token_hex(_CHANGE_ID_BYTES)


async def read_history(
    store: Store,
    team: str,
) -> tuple[list[HistoryEntry], Row | None]:
    """Return the changes that took effect, newest first, and the row."""
    kept = await read_entries(store, team)
    row = await store.read(settings_key(team))
    return follow_chain(kept.entries, row), row


async def read_entries(store: Store, team: str) -> HistoryRow:
    """Return all entries kept, including those of refused changes."""
    row = await store.read(_HISTORY_PREFIX + team)
    if row is None:
        return HistoryRow(ABSENT, ())
    try:
        entries = msgspec.json.decode(row.body, type=tuple[HistoryEntry, ...])
    except (msgspec.DecodeError, RecursionError):
        # The next change replaces it.
        entries = ()
    return HistoryRow(row.version, entries)


async def write_entry(
    store: Store,
    team: str,
    entry: HistoryEntry,
    found: HistoryRow,
) -> None:
    """Add ``entry`` to the row read as ``found``; drop the oldest entries.

    Raises:
        StoreUnavailableError: The store did not accept it, or another writer
            has changed the row.
    """
    others = [
        kept for kept in found.entries if kept.change_id != entry.change_id
    ]
    try:
        await store.write(
            _HISTORY_PREFIX + team,
            msgspec.json.encode([entry, *others][:_KEPT_ENTRIES]),
            expected_version=found.version,
            change_id=make_change_id(),
        )
    except ConflictError as error:
        raise StoreUnavailableError(
            str(error),
            may_have_applied=False,
        ) from error


def follow_chain(
    entries: tuple[HistoryEntry, ...],
    row: Row | None,
) -> list[HistoryEntry]:
    """Return the entries of changes that led to ``row``, newest first."""
    by_id = {entry.change_id: entry for entry in entries}
    wanted = '' if row is None else row.change_id
    chain: list[HistoryEntry] = []
    while wanted in by_id:
        entry = by_id.pop(wanted)
        chain.append(entry)
        wanted = entry.base_change_id
    return chain
