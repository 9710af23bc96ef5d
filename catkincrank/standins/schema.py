"""Column types of a stand-in database, and conversion of values."""

from datetime import UTC, datetime
from decimal import Decimal
from types import MappingProxyType
from typing import Final, final

from pg_mimic import (
    BOOL,
    FLOAT8,
    INT4,
    INT8,
    NUMERIC,
    TEXT,
    TIMESTAMPTZ,
    PgError,
)
from sqlglot import exp

__all__ = ('Schema', 'convert_result', 'find_oid', 'convert_parameter')

_INVALID_TEXT = '22P02'
_OIDS: Final = MappingProxyType(
    {
        exp.DataType.Type.BIGINT: INT8,
        exp.DataType.Type.BIGSERIAL: INT8,
        exp.DataType.Type.INT: INT4,
        exp.DataType.Type.SERIAL: INT4,
        exp.DataType.Type.SMALLINT: INT4,
        exp.DataType.Type.DECIMAL: NUMERIC,
        exp.DataType.Type.DOUBLE: FLOAT8,
        exp.DataType.Type.FLOAT: FLOAT8,
        exp.DataType.Type.BOOLEAN: BOOL,
        exp.DataType.Type.TIMESTAMPTZ: TIMESTAMPTZ,
    }
)
_INTEGERS = frozenset((INT4, INT8))
_TRUE_TEXTS = frozenset(('t', 'true', '1', 'on', 'yes', 'y'))
_FALSE_TEXTS = frozenset(('f', 'false', '0', 'off', 'no', 'n'))


@final
class Schema:
    """Column types of each table, in the order of their declaration."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, int]] = {}
        self.version = 0

    def add_table(self, statement: exp.Expression) -> None:
        """Add the table of a ``CREATE TABLE``; ignore other statements."""
        if not isinstance(statement, exp.Create):
            return
        if not isinstance(statement.this, exp.Schema):
            return
        columns = {
            column.name: find_oid(column.args.get('kind'))
            for column in statement.this.expressions
            if isinstance(column, exp.ColumnDef)
        }
        self.tables.setdefault(statement.this.this.name, columns)
        self.version += 1

    def find_column(self, name: str) -> int:
        """Return the type of the first column called ``name`` in any table."""
        for columns in self.tables.values():
            found = columns.get(name)
            if found is not None:
                return found
        return TEXT

    def copy(self) -> 'Schema':
        """Return an independent copy."""
        copied = Schema()
        copied.tables = {name: dict(own) for name, own in self.tables.items()}
        copied.version = self.version
        return copied


def find_oid(kind: exp.Expression | None) -> int:
    """Return the OID of a declared type; ``TEXT`` if it is unknown."""
    if not isinstance(kind, exp.DataType):
        return TEXT
    return _OIDS.get(kind.this, TEXT)


def convert_parameter(text: str | None, oid: int) -> object:
    """Convert a parameter in text form to the engine's value.

    Raises:
        PgError: The text is not a value of the type.
    """
    if text is None:
        return None
    try:
        return _parse_text(text, oid)
    except ValueError:
        raise PgError(
            _INVALID_TEXT,
            'invalid input syntax for the parameter: {0!r}'.format(text),
        ) from None


def convert_result(stored: object, oid: int) -> object:
    """Convert a stored value to the one that the protocol layer encodes."""
    if stored is None:
        return None
    if oid == BOOL:
        return bool(stored)
    if oid == NUMERIC:
        return Decimal(str(stored))
    if oid == TIMESTAMPTZ:
        return datetime.fromisoformat(str(stored)).astimezone(UTC)
    if oid == TEXT and not isinstance(stored, bytes):
        return str(stored)
    return stored


def _parse_text(text: str, oid: int) -> object:
    if oid in _INTEGERS:
        return int(text)
    if oid == FLOAT8:
        return float(text)
    if oid == NUMERIC:
        return float(text) if set(text) & set('.eE') else int(text)
    if oid == BOOL:
        return _parse_bool(text.lower())
    return text


def _parse_bool(text: str) -> int:
    if text not in _TRUE_TEXTS | _FALSE_TEXTS:
        raise ValueError(text)
    return int(text in _TRUE_TEXTS)
