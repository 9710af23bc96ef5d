"""Client interface of the platform's table service."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import final

from catkincrank.errors import CatkincrankError
from catkincrank.registry import Registry

__all__ = (
    'Changes',
    'Condition',
    'HistoryLostError',
    'RowChange',
    'RowStore',
    'row_stores',
)


@final
@dataclass(frozen=True, slots=True)
class RowChange:
    """State of a row after a change.

    Attributes:
        key: Key within the table.
        body: Content of the row; ``None`` if it was removed.
        version: Version of the store that wrote it.
    """

    key: str
    body: bytes | None
    version: int


@final
@dataclass(frozen=True, slots=True)
class Changes:
    """Rows of one table at one version of the store.

    Attributes:
        rows: All rows, or the changed ones.
        version: Newest version of the store when they were read.
    """

    rows: tuple[RowChange, ...]
    version: int


@final
@dataclass(frozen=True, slots=True)
class Condition:
    """Version that a row must have; 0 if the row must not exist."""

    key: str
    version: int


@final
class HistoryLostError(CatkincrankError):
    """The store no longer has the change history since a version."""


class RowStore(ABC):
    """A client of the table service.

    Every method raises ``StoreUnavailableError`` if it gets no answer.
    """

    @abstractmethod
    async def read_table(self, table: str) -> Changes:
        """Return every row of a table."""

    @abstractmethod
    async def follow(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the rows changed after a version; wait for the first change.

        Args:
            table: Name of the table.
            after: Newest version of the store that the caller has read.
            wait_s: Longest wait for a change, in seconds.

        Raises:
            HistoryLostError: The store no longer has the changes since then.
        """

    @abstractmethod
    async def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes],
        removed: Sequence[str] = (),
    ) -> int:
        """Write and remove rows of one table atomically, under conditions.

        Returns:
            The version of the store after the write.

        Raises:
            ConflictError: A condition does not hold.
            StoreUnavailableError: No answer came; the error tells whether the
                write may have been applied.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


row_stores: Registry[type[RowStore]] = Registry('row store')
