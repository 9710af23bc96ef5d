"""Rows of a table as a process has read them, and what changed when."""

from collections import deque
from typing import final

from catkincrank.gateway.rowstore import (
    ORIGIN,
    Changes,
    Revision,
    RowChange,
)

__all__ = ('TableRows',)

# Readings of the whole table whose unseen removals are told apart; beyond that,
# older revisions are answered with the whole table.
_MAX_SKIPS = 32


@final
class _Removals:
    """Removed rows, and the spans in which removals may have been missed.

    A reading of the whole table shows what it lacks compared with the reading
    before, but not rows that were written and removed between the two.
    """

    __slots__ = ('_complete_since', '_removed', '_skips')

    def __init__(self) -> None:
        self._removed: dict[str, Revision] = {}
        self._complete_since: Revision | None = None
        self._skips: deque[tuple[Revision, Revision]] = deque()

    def record(self, row: RowChange) -> None:
        """Record a removed row."""
        self._removed[row.key] = row.revision

    def forget(self, key: str) -> None:
        """Forget the removal of a row that was written again."""
        self._removed.pop(key, None)

    def skip(self, before: Revision, after: Revision) -> None:
        """Record that the changes between two revisions were not seen."""
        if self._complete_since is None:
            self._complete_since = after
            return
        if before < after:
            self._skips.append((before, after))
        if len(self._skips) > _MAX_SKIPS:
            self._complete_since = self._skips.popleft()[1]

    def is_complete(self, after: Revision) -> bool:
        """Return whether every removal since a revision is known."""
        since = self._complete_since
        if since is None or after < since:
            return False
        return not any(before < after < until for before, until in self._skips)

    def list_since(self, after: Revision) -> tuple[RowChange, ...]:
        """Return the removals after a revision."""
        return tuple(
            RowChange(key, None, revision)
            for key, revision in self._removed.items()
            if revision > after
        )


@final
class TableRows:
    """Rows of a table at the newest revision that was read.

    Attributes:
        rows: The rows by key.
        revision: State of the store at the newest reading.
    """

    __slots__ = ('_removals', 'revision', 'rows')

    def __init__(self) -> None:
        self._removals = _Removals()
        self.revision = ORIGIN
        self.rows: dict[str, RowChange] = {}

    def apply(self, changes: Changes) -> tuple[RowChange, ...]:
        """Apply a reading that is not older; return the rows that changed."""
        if changes.revision.era > self.revision.era:
            self._removals = _Removals()
        gone = ()
        if changes.is_whole:
            gone = self.find_gone(changes)
            self._removals.skip(self.revision, changes.revision)
        changed = tuple(
            row for row in changes.rows + gone if self._is_newer(row)
        )
        for row in changed:
            self._apply_row(row)
        self.revision = max(self.revision, changes.revision)
        return changed

    def list_changes(self, after: Revision) -> Changes:
        """Return what changed after a revision, or the whole table.

        The whole table is returned if rows may have been removed since then
        without this process having seen them.
        """
        if not self._removals.is_complete(after):
            return Changes(
                tuple(self.rows.values()), self.revision, is_whole=True
            )
        changed = tuple(
            row for row in self.rows.values() if row.revision > after
        )
        return Changes(
            self._removals.list_since(after) + changed, self.revision
        )

    def find_gone(self, whole: Changes) -> tuple[RowChange, ...]:
        """Return the removals of rows that a whole reading lacks."""
        known = {row.key for row in whole.rows}
        return tuple(
            RowChange(key, None, whole.revision)
            for key, row in self.rows.items()
            if key not in known and row.revision <= whole.revision
        )

    def _is_newer(self, row: RowChange) -> bool:
        known = self.rows.get(row.key)
        return known is None or known.revision < row.revision

    def _apply_row(self, row: RowChange) -> None:
        if row.body is None:
            self.rows.pop(row.key, None)
            self._removals.record(row)
        else:
            self._removals.forget(row.key)
            self.rows[row.key] = row
