"""Performs the I/O of a connection pool."""

from collections.abc import Awaitable, Iterable
from typing import Any, Protocol, final

import anyio
from anyio.abc import TaskGroup

from catkincrank.endpoint import StatementError
from catkincrank.errors import EndpointError
from catkincrank.fairqueue import QueueEntry
from catkincrank.logs import log_event
from catkincrank.pool import EndpointPool
from catkincrank.poolactions import (
    Close,
    Grant,
    Open,
    PoolAction,
    Probe,
    RefusalCause,
    Refuse,
)
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('Connector', 'PoolRunner', 'PooledConnection', 'Ticket')

_CLOSE_TIMEOUT_S = 1
_PROBE_TIMEOUT_S = 0.5


class PooledConnection(Protocol):
    """Interface of pooled connections, independent of their protocol."""

    async def probe(self) -> None:
        """Check that the endpoint answers.

        Raises:
            EndpointError: The endpoint does not answer.
        """

    async def close(self) -> None:
        """Close without waiting for the endpoint to answer."""


class Connector(Protocol):
    """Opens connections to the pool's endpoint."""

    def __call__(self, login: str) -> Awaitable[Any]:
        """Open a connection for ``login``.

        Raises:
            EndpointError: The endpoint could not be reached or refused.
        """


@final
class Ticket:
    """Pending request for a connection.

    Args:
        request_id: Number of the request.

    Attributes:
        connection_id: Number of the granted connection; 0 until then.
        refusal: The refusal; ``None`` unless the request was refused.
    """

    __slots__ = ('_event', 'connection_id', 'refusal', 'request_id')

    def __init__(self, request_id: int) -> None:
        self.request_id = request_id
        self.connection_id = 0
        self.refusal: Refuse | None = None
        self._event: anyio.Event | None = None

    @property
    def is_decided(self) -> bool:
        """Whether the pool has granted or refused the request."""
        return self.connection_id != 0 or self.refusal is not None

    async def wait(self) -> None:
        """Wait until the pool has decided."""
        if not self.is_decided:
            self._event = anyio.Event()
            await self._event.wait()

    def wake(self) -> None:
        """Wake the task that waits for the decision."""
        if self._event is not None:
            self._event.set()


@final
class PoolRunner:
    """Performs the actions of one pool and reports their results.

    Args:
        pool: The pool.
        connect: Opens connections.
        tasks: Task group for opening, closing and probing.
    """

    __slots__ = ('_connect', '_connections', '_tasks', '_tickets', 'pool')

    def __init__(
        self,
        pool: EndpointPool,
        connect: Connector,
        tasks: TaskGroup,
    ) -> None:
        self.pool = pool
        self._connect = connect
        self._tasks = tasks
        self._connections: dict[int, Any] = {}
        self._tickets: dict[int, Ticket] = {}

    def connection(self, connection_id: int) -> Any:
        """Return a granted connection."""
        return self._connections[connection_id]

    def enqueue(self, entry: QueueEntry) -> Ticket:
        """Request a connection; it may be granted immediately."""
        ticket = Ticket(entry.request_id)
        self._tickets[entry.request_id] = ticket
        self._apply(self.pool.enqueue(entry, anyio.current_time()))
        return ticket

    async def wait(self, ticket: Ticket) -> int:
        """Wait for the grant; return the number of the connection.

        Raises:
            RequestError: The pool refused the request.
            EndpointError: The endpoint is unreachable or leaving.
        """
        try:
            await ticket.wait()
        except BaseException:
            self._abandon(ticket)
            raise
        self._tickets.pop(ticket.request_id)
        if ticket.refusal is not None:
            raise _make_error(ticket.refusal, self.pool.endpoint)
        return ticket.connection_id

    def give_back(self, connection_id: int) -> None:
        """Return a clean connection to the pool."""
        now = anyio.current_time()
        self._apply(self.pool.give_back(connection_id, now))

    def discard(self, connection_id: int, *, is_lost: bool) -> None:
        """Close a leased connection that must not be reused."""
        now = anyio.current_time()
        self._apply(self.pool.discard(connection_id, now, is_lost=is_lost))

    def change_limit(self, limit: int) -> None:
        """Change the most connections that the pool may hold."""
        if limit != self.pool.limit:
            self._apply(self.pool.change_limit(limit, anyio.current_time()))

    def set_leaving(self, *, is_leaving: bool) -> None:
        """Refuse new requests, or accept them again."""
        if is_leaving and not self.pool.is_leaving:
            self._apply(self.pool.leave(anyio.current_time()))
        elif not is_leaving and self.pool.is_leaving:
            self.pool.rejoin()

    def tick(self) -> None:
        """Run time-outs, probes and retries that are due."""
        self._apply(self.pool.tick(anyio.current_time()))

    async def close(self) -> None:
        """Close every connection."""
        for connection in tuple(self._connections.values()):
            await _close(connection)  # noqa: WPS476
        self._connections.clear()

    def _abandon(self, ticket: Ticket) -> None:
        self._tickets.pop(ticket.request_id)
        if ticket.connection_id:
            self.give_back(ticket.connection_id)
        elif ticket.refusal is None:
            self.pool.cancel(ticket.request_id)

    def _apply(self, actions: Iterable[PoolAction]) -> None:
        for action in actions:
            match action:
                case Grant():
                    ticket = self._tickets[action.request_id]
                    ticket.connection_id = action.connection_id
                    ticket.wake()
                case Refuse():
                    ticket = self._tickets[action.request_id]
                    ticket.refusal = action
                    ticket.wake()
                case Open():
                    self._tasks.start_soon(self._open, action)
                case Close():
                    self._tasks.start_soon(self._close, action.connection_id)
                case Probe():
                    self._tasks.start_soon(self._probe, action.connection_id)

    async def _open(self, action: Open) -> None:
        connection_id = action.connection_id
        try:
            self._connections[connection_id] = await self._connect(action.login)
        except EndpointError as error:
            self._log_connect_failure(error)
            self._apply(
                self.pool.open_failed(connection_id, anyio.current_time())
            )
            return
        self._apply(self.pool.opened(connection_id, anyio.current_time()))

    def _log_connect_failure(self, error: EndpointError) -> None:
        """Log the first of several consecutive failures."""
        if self.pool.failures:
            return
        log_event(
            'connection_refused',
            endpoint=self.pool.endpoint,
            cause=str(error),
        )

    async def _close(self, connection_id: int) -> None:
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            await _close(connection)
        self._apply(self.pool.closed(connection_id, anyio.current_time()))

    async def _probe(self, connection_id: int) -> None:
        is_alive = await _is_responsive(self._connections[connection_id])
        now = anyio.current_time()
        self._apply(self.pool.probed(connection_id, now, is_alive=is_alive))


async def _is_responsive(connection: PooledConnection) -> bool:
    with anyio.move_on_after(_PROBE_TIMEOUT_S):
        try:
            await connection.probe()
        except (EndpointError, StatementError):
            return False
        return True
    return False


async def _close(connection: PooledConnection) -> None:
    with anyio.move_on_after(_CLOSE_TIMEOUT_S, shield=True):
        await connection.close()


def _make_error(refusal: Refuse, endpoint: str) -> Exception:
    cause = refusal.cause
    if cause in {RefusalCause.UNREACHABLE, RefusalCause.LEAVING}:
        reason = '{0}: {1}'.format(endpoint, cause.value)
        return EndpointError(reason, was_sent=False)
    is_late = cause is RefusalCause.DEADLINE
    return RequestError(
        Verdict.NOT_RUN,
        Reason.DEADLINE if is_late else Reason.OVERLOADED,
        cause.value,
        retry_after_s=refusal.retry_after_s,
    )
