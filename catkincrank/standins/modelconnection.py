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
    ServerSide,
    read_columns,
)

__all__ = ('ModelConnection',)

_NOTICE_S = 2
_numbers = itertools.count(1)


@final
class ModelConnection(EndpointConnection):  # noqa: WPS214
    """A connection to one instance.

    Args:
        server: The instance and its other connections.
        path: The network between both ends.
        application: What it names itself.

    Attributes:
        is_silent: Whether nothing passes on it for good.
        origin: The process that opened it.
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
        self._number = next(_numbers)
        self._travelling = 0
        self._server = server
        self._path = path
        self._side = ServerSide(server.instance)
        self._status = TransactionStatus.IDLE
        self._is_broken = False
        server.connections.add(self)

    async def execute(
        self,
        sql: str,
        params: Sequence[str | None] = (),
    ) -> Answer:
        """Run one statement; see the base class."""
        return await self._ask(sql, self._side.run, sql, list(params))

    async def describe(self, sql: str) -> Description:
        """Return the shape of a statement."""
        statement = self._side.prepare(sql)
        return Description(
            tuple(statement.param_oids),
            read_columns(await statement.describe()),
        )

    async def commit(self) -> LogMark | None:
        """Commit, and return the log's end."""
        return await self._ask('COMMIT', self._side.commit)

    async def fetch_status(self) -> InstanceStatus:
        """Return the instance's status."""
        return await self._ask('status', _call(self._server.describe))

    async def seal(self, ballot: Ballot) -> InstanceStatus:
        """Promise ``ballot``; see the base class."""
        return await self._ask('seal', _call(self._server.seal), ballot)

    async def promote(self, ballot: Ballot) -> InstanceStatus:
        """Begin ``ballot.term``; see the base class."""
        return await self._ask('promote', _call(self._server.promote), ballot)

    async def follow(
        self,
        primary: EndpointAddress,
        ballot: Ballot,
    ) -> InstanceStatus:
        """Stream from ``primary``; see the base class."""
        work = _call(self._server.follow)
        return await self._ask('follow', work, primary, ballot)

    async def terminate(self, application: str) -> int:
        """End other connections of ``application``."""
        return await self._ask('terminate', _call(self._end), application)

    async def close(self) -> None:
        """Close; the instance notices once what runs there has ended."""
        self._is_broken = True
        self._path.spawn(self._leave)

    def reset(self) -> None:
        """End the connection from the instance's side."""
        self._is_broken = True
        self._server.connections.discard(self)
        self._side.undo()
        self._path.wake()

    @property
    def transaction(self) -> TransactionStatus:
        """The transaction state that the endpoint reported last."""
        return self._status

    @property
    def _is_open(self) -> bool:
        """Whether the instance still knows of it."""
        return self in self._server.connections

    async def _ask(
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
            self._number,
            _find_owner(args),
        )
        await self._path.step(event, Step.SENDING)
        reply = _Reply(lambda: work(*args))
        self._path.spawn(self._serve, event, reply)
        while not reply.is_there and not self._is_broken:
            await self._path.changed()
        if not reply.is_there:
            raise EndpointError('the connection was reset', was_sent=True)
        self._status = reply.status
        if reply.error is not None:
            raise reply.error
        return reply.content

    async def _serve(self, event: StepEvent, reply: '_Reply') -> None:
        """Bring a statement to the instance and its answer back."""
        self._travelling += 1
        await self._arrive(event)
        self._travelling -= 1
        async with self._side.busy:
            if not self._is_open:
                return
            await self._work(reply)
        self._path.wake()
        await self._path.step(event, Step.RAN)
        await self._path.cross(self)
        await self._server.instance.wait_running()
        reply.is_there = self._is_open
        self._path.wake()

    async def _arrive(self, event: StepEvent) -> None:
        instance = self._server.instance
        await self._path.cross(self)
        await instance.wait_running()
        await self._path.step(event, Step.ARRIVED)
        await instance.wait_running()

    async def _work(self, reply: '_Reply') -> None:
        try:
            reply.content = await reply.work()
        except PgError as error:
            reply.error = self._side.fail(error)
        reply.status = self._side.transaction
        if not self._is_open:
            self._side.undo()

    async def _leave(self) -> None:
        if self._path.is_cut or self.is_silent:
            await anyio.sleep(_NOTICE_S)
        while self._travelling and not self.is_silent:
            # What was sent before the end arrives before it.
            await self._path.changed()
        async with self._side.busy:
            if self._is_open:
                self.reset()

    def _end(self, application: str) -> int:
        return self._server.drop_if(
            lambda one: one.application == application and one is not self,
        )


@final
class _Reply:
    """A statement and what came of it.

    Args:
        work: Runs the statement at the instance.

    Attributes:
        content: The answer.
        error: The error that the instance reported instead.
        is_there: Whether it has arrived.
        status: Transaction state that it reports.
    """

    __slots__ = ('content', 'error', 'is_there', 'status', 'work')

    def __init__(self, work: Callable[[], Awaitable[Any]]) -> None:
        self.work = work
        self.content: Any = None
        self.error: StatementError | None = None
        self.is_there = False
        self.status = TransactionStatus.IDLE


def _find_owner(args: tuple[Any, ...]) -> str:
    """Return the first parameter of a statement, if it has any."""
    params = args[-1] if args else ()
    if isinstance(params, list) and params:
        return str(params[0])
    return ''


def _call(function: Callable[..., Any]) -> Callable[..., Awaitable[Any]]:
    async def call(*args: Any) -> Any:  # noqa: WPS430
        return function(*args)

    return call
