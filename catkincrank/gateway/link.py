"""Interface of connections to endpoints that report their log positions."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import final

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import EndpointError
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure, Reply
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.statement import Prepared, Statement
from catkincrank.registry import Registry

__all__ = (
    'EndpointLink',
    'EndpointState',
    'LinkDriver',
    'LinkRefusedError',
    'link_drivers',
)


# Endpoints keep every prepared statement; the connection is reset at this many.
_MAX_PREPARED = 64


@final
@dataclass(frozen=True, slots=True)
class EndpointState:
    """Replication role and progress as reported by an endpoint.

    Attributes:
        is_primary: Whether it is the primary.
        term: Term in which it is primary or replica.
        received: Last log position that it has received.
        promised: Highest term that it has been informed of.
    """

    is_primary: bool
    term: int
    received: Position
    promised: int


@final
class LinkRefusedError(EndpointError):
    """An endpoint answered and refused the link.

    Args:
        failure: Reason of the refusal.
        reason: The endpoint's explanation.
    """

    def __init__(self, failure: Failure, reason: str) -> None:
        super().__init__(reason, was_sent=False)
        self.failure = failure


class EndpointLink(ABC):
    """One connection to one endpoint.

    Every method raises ``EndpointError`` without a complete reply; the link
    must then be closed. A cancelled call leaves the link unusable.

    Attributes:
        values: Session values that are set on the connection.
        prepared: Prepared statements, with their names on the connection.
    """

    values: dict[bytes, bytes]
    prepared: dict[Prepared, bytes]

    async def apply_session(
        self,
        values: dict[bytes, bytes],
        wanted: Prepared | None,
    ) -> bool:
        """Apply the state of a session to the connection.

        Args:
            values: All values that the session has set.
            wanted: Statement that must be prepared, if any.

        Returns:
            Whether the endpoint accepted it.

        Raises:
            EndpointError: No complete reply; no statement of the session ran.
        """
        is_reset = self._needs_reset(values)
        current = {} if is_reset else self.values
        missing = {
            name: content
            for name, content in values.items()
            if current.get(name) != content
        }
        if not is_reset and wanted in self.prepared:
            wanted = None
        if not (is_reset or missing or wanted):
            return True
        try:
            return await self.configure(missing, wanted, is_reset=is_reset)
        except EndpointError as error:
            raise EndpointError(str(error), was_sent=False) from None

    @abstractmethod
    async def run(
        self,
        statement: Statement,
        after: Position | None = None,
        alias: bytes = b'',
    ) -> Reply:
        """Forward a caller's statement.

        Args:
            statement: The statement; its identifier and text are unchanged.
            after: Position that the log must have reached; the endpoint
                refuses the statement otherwise.
            alias: Name of the prepared statement on this connection.
        """

    @abstractmethod
    async def begin(
        self,
        *,
        is_read_only: bool,
        after: Position | None,
    ) -> Reply:
        """Begin a transaction."""

    @abstractmethod
    async def roll_back(self) -> Reply:
        """Roll the transaction back."""

    @abstractmethod
    async def configure(
        self,
        values: dict[bytes, bytes],
        prepared: Prepared | None,
        *,
        is_reset: bool,
    ) -> bool:
        """Set values and prepare a statement, in one round trip.

        Args:
            values: Values to set.
            prepared: Statement to prepare, if any.
            is_reset: Whether to clear what is set and prepared first.

        Returns:
            Whether the endpoint accepted all of it.
        """

    @abstractmethod
    async def fetch_state(self) -> EndpointState | None:
        """Return the endpoint's state; ``None`` when it is too busy."""

    @abstractmethod
    async def demote(self, term: int) -> EndpointState | None:
        """Make a primary of a term below ``term`` a replica."""

    @abstractmethod
    async def probe(self) -> None:
        """Check that the endpoint answers."""

    @abstractmethod
    async def close(self) -> None:
        """Close without waiting for the endpoint."""

    @property
    def is_alive(self) -> bool:
        """Whether the connection is not known to have ended."""
        return True

    @property
    def position(self) -> Position | None:
        """Log position that the endpoint reported last; ``None`` if none."""

    @property
    @abstractmethod
    def status(self) -> TransactionStatus:
        """The transaction state that the endpoint reported last."""

    def _needs_reset(self, values: dict[bytes, bytes]) -> bool:
        """Return whether state of other sessions must be cleared first."""
        if self.status is not TransactionStatus.IDLE:
            return False
        is_full = len(self.prepared) >= _MAX_PREPARED
        return is_full or not self.values.keys() <= values.keys()


class LinkDriver(ABC):
    """Opens links to endpoints of one kind."""

    @abstractmethod
    async def connect(self, entry: EndpointEntry, name: str) -> EndpointLink:
        """Open a link after verifying that it leads to ``entry``.

        Args:
            entry: The endpoint.
            name: Organisation, or process, whose statements it will run.

        Raises:
            EndpointError: The endpoint could not be reached or refused.
        """


link_drivers: Registry[type[LinkDriver]] = Registry('link driver')
