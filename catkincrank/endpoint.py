"""Interfaces of the drivers that connect to instances of a group."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from catkincrank.registry import Registry

if TYPE_CHECKING:
    from catkincrank.history import LogMark
    from catkincrank.instance import Ballot, InstanceStatus

__all__ = (
    'Answer',
    'Column',
    'Credential',
    'Description',
    'Driver',
    'EndpointAddress',
    'EndpointConnection',
    'StatementError',
    'TransactionStatus',
    'drivers',
)


_PROBE_SQL = 'SELECT 1'


@final
class TransactionStatus(enum.StrEnum):
    """Transaction state of a connection, by PostgreSQL's letters."""

    IDLE = 'I'
    OPEN = 'T'
    FAILED = 'E'


@final
@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Where an endpoint listens.

    Attributes:
        endpoint: Name of the endpoint within its service.
        host: IP address.
        port: TCP port.
    """

    endpoint: str
    host: str
    port: int


@final
@dataclass(frozen=True, slots=True)
class Credential:
    """How to log in to an endpoint; the password never appears in a repr."""

    user: str
    password: str
    database: str

    def __repr__(self) -> str:
        return 'Credential(user={0!r}, database={1!r})'.format(
            self.user,
            self.database,
        )


@final
@dataclass(frozen=True, slots=True)
class Column:
    """A result column: its name and PostgreSQL type OID."""

    name: str
    oid: int


@final
@dataclass(frozen=True, slots=True)
class Description:
    """Shape of a statement.

    Attributes:
        parameter_oids: Type OID of each parameter.
        columns: Result columns; ``None`` when the statement returns no rows.
    """

    parameter_oids: tuple[int, ...]
    columns: tuple[Column, ...] | None


@final
@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer to one statement.

    Attributes:
        command: Command tag, e.g. ``'UPDATE 1'``.
        columns: Result columns; ``None`` when the statement returns no rows.
        rows: Rows of values in PostgreSQL's text form; ``None`` is NULL.
        transaction: Transaction state after the statement.
    """

    command: str
    columns: tuple[Column, ...] | None
    rows: tuple[tuple[str | None, ...], ...]
    transaction: TransactionStatus


@final
class StatementError(Exception):
    """The endpoint ran the statement and reported an error.

    Args:
        sqlstate: The endpoint's SQLSTATE.
        message: Its message.
        fields: Further fields of the error by their one-letter codes.
        transaction: Transaction state after the error.
    """

    def __init__(
        self,
        sqlstate: str,
        message: str,
        fields: dict[str, str],
        transaction: TransactionStatus,
    ) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate
        self.message = message
        self.fields = fields
        self.transaction = transaction


class EndpointConnection(ABC):
    """One connection to one instance.

    Every method raises ``EndpointError`` when the connection failed; it must
    then be closed. A cancelled call leaves the connection unusable.

    Attributes:
        incarnation: Incarnation of the instance, as in its statuses.
    """

    incarnation: str

    @abstractmethod
    async def execute(
        self,
        sql: str,
        params: Sequence[str | None] = (),
    ) -> Answer:
        """Run one statement with ``$1``-style parameters in text form.

        Raises:
            StatementError: The endpoint refused or failed the statement.
            EndpointError: No complete answer arrived.
        """

    @abstractmethod
    async def describe(self, sql: str) -> Description:
        """Return the shape of a statement without running it."""

    @abstractmethod
    async def commit(self) -> 'LogMark | None':
        """Commit; return a mark at or after the transaction's end."""

    @abstractmethod
    async def fetch_status(self) -> 'InstanceStatus':
        """Return the instance's status."""

    @abstractmethod
    async def seal(self, ballot: 'Ballot') -> 'InstanceStatus':
        """Seal to ``ballot``: stop following and accept no older term's writes.

        The instance refuses if it is sealed to another ballot of this term or
        a later one, so that at most one keeper gathers a majority for a term.
        The returned status contains the ballot that it then holds.
        """

    @abstractmethod
    async def promote(self, ballot: 'Ballot') -> 'InstanceStatus':
        """Begin ``ballot.term`` as primary, if sealed to exactly that ballot.

        An instance that follows another is not promoted.
        """

    @abstractmethod
    async def follow(
        self,
        primary: EndpointAddress,
        ballot: 'Ballot',
    ) -> 'InstanceStatus':
        """Stream from ``primary`` in ``ballot.term``.

        Records that the primary does not have are dropped.
        """

    @abstractmethod
    async def terminate(self, application: str) -> int:
        """Close other connections of ``application``; return how many."""

    async def probe(self) -> None:
        """Check that the endpoint answers."""
        await self.execute(_PROBE_SQL)

    @abstractmethod
    async def close(self) -> None:
        """Close the connection without waiting for the endpoint."""

    @property
    @abstractmethod
    def transaction(self) -> TransactionStatus:
        """The transaction state that the endpoint reported last."""


class Driver(ABC):
    """Opens connections to endpoints of one kind."""

    @abstractmethod
    async def connect(
        self,
        address: EndpointAddress,
        credential: Credential,
        application: str,
    ) -> EndpointConnection:
        """Open a connection under the application name ``application``.

        Raises:
            EndpointError: The endpoint could not be reached or refused.
        """


drivers: Registry[type[Driver]] = Registry('endpoint driver')
