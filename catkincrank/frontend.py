"""Server for callers: accepts connections and ends them in a drain."""

import asyncio
import itertools
import os
import struct
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from typing import Any, final

import anyio
from pg_mimic.errors import PgError
from pg_mimic.server import PgServer
from pg_mimic.stream import ConnectionClosed

from catkincrank.callerconnection import CallerConnection, CallerStream
from catkincrank.callererrors import convert_error
from catkincrank.callersession import CallerSession
from catkincrank.errors import OptionError
from catkincrank.executor import Executor
from catkincrank.localanswers import REPORTED
from catkincrank.logs import log_event
from catkincrank.optionparser import parse_startup_options
from catkincrank.session import Session
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('CallerServer',)

_BUFFER_BYTES = 65536
_SECRET_BYTES = 4
_DRAIN_HINT_S = 0
_EXPIRY_INTERVAL_S = 1
_CUT_GRACE_S = 0.5
_CUT_CAUSE = 'the time that the proxy had to drain is over'
_UNKNOWN_HINT_S = 1


@final
class CallerReader(asyncio.StreamReader):
    """Stream that tells at once when the other end is gone."""

    on_gone: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        """Take in the end of the stream."""
        super().feed_eof()
        self._report()

    def set_exception(self, exc: BaseException) -> None:
        """Take in that the connection broke."""
        super().set_exception(exc)
        self._report()

    def _report(self) -> None:
        if self.on_gone is not None:
            self.on_gone()


@final
class CallerServer(PgServer):
    """Serves callers.

    Args:
        executor: Runs their statements.
        knows: Returns whether a group is served.
        find_password: Returns the password of a group's team; ``None`` lets
            everyone in.

    Attributes:
        is_draining: Whether it refuses new callers.
        port: Port that it listens on.
    """

    def __init__(
        self,
        executor: Executor,
        knows: Callable[[str], Awaitable[bool]],
        find_password: Callable[[str], str | None],
    ) -> None:
        super().__init__(session_factory=_refuse_factory)
        self.parameter_status.update(REPORTED)
        self.find_password = find_password
        self.is_draining = False
        self.port = 0
        self._executor = executor
        self._knows = knows
        self._numbers = itertools.count(1)

    @property
    def connections(self) -> list[CallerConnection]:
        """The callers' connections."""
        return list(self._connections.values())

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self, host: str, port: int) -> None:
        """Listen; other processes may share the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol,
            host,
            port,
            reuse_port=True,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def drain(self) -> None:
        """Refuse new callers and end idle ones; the others finish first."""
        self.is_draining = True
        for connection in self.connections:
            await self.end_if_idle(connection)  # noqa: WPS476

    async def cut(self) -> None:
        """End every connection, each with a verdict on what it had."""
        for connection in self.connections:
            connection.state.cancel(_CUT_CAUSE)
        await anyio.sleep(_CUT_GRACE_S)
        for connection in self.connections:
            error = self._explain_drain(connection.state)
            await connection.end(error)  # noqa: WPS476

    async def expire_idle(self) -> None:
        """Roll back transactions that callers have left open, for ever."""
        while True:
            await anyio.sleep(_EXPIRY_INTERVAL_S)
            for connection in self.connections:
                if await self._executor.expire(connection.state):  # noqa: WPS476
                    log_event(
                        'idle_transaction_ended',
                        'WARNING',
                        group=connection.state.group,
                        caller=connection.pid,
                    )

    async def end_if_idle(self, connection: CallerConnection) -> None:
        """End a connection that has nothing in flight."""
        if connection.is_idle:
            await connection.end(self._explain_drain(connection.state))

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        reader = CallerReader(limit=_BUFFER_BYTES, loop=loop)
        return asyncio.StreamReaderProtocol(
            reader,
            self._client_connected_cb,
            loop=loop,
        )

    async def _handle_client(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        stream = CallerStream(reader, writer)
        try:
            await self._serve_stream(stream)
        except (ConnectionClosed, OSError, ValueError):
            return

    async def _serve_stream(self, stream: CallerStream) -> None:
        startup = await self._negotiate_startup(stream)
        if startup is None:
            return
        session = Session(_find_group(startup))
        connection = self._make_connection(stream, session, startup)
        try:
            await self._admit(session, startup)
        except (RequestError, OptionError) as error:
            await connection.end(convert_error(error))
            return
        stream.reader.on_gone = session.cancel
        with ExitStack() as stack:
            stack.callback(self._connections.pop, connection.pid, None)
            self._connections[connection.pid] = connection
            await connection.run()

    def _make_connection(
        self,
        stream: CallerStream,
        session: Session,
        startup: dict[str, str],
    ) -> CallerConnection:
        secret = struct.unpack('!i', os.urandom(_SECRET_BYTES))[0]
        return CallerConnection(
            stream,
            CallerSession(self._executor, session),
            self,
            self._allocate_pid(),
            secret,
            startup,
        )

    async def _admit(self, session: Session, startup: dict[str, str]) -> None:
        if self.is_draining:
            raise _make_drain_error()
        if not await self._knows(session.group):
            raise RequestError(
                Verdict.NOT_RUN,
                Reason.UNKNOWN_SERVICE,
                'no service {0!r}; give it as user team.service or as '
                'database team/service'.format(session.group),
                retry_after_s=_UNKNOWN_HINT_S,
            )
        for words in parse_startup_options(startup.get('options', '')):
            if words.is_proxy_option:
                session.assign(words.name, words.text)

    def _explain_drain(self, session: Session) -> PgError:
        error = convert_error(_make_drain_error())
        token = session.show_token()
        if token:
            error.fields['H'] = '{0}\nsession: {1}'.format(
                error.fields['H'],
                token,
            )
        return error


def _find_group(startup: dict[str, str]) -> str:
    database = startup.get('database', '')
    if '/' in database:
        return database
    return startup.get('user', '').replace('.', '/', 1)


def _make_drain_error() -> RequestError:
    return RequestError(
        Verdict.NOT_RUN,
        Reason.DRAINING,
        'the proxy is draining; connect again',
        retry_after_s=_DRAIN_HINT_S,
    )


def _refuse_factory() -> Any:
    raise NotImplementedError
