"""The platform's service: tables, objects and the list of VMs.

Everything that must outlive a VM is stored here. The service can be slow or
unavailable for a long time, and the answer to a write that took effect can be
lost.
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
        key: Path-like key, e.g. ``settings/payments``.
        version: Increases by one with each write; 0 means that there is no row.
        body: The stored bytes.
        change_id: Identifier of the last write, chosen by its writer.
    """

    key: str
    version: int
    body: bytes
    change_id: str


@final
@dataclass(frozen=True, slots=True)
class VirtualMachine:
    """An entry of the platform's VM list, which may be out of date.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        host: IP address.
        is_leaving: Whether the platform is about to remove it.
    """

    name: str
    zone: str
    host: str
    is_leaving: bool = False


class Store(ABC):
    """A client of the platform's service.

    Every method raises ``StoreUnavailableError`` if it gets no answer.
    """

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return the row at ``key``, or ``None``."""

    @abstractmethod
    async def scan(self, prefix: str, after_key: str = '') -> list[Row]:
        """Return rows whose keys begin with ``prefix``, in key order.

        One call may return only the first of them.

        Args:
            prefix: Prefix of the keys.
            after_key: Only rows with greater keys are returned.
        """

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

        A write with the ``change_id`` of the stored row succeeds without
        changing it, so that a write whose answer was lost can be retried.

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
