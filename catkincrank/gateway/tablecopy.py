"""Local copy of one table of the platform's store."""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import final

import anyio

from catkincrank.errors import StoreUnavailableError
from catkincrank.gateway.rowstore import (
    Changes,
    HistoryLostError,
    Revision,
    RowChange,
    RowStore,
)
from catkincrank.gateway.tablerows import TableRows
from catkincrank.logs import log_event

__all__ = ('TableCopy',)

_NEVER = float('-inf')
# Back-off after a failed call. The copy must be current again well within 2 s
# of the store's recovery, and the fleet must not overload the store.
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.6
# A table of this size takes the slowest links a good part of a second. The feed
# sends every version of a row, so that a slow reader falls further behind;
# the whole table holds only the newest.
_LARGE_BYTES = 65536
_SLOW_READING_S = 0.25
# Shortest wait for a reading to become too old, in seconds.
_MIN_WAIT_S = 0.01
# A process cannot serve callers before its first reading, so it retries sooner.
_MAX_START_BACKOFF_S = 0.2


@final
class TableCopy:  # noqa: WPS214
    """Local copy of a table, with the time of the newest reading.

    Args:
        store: The store.
        table: Name of the table.
        wait_s: How long one call waits for changes, in seconds.
        gap_s: Pause after a reading with changes, in seconds; bounds the
            number of calls for a table that changes constantly.
        max_age_s: Age up to which a reading from a peer replaces an own one,
            in seconds.

    Attributes:
        reading_s: How long a reading of the whole table takes, in seconds; 0 if
            that is not noticeable.
        read_at: When that reading was requested, on the local clock.
        store_read_at: The same for the newest reading of the store itself.
    """

    __slots__ = (
        '_content',
        '_gap_s',
        '_has_failed',
        '_has_skipped_store',
        '_is_available',
        '_listeners',
        '_max_age_s',
        '_may_skip_store',
        '_prefers_whole',
        '_skipping_ended',
        '_store',
        '_table',
        '_wait_s',
        'read_at',
        'reading_s',
        'store_read_at',
    )

    def __init__(
        self,
        store: RowStore,
        table: str,
        wait_s: float,
        gap_s: float = 0,
        max_age_s: float = 0,
    ) -> None:
        self._store = store
        self._table = table
        self._content = TableRows()
        self._wait_s = wait_s
        self._gap_s = gap_s
        self._max_age_s = max_age_s
        self.reading_s: float = 0
        self._is_available = True
        self._has_failed = False
        self._has_skipped_store = False
        self._may_skip_store = False
        self._prefers_whole = True
        self._skipping_ended = anyio.Event()
        self._listeners: list[Callable[[tuple[RowChange, ...]], None]] = []
        self.read_at = _NEVER
        self.store_read_at = _NEVER

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._table

    @property
    def rows(self) -> Mapping[str, RowChange]:
        """The rows by key."""
        return self._content.rows

    @property
    def revision(self) -> Revision:
        """State of the store at the newest reading."""
        return self._content.revision

    @property
    def max_age_s(self) -> float:
        """Age up to which a reading from a peer replaces an own one.

        A table that takes long to read is older when it arrives, and the next
        reading follows a pause.
        """
        return self._max_age_s + 2 * self.reading_s

    @property
    def is_loaded(self) -> bool:
        """Whether the table has been read at least once."""
        return self.read_at != _NEVER

    def listen(
        self,
        listener: Callable[[tuple[RowChange, ...]], None],
    ) -> None:
        """Call ``listener`` with the changed rows after each reading."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        backoff_s = _FIRST_BACKOFF_S
        while True:
            if self._is_fresh():
                self._has_skipped_store = True
                await self._wait_until_stale()
                continue
            try:
                await self._read_once()
            except StoreUnavailableError as error:
                self._log_loss(error)
                await anyio.sleep(random.uniform(backoff_s / 2, backoff_s))
                limit_s = (
                    _MAX_BACKOFF_S if self.is_loaded else _MAX_START_BACKOFF_S
                )
                backoff_s = min(limit_s, backoff_s * 2)
                continue
            backoff_s = _FIRST_BACKOFF_S
            self._log_recovery()

    async def reload(self) -> None:
        """Read the whole table now.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        started = anyio.current_time()
        found = await self._store.read_table(self._table)
        if found.revision >= self.revision:
            self._apply_store_reading(found, started)

    async def try_reload(self) -> bool:
        """Read the whole table now; return whether the store answered."""
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

    def merge_reading(
        self, changes: Changes, read_at: float, reading_s: float = 0
    ) -> None:
        """Apply a reading of another process if it is newer.

        After a restoration of the store only a whole reading replaces the rows
        of the earlier era.
        """
        is_same_era = changes.revision.era == self.revision.era
        if not (is_same_era or changes.is_whole):
            return
        if changes.revision >= self.revision and read_at > self.read_at:
            self.reading_s = reading_s
            self._apply(changes, read_at)

    def list_changes(self, after: Revision) -> Changes:
        """Return what changed after a revision, or the whole table."""
        return self._content.list_changes(after)

    def allow_skipping(self, *, is_allowed: bool) -> None:
        """Set whether readings from peers replace those of the store."""
        self._may_skip_store = is_allowed
        if not is_allowed:
            self._skipping_ended.set()
            self._skipping_ended = anyio.Event()

    def _is_fresh(self) -> bool:
        """Return whether the store need not be read now."""
        age_s = anyio.current_time() - self.read_at
        return self._may_skip_store and age_s < self.max_age_s

    async def _wait_until_stale(self) -> None:
        """Wait until the newest reading may be too old."""
        age_s = anyio.current_time() - self.read_at
        with anyio.move_on_after(max(_MIN_WAIT_S, self.max_age_s - age_s)):
            await self._skipping_ended.wait()

    def _apply_store_reading(self, changes: Changes, read_at: float) -> None:
        self.store_read_at = max(self.store_read_at, read_at)
        self._apply(changes, read_at)

    async def _read_once(self) -> None:
        if self._prefers_whole:
            await self._read_whole()
            return
        started = anyio.current_time()
        after = self.revision
        wait_s = 0 if self._has_skipped_store else self._wait_s
        self._has_skipped_store = False
        try:
            found = await self._store.follow(self._table, after, wait_s)
        except HistoryLostError:
            log_event('history_lost', table=self._table, version=str(after))
            await self.reload()
            return
        except StoreUnavailableError:
            # What did not arrive may be a row that has become large.
            self._prefers_whole = self._is_large or self._has_failed
            self._has_failed = True
            raise
        self._has_failed = False
        if found.revision < self.revision:
            return
        self._apply_store_reading(found, started)
        self._prefers_whole = _measure(found.rows) >= _LARGE_BYTES
        if not found.rows:
            self.reading_s = 0
        if found.rows and self._gap_s:
            await anyio.sleep(self._gap_s)

    async def _read_whole(self) -> None:
        """Read the newest rows, until a reading shows no change.

        Pauses as long as a slow reading took, so that a large table takes at
        most half of the link.
        """
        started = anyio.current_time()
        before = dict(self.rows)
        await self.reload()
        took_s = anyio.current_time() - started
        is_slow = self._is_large and took_s > _SLOW_READING_S
        self.reading_s = took_s if is_slow else 0
        self._prefers_whole = is_slow and before != self.rows
        if self._prefers_whole:
            await anyio.sleep(took_s)

    @property
    def _is_large(self) -> bool:
        return _measure(self.rows.values()) >= _LARGE_BYTES

    def _apply(self, changes: Changes, read_at: float) -> None:
        if self.is_loaded and changes.revision.era > self.revision.era:
            self._log_restoration(changes)
        changed = self._content.apply(changes)
        self.read_at = max(self.read_at, read_at)
        for listener in self._listeners:
            listener(changed)

    def _log_restoration(self, changes: Changes) -> None:
        log_event(
            'store_restored',
            'WARNING',
            table=self._table,
            known=str(self.revision),
            version=str(changes.revision),
            dropped=len(self._content.find_gone(changes)),
        )

    def _log_loss(self, error: StoreUnavailableError) -> None:
        if self._is_available:
            self._is_available = False
            log_event(
                'store_lost',
                'WARNING',
                table=self._table,
                cause=str(error),
                version=str(self.revision),
            )

    def _log_recovery(self) -> None:
        if not self._is_available:
            self._is_available = True
            log_event(
                'store_regained',
                table=self._table,
                version=str(self.revision),
            )


def _measure(rows: Iterable[RowChange]) -> int:
    """Return the size of the rows' contents, in bytes."""
    return sum(len(row.body or b'') for row in rows)
