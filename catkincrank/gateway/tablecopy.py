"""Keeps a copy of one table of the platform's store."""

import random
from collections.abc import Callable
from typing import final

import anyio

from catkincrank.errors import StoreUnavailableError
from catkincrank.gateway.rowstore import (
    Changes,
    HistoryLostError,
    RowChange,
    RowStore,
)
from catkincrank.logs import log_event

__all__ = ('TableCopy',)

_NEVER = float('-inf')
# Pauses after a failed call: short enough to be back well within the 2 s that
# a store's return leaves, long enough that a fleet does not flood it.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.6
# A process that knows nothing yet serves nobody: it asks more often.
_START_PAUSE_S = 0.2
_REST_S = 0.1


@final
class TableCopy:
    """Copy of a table, with the time of the newest reading.

    Args:
        store: The store.
        table: Name of the table.
        wait_s: How long one call waits for changes, in seconds.
        gap_s: Pause after changes came, in seconds, so that a table that
            changes all the time costs a bounded number of calls.
        fresh_s: Age up to which a reading by others will do, in seconds.

    Attributes:
        may_rest: Whether others may keep the copy fresh.
        rows: The rows by key.
        version: Version of the store at the newest reading.
        read_at: When that reading was asked for, on the local clock.
        direct_at: The same for the newest reading of the store itself.
    """

    __slots__ = (
        '_fresh_s',
        '_gap_s',
        '_has_rested',
        '_is_available',
        '_listeners',
        '_removed',
        '_store',
        '_table',
        '_wait_s',
        'direct_at',
        'may_rest',
        'read_at',
        'rows',
        'version',
    )

    def __init__(
        self,
        store: RowStore,
        table: str,
        wait_s: float,
        gap_s: float = 0,
        fresh_s: float = 0,
    ) -> None:
        self._store = store
        self._table = table
        self._removed: dict[str, int] = {}
        self._wait_s = wait_s
        self._gap_s = gap_s
        self._fresh_s = fresh_s
        self._is_available = True
        self._has_rested = False
        self.may_rest = False
        self._listeners: list[Callable[[tuple[RowChange, ...]], None]] = []
        self.rows: dict[str, RowChange] = {}
        self.version = 0
        self.read_at = _NEVER
        self.direct_at = _NEVER

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._table

    @property
    def is_loaded(self) -> bool:
        """Whether the table has been read at all."""
        return self.read_at != _NEVER

    def listen(
        self,
        listener: Callable[[tuple[RowChange, ...]], None],
    ) -> None:
        """Call ``listener`` with the changed rows after each reading."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause_s = _FIRST_PAUSE_S
        while True:
            if self._is_fresh():
                self._has_rested = True
                await anyio.sleep(_REST_S)
                continue
            try:
                await self._read_once()
            except StoreUnavailableError as error:
                self._note_loss(error)
                await anyio.sleep(random.uniform(pause_s / 2, pause_s))
                limit_s = _MAX_PAUSE_S if self.is_loaded else _START_PAUSE_S
                pause_s = min(limit_s, pause_s * 2)
                continue
            pause_s = _FIRST_PAUSE_S
            self._note_return()

    async def reload(self) -> None:
        """Read the whole table now.

        Raises:
            StoreUnavailableError: No answer came.
        """
        started = anyio.current_time()
        found = await self._store.read_table(self._table)
        if found.version < self.version:
            return
        known = {row.key for row in found.rows}
        gone = tuple(
            RowChange(key, None, found.version)
            for key in self.rows
            if key not in known
        )
        fresh = tuple(
            row
            for row in found.rows
            if key_version(self.rows.get(row.key)) != row.version
        )
        self._apply_direct(Changes(fresh + gone, found.version), started)

    async def try_reload(self) -> bool:
        """Read the whole table now; return whether an answer came."""
        try:
            await self.reload()
        except StoreUnavailableError as error:
            log_event(
                'table_unread',
                'WARNING',
                table=self._table,
                cause=str(error),
            )
            return False
        return True

    def learn(self, changes: Changes, read_at: float) -> None:
        """Take in a reading that another process made."""
        if changes.version >= self.version and read_at > self.read_at:
            self._apply(changes, read_at)

    def list_changes(self, after: int) -> tuple[RowChange, ...]:
        """Return the rows written or removed after a version."""
        removed = tuple(
            RowChange(key, None, version)
            for key, version in self._removed.items()
            if version > after
        )
        return removed + tuple(
            row for row in self.rows.values() if row.version > after
        )

    def _is_fresh(self) -> bool:
        """Return whether the store need not be asked now."""
        age_s = anyio.current_time() - self.read_at
        return self.may_rest and age_s < self._fresh_s

    def _apply_direct(self, changes: Changes, read_at: float) -> None:
        self.direct_at = max(self.direct_at, read_at)
        self._apply(changes, read_at)

    async def _read_once(self) -> None:
        if not self.version:
            await self.reload()
            return
        started = anyio.current_time()
        after = self.version
        wait_s = 0 if self._has_rested else self._wait_s
        self._has_rested = False
        try:
            found = await self._store.follow(self._table, after, wait_s)
        except HistoryLostError:
            log_event('history_lost', table=self._table, version=after)
            await self.reload()
            return
        if found.version < self.version:
            return
        self._apply_direct(found, started)
        if found.rows and self._gap_s:
            await anyio.sleep(self._gap_s)

    def _apply(self, changes: Changes, read_at: float) -> None:
        changed = []
        for row in changes.rows:
            if key_version(self.rows.get(row.key)) >= row.version:
                continue
            changed.append(row)
            if row.body is None:
                self.rows.pop(row.key, None)
                self._removed[row.key] = row.version
            else:
                self._removed.pop(row.key, None)
                self.rows[row.key] = row
        self.version = max(self.version, changes.version)
        self.read_at = max(self.read_at, read_at)
        for listener in self._listeners:
            listener(tuple(changed))

    def _note_loss(self, error: StoreUnavailableError) -> None:
        if self._is_available:
            self._is_available = False
            log_event(
                'store_lost',
                'WARNING',
                table=self._table,
                cause=str(error),
                version=self.version,
            )

    def _note_return(self) -> None:
        if not self._is_available:
            self._is_available = True
            log_event('store_regained', table=self._table, version=self.version)


def key_version(row: RowChange | None) -> int:
    """Return the version of a row; 0 for none."""
    return 0 if row is None else row.version
