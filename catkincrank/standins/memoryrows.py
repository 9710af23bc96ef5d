"""In-memory stand-in for the platform's table service."""

from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import final

import anyio

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.rowstore import (
    Changes,
    Condition,
    HistoryLostError,
    Revision,
    RowChange,
    RowStore,
)

__all__ = ('MemoryRows', 'MemoryRowStore')

_CALL_DURATION_S = 0.004


@final
@dataclass(frozen=True, slots=True)
class _Replaced:
    """Rows as they were before a transaction at a time."""

    at: float
    rows: Mapping[tuple[str, str], RowChange | None]


@final
class MemoryRows:
    """Rows that several clients share, with fault injection.

    Attributes:
        era: Number of times the rows were restored from a copy.
        version: Newest version within the era.
        is_down: Whether every call fails.
        rejected_clients: Names of the clients whose calls fail.
        lost_answers: Number of further writes that take effect but get no
            answer.
        horizon: Oldest version whose later changes are still available.
        calls: Number of calls so far.
        should_delay: Predicate that selects writes to delay. They get no answer
            and are applied ``late_s`` later if their conditions still hold.
        late_s: Delay of these writes, in seconds.
    """

    def __init__(self) -> None:
        self.era = 0
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
        self._replaced: list[_Replaced] = []
        self.changed = anyio.Event()

    @property
    def revision(self) -> Revision:
        """State of the store."""
        return Revision(self.era, self.version)

    def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes | None],
    ) -> Revision:
        """Apply a transaction if its conditions hold.

        As in the platform's store, conditions compare versions only.
        """
        for one in conditions:
            found = self.rows.get((table, one.key))
            exists = found is not None and found.body is not None
            version = found.revision.version if exists else 0
            expected = one.revision.version
            if version != expected:
                raise ConflictError(one.key, expected, version)
        self._replaced.append(
            _Replaced(
                anyio.current_time(),
                {(table, key): self.rows.get((table, key)) for key in bodies},
            )
        )
        self.version += 1
        for key, body in bodies.items():
            self.rows[table, key] = RowChange(key, body, self.revision)
        self._notify()
        return self.revision

    def restore(self, lost_s: float) -> None:
        """Return to the rows of ``lost_s`` ago, in a new era."""
        since = anyio.current_time() - lost_s
        while self._replaced and self._replaced[-1].at > since:
            self._put_back(self._replaced.pop().rows)
            self.version -= 1
        self.era += 1
        self._notify()

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
            RowChange(
                row.key, row.body, Revision(self.era, row.revision.version)
            )
            for (of_table, _), row in self.rows.items()
            if of_table == table and row.revision.version > after
        ]
        return tuple(sorted(found, key=_version_of))

    def _put_back(
        self, replaced: Mapping[tuple[str, str], RowChange | None]
    ) -> None:
        for place, row in replaced.items():
            if row is None:
                self.rows.pop(place)
            else:
                self.rows[place] = row

    def _notify(self) -> None:
        changed = self.changed
        self.changed = anyio.Event()
        changed.set()


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
        self._era = 0

    async def read_table(self, table: str) -> Changes:
        """Return every row of a table."""
        await self._admit()
        live = [
            row for row in self._shared.list_rows(table) if row.body is not None
        ]
        return Changes(tuple(live), self._shared.revision, is_whole=True)

    async def follow(
        self, table: str, after: Revision, wait_s: float
    ) -> Changes:
        """Wait for changes after a version and return them."""
        await self._admit()
        self._check_history(after)
        with anyio.move_on_after(wait_s):
            while not self._shared.list_rows(table, after.version):
                await self._shared.changed.wait()
                self._check_history(after)
        self._check()
        self._check_history(after)
        found = self._shared.list_rows(table, after.version)
        return Changes(found, self._shared.revision)

    async def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes],
        removed: Sequence[str] = (),
    ) -> Revision:
        """Write rows atomically if the conditions hold."""
        for known in conditions:
            revision = known.revision
            if revision.version and revision.era != self._era:
                raise ConflictError(known.key, revision.version, -1)
        await self._admit()
        rows = {**bodies, **dict.fromkeys(removed)}
        if self._shared.should_delay(rows):
            self._shared.postpone(table, conditions, rows)
            raise StoreUnavailableError('no answer', may_have_applied=True)
        written = self._shared.write(table, conditions, rows)
        if self._shared.lost_answers:
            self._shared.lost_answers -= 1
            raise StoreUnavailableError('answer lost', may_have_applied=True)
        self._era = written.era
        return written

    async def close(self) -> None:
        """Close all connections."""

    async def _admit(self) -> None:
        self._shared.calls += 1
        await anyio.sleep(_CALL_DURATION_S)
        self._shared.apply_late_writes()
        self._check()

    def _check_history(self, after: Revision) -> None:
        shared = self._shared
        is_known = shared.horizon <= after.version <= shared.version
        if after.era != shared.era or not is_known:
            raise HistoryLostError('compacted or restored')

    def _check(self) -> None:
        if self._shared.is_down or self._name in self._shared.rejected_clients:
            raise StoreUnavailableError('status 503', may_have_applied=False)
        self._era = self._shared.era


def _never(_bodies: Mapping[str, bytes | None]) -> bool:
    return False


def _version_of(row: RowChange) -> int:
    return row.revision.version
