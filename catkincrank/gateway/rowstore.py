"""Client interface of the platform's table service."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, final

from catkincrank.errors import CatkincrankError
from catkincrank.registry import Registry

__all__ = (
    'Changes',
    'Condition',
    'HistoryLostError',
    'ORIGIN',
    'Revision',
    'RowChange',
    'RowStore',
    'row_stores',
)


@final
@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """State of the store; a later state compares greater.

    A store that is restored from a copy gives out versions again, so versions
    compare only within an era.

    Attributes:
        era: Number of times the store has been restored.
        version: Version of the store within the era.
    """

    era: int
    version: int

    def __str__(self) -> str:
        return '{0}.{1}'.format(self.era, self.version)


# Earlier than any state; as a condition, the row must not exist.
ORIGIN: Final = Revision(0, 0)


@final
@dataclass(frozen=True, slots=True)
class RowChange:
    """State of a row after a change.

    Attributes:
        key: Key within the table.
        body: Content of the row; ``None`` if it was removed.
        revision: State of the store that first contained it. In the rows of a
            restored store, the era is that of the reading.
    """

    key: str
    body: bytes | None
    revision: Revision


@final
@dataclass(frozen=True, slots=True)
class Changes:
    """Rows of one table at one state of the store.

    Attributes:
        rows: All rows, or the changed ones.
        revision: State of the store when they were read.
        is_whole: Whether the table has no other rows.
    """

    rows: tuple[RowChange, ...]
    revision: Revision
    is_whole: bool = False


@final
@dataclass(frozen=True, slots=True)
class Condition:
    """Revision that a row must have; ``ORIGIN`` if it must not exist.

    The store compares versions only. A condition from before a restoration is
    refused once the client knows of it, but may hold by chance until then.
    """

    key: str
    revision: Revision


@final
class HistoryLostError(CatkincrankError):
    """The store no longer has the change history since a revision."""


class RowStore(ABC):
    """A client of the table service.

    Every method raises ``StoreUnavailableError`` if it gets no answer.
    """

    @abstractmethod
    async def read_table(self, table: str) -> Changes:
        """Return every row of a table."""

    @abstractmethod
    async def follow(
        self, table: str, after: Revision, wait_s: float
    ) -> Changes:
        """Return the rows changed after a revision; wait for the first change.

        Args:
            table: Name of the table.
            after: Newest revision of the store that the caller has read.
            wait_s: Longest wait for a change, in seconds.

        Raises:
            HistoryLostError: The store no longer has the changes since then,
                or has been restored from a copy.
        """

    @abstractmethod
    async def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes],
        removed: Sequence[str] = (),
    ) -> Revision:
        """Write and remove rows of one table atomically, under conditions.

        Returns:
            The revision of the store after the write.

        Raises:
            ConflictError: A condition does not hold.
            StoreUnavailableError: No answer came; the error tells whether the
                write may have been applied.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


row_stores: Registry[type[RowStore]] = Registry('row store')
