"""SQL engine of a stand-in instance, on the standard library's sqlite3.

Reads run on the ``committed`` connection, which changes only by replay of
whole records. The open write transaction of a primary runs on ``draft``, a
copy of that database, so that reads never see uncommitted changes.
"""

import sqlite3
from typing import final

from pg_mimic import PgError

from catkincrank.standins.dialect import (
    NOW_FUNCTION,
    Translation,
    translate,
)
from catkincrank.standins.log import Change, Record
from catkincrank.standins.schema import Schema

__all__ = ('Database',)

_MAX_TRANSLATIONS = 1024
_ERROR_CODES = (
    ('UNIQUE constraint', '23505'),
    ('NOT NULL constraint', '23502'),
    ('CHECK constraint', '23514'),
    ('FOREIGN KEY constraint', '23503'),
    ('no such table', '42P01'),
    ('already exists', '42P07'),
    ('no such column', '42703'),
    ('has no column', '42703'),
    ('no such function', '42883'),
    ('syntax error', '42601'),
)
_INTERNAL_ERROR = 'XX000'


@final
class Database:
    """In-memory database that is replicated by a log of statements."""

    def __init__(self) -> None:
        self.schema = Schema()
        self._timestamp = ''
        self._committed = self._open()
        self._draft: sqlite3.Connection | None = None
        self._translations: dict[tuple[str, int], Translation] = {}

    def translate(self, sql: str) -> Translation:
        """Return ``sql`` in the engine's dialect; keeps it in a cache."""
        key = (sql, self.schema.version)
        known = self._translations.get(key)
        if known is None:
            if len(self._translations) >= _MAX_TRANSLATIONS:
                self._translations.clear()
            known = translate(sql, self.schema)
            self._translations[key] = known
        return known

    def read(
        self,
        sql: str,
        params: dict[str, object],
    ) -> list[tuple[object, ...]]:
        """Run a read on the committed data."""
        return _execute(self._committed, sql, params)[0]

    def write(self, change: Change) -> tuple[list[tuple[object, ...]], int]:
        """Run a statement in the draft; return its rows and row count."""
        self._timestamp = change.timestamp
        return _execute(self._open_draft(), change.sql, change.params)

    def commit(self, record: Record) -> None:
        """Commit the draft's transaction and replay its record."""
        self._open_draft().execute('COMMIT')
        self.replay(record)

    def rollback(self) -> None:
        """Roll back the draft's open transaction."""
        if self._draft is not None and self._draft.in_transaction:
            self._draft.execute('ROLLBACK')

    def begin(self) -> None:
        """Open the draft's transaction."""
        self._open_draft().execute('BEGIN')

    def replay(self, record: Record) -> None:
        """Apply a committed record."""
        self._committed.execute('BEGIN')
        for change in record.changes:
            self._timestamp = change.timestamp
            _execute(self._committed, change.sql, change.params)
            if change.declaration:
                self.schema.add_table(self.translate(change.declaration).tree)
        self._committed.execute('COMMIT')

    def discard_draft(self) -> None:
        """Close the draft, and with it any open transaction."""
        if self._draft is not None:
            self._draft.close()
            self._draft = None

    def copy(self) -> 'Database':
        """Return an independent copy of the committed data."""
        copied = Database()
        copied.schema = self.schema.copy()
        self._committed.backup(copied._committed)  # noqa: WPS437
        return copied

    def _open(self) -> sqlite3.Connection:
        opened = sqlite3.connect(':memory:', isolation_level=None)
        opened.create_function(NOW_FUNCTION, 0, self._get_timestamp)
        return opened

    def _get_timestamp(self) -> str:
        return self._timestamp

    def _open_draft(self) -> sqlite3.Connection:
        if self._draft is None:
            self._draft = self._open()
            self._committed.backup(self._draft)
        return self._draft


def _execute(
    connection: sqlite3.Connection,
    sql: str,
    params: dict[str, object],
) -> tuple[list[tuple[object, ...]], int]:
    try:
        cursor = connection.execute(sql, params)
        rows = cursor.fetchall()
    except sqlite3.Error as error:
        raise _convert_error(error) from None
    return rows, max(cursor.rowcount, 0)


def _convert_error(error: sqlite3.Error) -> PgError:
    message = str(error)
    for part, sqlstate in _ERROR_CODES:
        if part in message:
            return PgError(sqlstate, message)
    return PgError(_INTERNAL_ERROR, message)
