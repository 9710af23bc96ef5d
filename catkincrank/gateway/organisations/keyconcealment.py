"""Removes keys from the configuration where it enters the process.

Processes pass each other the rows that they read from the store, so the rows
hold digests in place of keys before anything else sees them.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import final

from catkincrank.gateway.rowstore import (
    Changes,
    Condition,
    Revision,
    RowStore,
)

__all__ = ('KeyConcealment',)


@final
class KeyConcealment(RowStore):
    """Passes calls on to a store and removes keys from the rows it returns.

    Args:
        store: The store.
        conceal: Returns the body of a row without keys.
    """

    __slots__ = ('_conceal', '_store')

    def __init__(
        self, store: RowStore, conceal: Callable[[bytes], bytes]
    ) -> None:
        self._store = store
        self._conceal = conceal

    async def read_table(self, table: str) -> Changes:
        """Return every row of a table."""
        return self._conceal_rows(await self._store.read_table(table))

    async def follow(
        self, table: str, after: Revision, wait_s: float
    ) -> Changes:
        """Wait for changes after a revision and return them."""
        return self._conceal_rows(
            await self._store.follow(table, after, wait_s)
        )

    async def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes],
        removed: Sequence[str] = (),
    ) -> Revision:
        """Write rows atomically if the conditions hold."""
        return await self._store.write(table, conditions, bodies, removed)

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()

    def _conceal_rows(self, changes: Changes) -> Changes:
        rows = tuple(
            replace(row, body=self._conceal(row.body)) if row.body else row
            for row in changes.rows
        )
        return replace(changes, rows=rows)
