"""The platform's service: tables, objects and the list of VMs.

Everything that must outlive a VM is kept here. The service can be slow or down
for long, and the answer to a write that took effect can be lost.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import final

from catkincrank.registry import Registry

__all__ = ('ABSENT', 'Row', 'Store', 'VirtualMachine', 'stores')

ABSENT = 0


@final
@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service.

    Attributes:
        key: Path-like key, e.g. ``settings/sawari``.
        version: Rises by one with each write; 0 stands for no row.
        body: The stored bytes.
        change_id: Identifier that the last writer gave its write.
    """

    key: str
    version: int
    body: bytes
    change_id: str


@final
@dataclass(frozen=True, slots=True)
class VirtualMachine:
    """An entry of the platform's VM list, which lags.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        host: IP number.
        is_leaving: Whether the platform is about to take it away.
    """

    name: str
    zone: str
    host: str
    is_leaving: bool = False


class Store(ABC):
    """A client of the platform's service.

    Every method raises ``StoreUnavailableError`` when no answer came.
    """

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return the row at ``key``, or ``None``."""

    @abstractmethod
    async def scan(self, prefix: str, after_key: str = '') -> list[Row]:
        """Return rows whose keys begin with ``prefix``, in key order."""

    @abstractmethod
    async def write(
        self,
        key: str,
        body: bytes,
        *,
        expected_version: int,
        change_id: str,
    ) -> Row:
        """Write a row if its version is still ``expected_version``.

        A write whose ``change_id`` is the stored row's succeeds again without
        changing it, so that a lost answer can be asked for once more.

        Raises:
            ConflictError: The row has another version.
        """

    @abstractmethod
    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""

    @abstractmethod
    async def get_object(self, name: str) -> bytes | None:
        """Return an object's bytes, or ``None``."""

    @abstractmethod
    async def list_machines(self) -> list[VirtualMachine]:
        """Return the platform's list of live and leaving VMs."""


stores: Registry[type[Store]] = Registry('store')
