"""Connections to the instances of a model group, without sockets."""

import itertools
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, final

import anyio
from pg_mimic import PgError

from catkincrank.endpoint import (
    Answer,
    Description,
    EndpointAddress,
    EndpointConnection,
    StatementError,
    TransactionStatus,
)
from catkincrank.errors import EndpointError
from catkincrank.history import LogMark
from catkincrank.instance import Ballot, InstanceStatus
from catkincrank.standins.modelnetwork import ModelPath, Step, StepEvent
from catkincrank.standins.modelserver import (
    ModelServer,
    ServerConnection,
    read_columns,
)

__all__ = ('ModelConnection',)

_DISCONNECT_DETECTION_S = 2
_connection_ids = itertools.count(1)


@final
class ModelConnection(EndpointConnection):  # noqa: WPS214
    """The client's end of a connection to one instance.

    Args:
        server: The instance and its other connections.
        path: The network path between both ends.
        application: Application name that it reports.

    Attributes:
        is_silent: Whether all traffic on it is dropped for good.
        origin: Name of the process that opened it.
    """

    def __init__(
        self,
        server: ModelServer,
        path: ModelPath,
        application: str,
    ) -> None:
        self.application = application
        self.origin = path.origin
        self.incarnation = server.instance.incarnation
        self.is_silent = False
        self._connection_id = next(_connection_ids)
        self._in_transit = 0
        self._server = server
        self._path = path
        self._server_connection = ServerConnection(server.instance)
        self._status = TransactionStatus.IDLE
        self._is_broken = False
        server.connections.add(self)

    async def execute(
        self,
        sql: str,
        params: Sequence[str | None] = (),
    ) -> Answer:
        """Run one statement; see the base class."""
        return await self._request(
            sql, self._server_connection.run, sql, list(params)
        )

    async def describe(self, sql: str) -> Description:
        """Return the parameter types and result columns of a statement."""
        statement = self._server_connection.prepare(sql)
        return Description(
            tuple(statement.param_oids),
            read_columns(await statement.describe()),
        )

    async def commit(self) -> LogMark | None:
        """Commit, and return the log's end."""
        return await self._request('COMMIT', self._server_connection.commit)

    async def fetch_status(self) -> InstanceStatus:
        """Return the instance's status."""
        return await self._request('status', _make_async(self._server.describe))

    async def seal(self, ballot: Ballot) -> InstanceStatus:
        """Seal the instance to ``ballot``; see the base class."""
        return await self._request(
            'seal', _make_async(self._server.seal), ballot
        )

    async def promote(self, ballot: Ballot) -> InstanceStatus:
        """Promote the instance in ``ballot.term``; see the base class."""
        return await self._request(
            'promote', _make_async(self._server.promote), ballot
        )

    async def follow(
        self,
        primary: EndpointAddress,
        ballot: Ballot,
    ) -> InstanceStatus:
        """Stream from ``primary``; see the base class."""
        work = _make_async(self._server.follow)
        return await self._request('follow', work, primary, ballot)

    async def terminate(self, application: str) -> int:
        """Reset the other connections of ``application``."""
        return await self._request(
            'terminate', _make_async(self._reset_others), application
        )

    async def close(self) -> None:
        """Close; the instance rolls back after the running statement ends."""
        self._is_broken = True
        self._path.spawn(self._disconnect)

    def reset(self) -> None:
        """End the connection from the instance's side."""
        self._is_broken = True
        self._server.connections.discard(self)
        self._server_connection.roll_back()
        self._path.notify_waiters()

    @property
    def transaction(self) -> TransactionStatus:
        """The transaction state that the instance last reported."""
        return self._status

    @property
    def _is_open(self) -> bool:
        """Whether the connection is open at the instance."""
        return self in self._server.connections

    async def _request(
        self,
        sql: str,
        work: Callable[..., Awaitable[Any]],
        *args: Any,
    ) -> Any:
        """Send ``work`` to the instance and wait for its answer."""
        if self._is_broken:
            raise EndpointError('the connection is closed', was_sent=False)
        name = self._server.instance.name
        event = StepEvent(
            self.origin,
            name,
            sql,
            self._connection_id,
            _get_first_param(args),
        )
        await self._path.report_step(event, Step.SENDING)
        reply = _Reply(lambda: work(*args))
        self._path.spawn(self._serve, event, reply)
        while not reply.has_arrived and not self._is_broken:
            await self._path.wait_for_change()
        if not reply.has_arrived:
            raise EndpointError('the connection was reset', was_sent=True)
        self._status = reply.status
        if reply.error is not None:
            raise reply.error
        return reply.content

    async def _serve(self, event: StepEvent, reply: '_Reply') -> None:
        """Carry a statement to the instance and its answer back."""
        self._in_transit += 1
        await self._deliver(event)
        self._in_transit -= 1
        async with self._server_connection.busy:
            if not self._is_open:
                return
            await self._run(reply)
        self._path.notify_waiters()
        await self._path.report_step(event, Step.RAN)
        await self._path.traverse(self)
        await self._server.instance.wait_running()
        reply.has_arrived = self._is_open
        self._path.notify_waiters()

    async def _deliver(self, event: StepEvent) -> None:
        instance = self._server.instance
        await self._path.traverse(self)
        await instance.wait_running()
        await self._path.report_step(event, Step.ARRIVED)
        await instance.wait_running()

    async def _run(self, reply: '_Reply') -> None:
        try:
            reply.content = await reply.work()
        except PgError as error:
            reply.error = self._server_connection.fail_transaction(error)
        reply.status = self._server_connection.transaction
        if not self._is_open:
            self._server_connection.roll_back()

    async def _disconnect(self) -> None:
        if self._path.is_cut or self.is_silent:
            await anyio.sleep(_DISCONNECT_DETECTION_S)
        while self._in_transit and not self.is_silent:
            # Statements sent before the close arrive before it.
            await self._path.wait_for_change()
        async with self._server_connection.busy:
            if self._is_open:
                self.reset()

    def _reset_others(self, application: str) -> int:
        return self._server.reset_matching(
            lambda one: one.application == application and one is not self,
        )


@final
class _Reply:
    """A statement's reply, which is filled in when it has run.

    Args:
        work: Runs the statement at the instance.

    Attributes:
        content: The answer.
        error: The error that the instance reported instead.
        has_arrived: Whether the client has received the reply.
        status: Transaction state after the statement.
    """

    __slots__ = ('content', 'error', 'has_arrived', 'status', 'work')

    def __init__(self, work: Callable[[], Awaitable[Any]]) -> None:
        self.work = work
        self.content: Any = None
        self.error: StatementError | None = None
        self.has_arrived = False
        self.status = TransactionStatus.IDLE


def _get_first_param(args: tuple[Any, ...]) -> str:
    """Return the first parameter of a statement, if it has any."""
    params = args[-1] if args else ()
    if isinstance(params, list) and params:
        return str(params[0])
    return ''


def _make_async(function: Callable[..., Any]) -> Callable[..., Awaitable[Any]]:
    async def call(*args: Any) -> Any:  # noqa: WPS430
        return function(*args)

    return call
