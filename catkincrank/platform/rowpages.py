"""Decodes the pages of rows that the platform's table service answers with."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Any, final

import msgspec

from catkincrank.errors import StoreUnavailableError
from catkincrank.logs import log_event

__all__ = (
    'KEEP_SURROGATES',
    'RowPage',
    'StoredRow',
    'decode_page',
    'find_next',
)

# Versions up to this limit fit into the messages between gateways.
_MAX_VERSION = (1 << 63) - 1  # noqa: WPS432
# The store's limit for a key; a range may not begin beyond it.
_MAX_KEY_BYTES = 200
# Keys that are no Unicode are read past by their bytes.
KEEP_SURROGATES = 'surrogatepass'


_Version = Annotated[int, msgspec.Meta(ge=0, le=_MAX_VERSION)]


class StoredRow(msgspec.Struct):
    """A row; ``ver`` is the store's version counter at its last write."""

    key: str
    ver: _Version
    value: str = ''
    removed: bool = False
    part: str | None = None


class _DecodedRows(msgspec.Struct):
    """A page of rows; ``ver`` is the store's newest version."""

    ver: _Version
    rows: list[StoredRow] = []
    truncated: bool = False


@final
@dataclass(frozen=True, slots=True)
class RowPage:
    """A page of rows.

    Attributes:
        ver: The store's newest version.
        rows: Those that could be decoded.
        last_key: Key of the last row, decoded or not; ``None`` without one.
        truncated: Whether the table has further rows.
    """

    ver: int
    rows: Sequence[StoredRow]
    last_key: str | None
    truncated: bool


class _LooseRows(msgspec.Struct):
    """A page whose rows are decoded one by one."""

    ver: _Version
    rows: list[Any] = []
    truncated: bool = False


def decode_page(body: bytes) -> RowPage:
    """Decode a page; rows that cannot be decoded are left out.

    Raises:
        StoreUnavailableError: The answer is no page of rows.
    """
    try:
        found = msgspec.json.decode(body, type=_DecodedRows)
    except (msgspec.MsgspecError, RecursionError):
        return _decode_one_by_one(body)
    last_key = found.rows[-1].key if found.rows else None
    return RowPage(found.ver, found.rows, last_key, found.truncated)


def _decode_one_by_one(body: bytes) -> RowPage:
    """Return the rows that can be decoded, so that one hides no others."""
    try:
        # Accepts texts that are no Unicode, which msgspec does not.
        found = msgspec.convert(json.loads(body), _LooseRows)
    except (ValueError, RecursionError) as error:
        raise StoreUnavailableError(
            'malformed answer from the store: {0}'.format(error),
            may_have_applied=True,
        ) from None
    rows = list(filter(None, map(_decode_row, found.rows)))
    return RowPage(found.ver, rows, _find_key(found.rows), found.truncated)


def _find_key(found: Sequence[Any]) -> str | None:
    """Return the key of the last of some rows, which may be malformed."""
    try:
        return str(found[-1]['key'])
    except (LookupError, TypeError):
        return None


def _decode_row(found: object) -> StoredRow | None:
    try:
        row = msgspec.convert(found, StoredRow)
        row.key.encode('utf-8')
    except ValueError as error:
        log_event('row_skipped', 'ERROR', cause=str(error))
        return None
    return row


def find_next(key: str) -> str:
    """Return where the rows after ``key`` begin, at the latest."""
    if len(key.encode('utf-8', KEEP_SURROGATES)) < _MAX_KEY_BYTES:
        return '{0}\0'.format(key)
    return key
