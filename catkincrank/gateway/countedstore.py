"""Counts the calls to the platform's store."""

from collections.abc import Awaitable, Mapping, Sequence
from typing import TypeVar, final

from catkincrank.errors import CatkincrankError
from catkincrank.gateway.rowstore import (
    Changes,
    Condition,
    Revision,
    RowStore,
    row_stores,
)
from catkincrank.metrics import Metrics

__all__ = ('CountedStore', 'open_store')

_Answer = TypeVar('_Answer')


@final
class CountedStore(RowStore):
    """Passes calls on to a store and counts them by kind and outcome.

    Args:
        store: The store.
        metrics: Metrics of the process.
    """

    __slots__ = ('_calls', '_store')

    def __init__(self, store: RowStore, metrics: Metrics) -> None:
        self._store = store
        self._calls = metrics.counter(
            'store_calls',
            'Calls to the store of the platform, by kind and outcome.',
            ('kind', 'outcome'),
        )

    async def read_table(self, table: str) -> Changes:
        """Return every row of a table."""
        return await self._count('read', self._store.read_table(table))

    async def follow(
        self, table: str, after: Revision, wait_s: float
    ) -> Changes:
        """Wait for changes after a revision and return them."""
        return await self._count(
            'follow', self._store.follow(table, after, wait_s)
        )

    async def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes],
        removed: Sequence[str] = (),
    ) -> Revision:
        """Write rows atomically if the conditions hold."""
        return await self._count(
            'write', self._store.write(table, conditions, bodies, removed)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._store.close()

    async def _count(self, kind: str, call: Awaitable[_Answer]) -> _Answer:
        outcome = 'cancelled'
        try:
            answer = await call
        except CatkincrankError as error:
            outcome = type(error).__name__
            raise
        else:
            outcome = 'answered'
            return answer
        finally:
            self._calls.labels(kind, outcome).inc()


def open_store(name: str, address: str, metrics: Metrics) -> CountedStore:
    """Return the counted client of a store.

    Args:
        name: Registry name of the client.
        address: Address of the store.
        metrics: Metrics of the process.
    """
    return CountedStore(row_stores.find(name)(address), metrics)
