"""In-memory store with fault injection."""

from collections.abc import Awaitable, Callable

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.store import Row, Store


class FakeStore(Store):
    """Keeps all versions of each row, and injects faults.

    Attributes:
        rows: All versions of each row, by key.
        stale_by: Number of newest versions that reads do not see.
        is_down: Whether all calls fail.
        calls: Number of calls so far; it numbers the calls from 1.
        lost_calls: Numbers of calls that take effect but get no answer.
        refused_calls: Numbers of calls that fail without effect.
        on_call: Called with the number of each call before it takes effect.
    """

    def __init__(self):
        self.rows: dict[str, list[Row]] = {}
        self.stale_by = 0
        self.is_down = False
        self.calls = 0
        self.lost_calls: set[int] = set()
        self.refused_calls: set[int] = set()
        self.on_call: Callable[[int], Awaitable[None]] | None = None

    def newest(self, key):
        versions = self.rows.get(key)
        return versions[-1] if versions else None

    async def read(self, key):
        async with self._call():
            versions = self.rows.get(key, [])
            shown = versions[: len(versions) - self.stale_by]
            return shown[-1] if shown else None

    async def scan(self, prefix, after_key=''):
        async with self._call():
            keys = sorted(self.rows)
            return [
                self.rows[key][-1]
                for key in keys
                if key.startswith(prefix) and key > after_key
            ]

    async def write(self, key, body, *, expected_version, change_id):
        async with self._call():
            found = self.newest(key)
            if found is not None and found.change_id == change_id:
                return found
            version = found.version if found else 0
            if version != expected_version:
                raise ConflictError(key, expected_version, version)
            row = Row(key, version + 1, body, change_id)
            self.rows.setdefault(key, []).append(row)
            return row

    async def put_object(self, name, body):
        raise NotImplementedError

    async def get_object(self, name):
        raise NotImplementedError

    async def list_machines(self):
        return []

    def _call(self):
        self.calls += 1
        return _Call(self, self.calls)


class _Call:
    def __init__(self, store, number):
        self._store = store
        self._number = number

    async def __aenter__(self):
        if self._store.on_call is not None:
            await self._store.on_call(self._number)
        refused = self._number in self._store.refused_calls
        if self._store.is_down or refused:
            raise StoreUnavailableError('down', may_have_applied=False)

    async def __aexit__(self, kind, error, trace):
        if error is None and self._number in self._store.lost_calls:
            raise StoreUnavailableError('answer lost', may_have_applied=True)
