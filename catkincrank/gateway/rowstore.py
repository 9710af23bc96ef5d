"""The platform's table service, as the gateway uses it."""

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
    """A row as it is now.

    Attributes:
        key: Key within the table.
        body: Its bytes; ``None`` when the row was removed.
        version: Version of the store that wrote it.
    """

    key: str
    body: bytes | None
    version: int


@final
@dataclass(frozen=True, slots=True)
class Changes:
    """Rows of one table at one moment.

    Attributes:
        rows: The rows, or those that changed.
        version: Newest version of the store at that moment.
    """

    rows: tuple[RowChange, ...]
    version: int


@final
@dataclass(frozen=True, slots=True)
class Condition:
    """Version that a row must have; 0 stands for no row."""

    key: str
    version: int


@final
class HistoryLostError(CatkincrankError):
    """The store no longer has the history that a reader asked for."""


class RowStore(ABC):
    """A client of the table service.

    Every method raises ``StoreUnavailableError`` when no answer came.
    """

    @abstractmethod
    async def read_table(self, table: str) -> Changes:
        """Return every row of a table."""

    @abstractmethod
    async def follow(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what changed after a version, as soon as anything has.

        Args:
            table: The table.
            after: Version of the store that the caller has seen.
            wait_s: How long to wait for a change, in seconds.

        Raises:
            HistoryLostError: Changes since then are no longer known.
        """

    @abstractmethod
    async def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes],
        removed: Sequence[str] = (),
    ) -> int:
        """Write rows of one table together, if the conditions hold.

        Returns:
            The version of the store that the write made.

        Raises:
            ConflictError: A condition does not hold.
            StoreUnavailableError: Says whether the write may have applied.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


row_stores: Registry[type[RowStore]] = Registry('row store')
