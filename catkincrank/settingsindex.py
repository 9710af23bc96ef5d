"""Index of the newest settings changes: the only row that readers poll.

Each write of the row adds one entry, numbered by the version of the row that
the write creates.
"""

from typing import Annotated, final

import anyio
import msgspec

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.store import ABSENT, Row, Store

__all__ = (
    'INDEX_KEY',
    'IndexEntry',
    'announce_change',
    'decode_index',
    'encode_index',
)

INDEX_KEY = 'settings-index'
_KEPT_ENTRIES = 48
_ATTEMPTS = 8
_RETRY_DELAY_S = 0.02
# Numbers beyond this limit do not fit into messages.
_MAX_NUMBER = (1 << 63) - 1  # noqa: WPS432
_Number = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]


@final
class IndexEntry(msgspec.Struct, frozen=True, array_like=True):
    """Announces a version of a team's subtree.

    The entry is written before the subtree, so a reader may still find the
    older version, and always will if the change was then refused.

    Attributes:
        sequence: Number of the entry; consecutive.
        team: The team.
        version: The announced version.
    """

    sequence: _Number
    team: str
    version: _Number


def encode_index(entries: tuple[IndexEntry, ...]) -> bytes:
    """Return the row's body."""
    return msgspec.msgpack.encode(entries)


def decode_index(row: Row | None) -> tuple[IndexEntry, ...]:
    """Return the entries of the row, oldest first.

    Raises:
        ValueError: The row is malformed.
    """
    if row is None:
        return ()
    try:
        return msgspec.msgpack.decode(row.body, type=tuple[IndexEntry, ...])
    except RecursionError:
        raise ValueError('nested too deeply') from None


async def announce_change(store: Store, team: str, version: int) -> None:
    """Add an entry for ``team``.

    Raises:
        StoreUnavailableError: The store did not accept it.
    """
    attempts = 0
    while not await _append_entry(store, team, version):
        attempts += 1
        if attempts == _ATTEMPTS:
            raise StoreUnavailableError(
                'other writers kept changing the settings index',
                may_have_applied=False,
            )
        await anyio.sleep(_RETRY_DELAY_S * attempts)


async def _append_entry(store: Store, team: str, version: int) -> bool:
    row = await store.read(INDEX_KEY)
    expected = ABSENT if row is None else row.version
    entry = IndexEntry(expected + 1, team, version)
    kept = (*_decode_known(row), entry)[-_KEPT_ENTRIES:]
    try:
        await store.write(
            INDEX_KEY,
            encode_index(kept),
            expected_version=expected,
            change_id='{0}/{1}/{2}'.format(entry.sequence, team, version),
        )
    except ConflictError:
        return False
    return True


def _decode_known(row: Row | None) -> tuple[IndexEntry, ...]:
    """Return the entries of the row; a malformed one is replaced."""
    try:
        return decode_index(row)
    except ValueError:
        return ()
