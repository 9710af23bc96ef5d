"""In-memory store with fault injection."""

from dataclasses import dataclass, field
from typing import Final, final

import anyio

from catkincrank.errors import StoreUnavailableError
from catkincrank.store import Row, Store, VirtualMachine, stores
from catkincrank.stores.table import Table

__all__ = ('MemoryStore', 'SharedTable', 'shared_tables')


@final
@dataclass(slots=True)
class SharedTable:
    """A table that several stores share, and its faults.

    Attributes:
        table: The rows.
        delay_s: Time that each request takes, in seconds.
        is_down: Whether requests fail.
        lose_answers: Number of further writes that take effect but get no
            answer.
        reads: Number of reads so far.
        writes: Number of writes so far.
    """

    table: Table = field(default_factory=Table)
    delay_s: float = 0
    is_down: bool = False
    lost_answers: int = 0
    reads: int = 0
    writes: int = 0


shared_tables: Final[dict[str, SharedTable]] = {}  # noqa: WPS407


@stores.register('memory')
@final
class MemoryStore(Store):
    """A client of a shared table.

    Args:
        address: Name of the table; stores with the same name share it.
    """

    def __init__(self, address: str = '') -> None:
        self.shared = shared_tables.setdefault(address, SharedTable())

    async def read(self, key: str) -> Row | None:
        """Return the row at ``key``, or ``None``."""
        await self._admit_read()
        return self.shared.table.read(key)

    async def scan(self, prefix: str, after_key: str = '') -> list[Row]:
        """Return rows whose keys begin with ``prefix``, in key order."""
        await self._admit_read()
        return self.shared.table.scan(prefix, after_key)

    async def write(
        self,
        key: str,
        body: bytes,
        *,
        expected_version: int,
        change_id: str,
    ) -> Row:
        """Write a row; see the base class."""
        await self._admit_write()
        row = self.shared.table.write(key, body, expected_version, change_id)
        self._lose_answer()
        return row

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._admit_write()
        self.shared.table.put_object(name, body)
        self._lose_answer()

    async def get_object(self, name: str) -> bytes | None:
        """Return an object's bytes, or ``None``."""
        await self._admit_read()
        return self.shared.table.get_object(name)

    async def list_machines(self) -> list[VirtualMachine]:
        """Return the platform's list of VMs."""
        await self._admit_read()
        return list(self.shared.table.machines)

    async def _admit_read(self) -> None:
        self.shared.reads += 1
        await self._admit()

    async def _admit_write(self) -> None:
        self.shared.writes += 1
        await self._admit()

    async def _admit(self) -> None:
        await anyio.sleep(self.shared.delay_s)
        if self.shared.is_down:
            raise StoreUnavailableError('store is down', may_have_applied=False)

    def _lose_answer(self) -> None:
        if self.shared.lost_answers:
            self.shared.lost_answers -= 1
            raise StoreUnavailableError('answer lost', may_have_applied=True)
