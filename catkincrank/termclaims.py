"""Reads and writes claims of terms in the groups' rows of the store."""

import dataclasses
import uuid
from typing import final

import anyio
import msgspec

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.failoveractions import (
    Action,
    Claim,
    ClaimRecord,
    Done,
    Failed,
    ReadClaim,
)
from catkincrank.store import ABSENT, Row, Store

__all__ = ('TermClaims', 'group_key')

_TIMEOUT_S = 0.4


def group_key(group: str) -> str:
    """Return the key of a group's row in the store."""
    return 'groups/{0}'.format(group)


@final
class TermClaims:
    """Reads and writes the rows of groups, each within a short time-out.

    Args:
        store: The platform's store; with ``None`` every action fails, as with
            an unavailable store.
    """

    __slots__ = ('_store',)

    def __init__(self, store: Store | None) -> None:
        self._store = store

    async def perform(self, group: str, action: Action) -> Done | Failed:
        """Carry out ``ReadClaim`` or ``Claim``."""
        if self._store is None:
            return Failed(action, 'no store is configured')
        try:
            with anyio.fail_after(_TIMEOUT_S):
                record = await self._access_store(self._store, group, action)
        except (TimeoutError, StoreUnavailableError) as error:
            return Failed(action, str(error) or 'the store timed out')
        except ConflictError as error:
            return Failed(action, str(error), is_conflict=True)
        return Done(action, record=record)

    async def _access_store(
        self,
        store: Store,
        group: str,
        action: Action,
    ) -> ClaimRecord:
        key = group_key(group)
        if isinstance(action, ReadClaim):
            return _decode(await store.read(key))
        if not isinstance(action, Claim):
            raise TypeError(repr(action))
        row = await store.write(
            key,
            msgspec.json.encode(action.record),
            expected_version=action.record.version,
            change_id=uuid.uuid4().hex,
        )
        return _decode(row)


def _decode(row: Row | None) -> ClaimRecord:
    if row is None:
        return ClaimRecord(version=ABSENT)
    try:
        found = msgspec.json.decode(row.body, type=ClaimRecord)
    except (msgspec.DecodeError, RecursionError):
        return ClaimRecord(version=row.version)
    return dataclasses.replace(found, version=row.version)
