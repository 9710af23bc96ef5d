"""In-memory links to stand-in endpoints."""

from typing import final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import EndpointError
from catkincrank.gateway.link import (
    EndpointLink,
    EndpointState,
    LinkDriver,
    LinkRefusedError,
)
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure, Refusal, Reply
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.statement import Kind, Prepared, Statement
from catkincrank.standins.memoryendpoints import (
    MemoryEndpoint,
    MemoryEndpointGroup,
)

__all__ = ('MemoryDriver', 'MemoryLink', 'Run')

_FOREVER_S = 3600


@final
class Run:
    """Record of a statement that an endpoint ran.

    Attributes:
        endpoint_id: The endpoint.
        link: The connection.
        text: Text of the statement.
        values: Session values on the connection.
        is_in_transaction: Whether a transaction was open.
        request_id: Identifier of the request.
        at: Time at which it ran, in seconds.
        position: Log position of the endpoint after the statement.
        term: Term of the endpoint.
        transaction: Number of the transaction on the connection; 0 if none.
        was_primary: Whether the endpoint was primary at that time.
        application: Name that the connection was opened with.
    """

    __slots__ = (
        'application',
        'at',
        'endpoint_id',
        'is_in_transaction',
        'link',
        'position',
        'request_id',
        'term',
        'text',
        'transaction',
        'values',
        'was_primary',
    )

    def __init__(self, link: 'MemoryLink', statement: Statement) -> None:
        self.endpoint_id = link.instance.endpoint_id
        self.link = link
        self.application = link.name
        self.text = statement.text
        self.request_id = statement.request_id
        self.was_primary = link.instance.is_primary
        self.values = dict(link.set_values)
        self.is_in_transaction = link.status is TransactionStatus.OPEN
        self.transaction = link.transactions if self.is_in_transaction else 0
        self.at = anyio.current_time()
        self.position = link.instance.position
        self.term = link.instance.term


@final
class MemoryLink(EndpointLink):  # noqa: WPS214
    """One connection to a stand-in endpoint.

    Args:
        group: Group of the endpoint.
        instance: The endpoint.
        runs: List to which statements are appended.
        name: Name that the connection was opened with.

    Attributes:
        name: Name that the connection was opened with.
        transactions: Number of transactions begun on the connection.
    """

    def __init__(
        self,
        group: MemoryEndpointGroup,
        instance: MemoryEndpoint,
        runs: list[Run],
        name: str = '',
    ) -> None:
        self.instance = instance
        self.name = name
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[Prepared, bytes] = {}
        self.set_values: dict[bytes, bytes] = {}
        self._group = group
        self._runs = runs
        self._status = TransactionStatus.IDLE
        self._has_written = False
        self._is_read_only = False
        self.transactions = 0

    @property
    def status(self) -> TransactionStatus:
        """The transaction state that the endpoint reported last."""
        return self._status

    async def run(
        self,
        statement: Statement,
        after: Position | None = None,
        alias: bytes = b'',
    ) -> Reply:
        """Run a caller's statement."""
        await self._simulate_work()
        failure = self._check(statement, after, alias)
        if failure is not None:
            return self._refuse(failure)
        self.instance.ran.append(statement.request_id)
        run = Run(self, statement)
        self._runs.append(run)
        run.position = await self._apply(statement, alias)
        if self.instance.lost_answers:
            self.instance.lost_answers -= 1
            raise EndpointError('answer lost', was_sent=True)
        if self.instance.is_failing:
            return self._refuse(Failure.FAILED)
        return self._reply(b'row', signature=b'sig')

    async def begin(
        self,
        *,
        is_read_only: bool,
        after: Position | None,
    ) -> Reply:
        """Begin a transaction."""
        await self._simulate_work()
        if not (is_read_only or self.instance.is_primary):
            return self._refuse(Failure.READ_ONLY)
        if after is not None and self.instance.position < after:
            return self._refuse(Failure.LAGGING)
        self._status = TransactionStatus.OPEN
        self.transactions += 1
        self._is_read_only = is_read_only
        return self._reply()

    async def roll_back(self) -> Reply:
        """Roll the transaction back."""
        await self._simulate_work()
        self._end()
        return self._reply()

    async def configure(
        self,
        values: dict[bytes, bytes],
        prepared: Prepared | None,
        *,
        is_reset: bool,
    ) -> bool:
        """Set values and prepare a statement."""
        await self._simulate_work()
        if is_reset:
            self.set_values.clear()
            self.prepared.clear()
        self.set_values.update(values)
        self.values = dict(self.set_values)
        if prepared is not None:
            self.prepared[prepared] = b'p%d' % len(self.prepared)
        return True

    @property
    def position(self) -> Position:
        """Log position of the endpoint."""
        return self.instance.position

    async def fetch_state(self) -> EndpointState | None:
        """Return the endpoint's state, unless it is too busy."""
        await self._simulate_work()
        state = self._group.describe(self.instance)
        return None if self.instance.is_busy else state

    async def demote(self, term: int) -> EndpointState | None:
        """Make a primary of a term below ``term`` a replica."""
        await self._simulate_work()
        if self.instance.term < term:
            self.instance.is_primary = False
        return EndpointState(
            self.instance.is_primary,
            self.instance.term,
            self.instance.position,
            term,
        )

    async def probe(self) -> None:
        """Check that the endpoint answers."""
        await self._simulate_work()

    async def close(self) -> None:
        """Close the connection."""

    async def _simulate_work(self) -> None:
        if not self.instance.is_up:
            await anyio.sleep(_FOREVER_S)
        await anyio.sleep(self.instance.work_s)
        self._group.catch_up()

    def _check(
        self,
        statement: Statement,
        after: Position | None,
        alias: bytes,
    ) -> Failure | None:
        if self._status is TransactionStatus.FAILED:
            return Failure.ABORTED
        if after is not None and self.instance.position < after:
            return Failure.LAGGING
        may_write = self.instance.is_primary and not self._is_read_only
        if self._writes(statement, alias) and not may_write:
            return Failure.READ_ONLY
        if statement.kind is Kind.EXECUTE:
            if alias not in self.prepared.values():
                return Failure.UNKNOWN_NAME
        return None

    def _writes(self, statement: Statement, alias: bytes) -> bool:
        named = {name: one for one, name in self.prepared.items()}
        if statement.kind is Kind.EXECUTE and alias in named:
            return named[alias].is_write
        return statement.kind is Kind.WRITE

    async def _apply(self, statement: Statement, alias: bytes) -> Position:
        """Apply a statement; return the log position that it saw or made."""
        position = self.instance.position
        is_open = self._status is TransactionStatus.OPEN
        if self._writes(statement, alias):
            self._has_written = True
            if not is_open:
                position = await self._commit()
        elif statement.kind is Kind.COMMIT:
            position = await self._commit()
            self._end()
        return position

    def _end(self) -> None:
        self._has_written = False
        self._is_read_only = False
        self._status = TransactionStatus.IDLE

    async def _commit(self) -> Position:
        if not self._has_written:
            return self.instance.position
        self._has_written = False
        position = self._group.commit(self.instance)
        if self._group.sync_replicas:
            await self._group.wait_received(self.instance, position)
        return position

    def _refuse(self, failure: Failure) -> Reply:
        if self._status is TransactionStatus.OPEN:
            self._status = TransactionStatus.FAILED
        return Reply(
            refusal=Refusal(failure),
            status=self._status,
            position=self.instance.position,
        )

    def _reply(self, *rows: bytes, signature: bytes = b'') -> Reply:
        return Reply(
            rows,
            signature,
            status=self._status,
            position=self.instance.position,
        )


class MemoryDriver(LinkDriver):
    """Opens links to stand-in endpoints.

    Args:
        groups: The groups by service.
        runs: List to which statements are appended.
    """

    def __init__(
        self, groups: dict[str, MemoryEndpointGroup], runs: list[Run]
    ) -> None:
        self._groups = groups
        self._runs = runs
        self.is_refusing = False
        self.opened = 0

    async def connect(
        self,
        entry: EndpointEntry,
        name: str,
    ) -> MemoryLink:
        """Open a link."""
        group = self._groups[entry.service]
        instance = group.instances[entry.endpoint_id]
        self.opened += 1
        if self.is_refusing:
            raise LinkRefusedError(Failure.OVERLOADED, 'too many connections')
        if not instance.is_up:
            await anyio.sleep(_FOREVER_S)
        return MemoryLink(group, instance, self._runs, name)
