"""In-memory stand-in for the platform's table service."""

from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from functools import partial
from typing import final

import anyio

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.rowstore import (
    Changes,
    Condition,
    HistoryLostError,
    RowChange,
    RowStore,
)

__all__ = ('MemoryRows', 'MemoryRowStore')

_CALL_DURATION_S = 0.004


@final
class MemoryRows:
    """Rows that several clients share, with fault injection.

    Attributes:
        version: Newest version.
        is_down: Whether every call fails.
        rejected_clients: Names of the clients whose calls fail.
        lost_answers: Number of further writes that take effect but get no
            answer.
        horizon: Oldest version whose later changes are still available.
        calls: Number of calls so far.
        is_late: Predicate that selects writes to delay. They get no answer
            and are applied ``late_s`` later if their conditions still hold.
        late_s: Delay of these writes, in seconds.
    """

    def __init__(self) -> None:
        self.version = 0
        self.is_down = False
        self.rejected_clients: set[str] = set()
        self.lost_answers = 0
        self.horizon = 0
        self.calls = 0
        self.should_delay: Callable[[Mapping[str, bytes | None]], bool] = _never
        self.late_s: float = 0
        self.late: list[tuple[float, Callable[[], object]]] = []
        self.rows: dict[tuple[str, str], RowChange] = {}
        self.changed = anyio.Event()

    def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes | None],
    ) -> int:
        """Apply a transaction if its conditions hold."""
        for one in conditions:
            found = self.rows.get((table, one.key))
            exists = found is not None and found.body is not None
            version = found.version if exists else 0
            if version != one.version:
                raise ConflictError(one.key, one.version, version)
        self.version += 1
        for key, body in bodies.items():
            self.rows[table, key] = RowChange(key, body, self.version)
        changed = self.changed
        self.changed = anyio.Event()
        changed.set()
        return self.version

    def postpone(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes | None],
    ) -> None:
        """Queue a write to be applied ``late_s`` later."""
        due_at = anyio.current_time() + self.late_s
        write = partial(self.write, table, conditions, bodies)
        self.late.append((due_at, write))

    def apply_late_writes(self) -> None:
        """Apply the delayed writes that are due, if their conditions hold."""
        now = anyio.current_time()
        due = [write for due_at, write in self.late if due_at <= now]
        self.late = [one for one in self.late if one[0] > now]
        for write in due:
            with suppress(ConflictError):
                write()

    def list_rows(self, table: str, after: int = -1) -> tuple[RowChange, ...]:
        """Return the rows of a table that changed after a version."""
        found = [
            row
            for (of_table, _), row in self.rows.items()
            if of_table == table and row.version > after
        ]
        return tuple(sorted(found, key=_version_of))


@final
class MemoryRowStore(RowStore):
    """A client of shared rows.

    Args:
        shared: The rows.
        name: Name of the client.
    """

    def __init__(self, shared: MemoryRows, name: str) -> None:
        self._shared = shared
        self._name = name

    async def read_table(self, table: str) -> Changes:
        """Return every row of a table."""
        await self._admit()
        live = [
            row for row in self._shared.list_rows(table) if row.body is not None
        ]
        return Changes(tuple(live), self._shared.version)

    async def follow(self, table: str, after: int, wait_s: float) -> Changes:
        """Wait for changes after a version and return them."""
        await self._admit()
        if after < self._shared.horizon:
            raise HistoryLostError('compacted')
        with anyio.move_on_after(wait_s):
            while not self._shared.list_rows(table, after):
                await self._shared.changed.wait()
        self._check()
        found = self._shared.list_rows(table, after)
        return Changes(found, self._shared.version)

    async def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes],
        removed: Sequence[str] = (),
    ) -> int:
        """Write rows atomically if the conditions hold."""
        await self._admit()
        rows = {**bodies, **dict.fromkeys(removed)}
        if self._shared.should_delay(rows):
            self._shared.postpone(table, conditions, rows)
            raise StoreUnavailableError('no answer', may_have_applied=True)
        written = self._shared.write(table, conditions, rows)
        if self._shared.lost_answers:
            self._shared.lost_answers -= 1
            raise StoreUnavailableError('answer lost', may_have_applied=True)
        return written

    async def close(self) -> None:
        """Close all connections."""

    async def _admit(self) -> None:
        self._shared.calls += 1
        await anyio.sleep(_CALL_DURATION_S)
        self._shared.apply_late_writes()
        self._check()

    def _check(self) -> None:
        if self._shared.is_down or self._name in self._shared.rejected_clients:
            raise StoreUnavailableError('status 503', may_have_applied=False)


def _never(_bodies: Mapping[str, bytes | None]) -> bool:
    return False


def _version_of(row: RowChange) -> int:
    return row.version
