"""Server that accepts callers' connections and closes them on a drain."""

import asyncio
import itertools
import os
import struct
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, suppress
from typing import Any, final

import anyio
from pg_mimic import messages
from pg_mimic.errors import PgError
from pg_mimic.server import PgServer
from pg_mimic.stream import ConnectionClosed

from catkincrank.callerconnection import CallerConnection, CallerStream
from catkincrank.callererrors import convert_error, fatal_fields
from catkincrank.callersession import CallerSession
from catkincrank.connections import ConnectionLog
from catkincrank.errors import OptionError
from catkincrank.executor import Executor
from catkincrank.localanswers import REPORTED_PARAMETERS
from catkincrank.logs import log_event
from catkincrank.optionparser import parse_startup_options
from catkincrank.session import Session
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('CallerServer',)

_BUFFER_BYTES = 65536
_SECRET_BYTES = 4
_DRAIN_RETRY_AFTER_S = 0
_EXPIRY_INTERVAL_S = 1
_CANCEL_GRACE_S = 0.5
_DRAIN_LIMIT_CAUSE = 'the drain time limit of the proxy has passed'
_UNKNOWN_SERVICE_RETRY_AFTER_S = 1
_PROTOCOL_VIOLATION = '08P01'


@final
class CallerReader(asyncio.StreamReader):
    """Stream reader that reports a disconnection at once."""

    on_disconnect: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        """Handle the end of the stream."""
        super().feed_eof()
        self._notify_disconnect()

    def set_exception(self, exc: BaseException) -> None:
        """Handle a connection error."""
        super().set_exception(exc)
        self._notify_disconnect()

    def _notify_disconnect(self) -> None:
        if self.on_disconnect is not None:
            self.on_disconnect()


@final
class CallerServer(PgServer):
    """Accepts and serves callers' connections.

    Args:
        executor: Runs their statements.
        is_served: Returns whether a group is served.
        find_password: Returns the password of a group's team; ``None`` turns
            authentication off.

    Attributes:
        is_draining: Whether it rejects new callers.
        port: Port that it listens on.
    """

    def __init__(
        self,
        executor: Executor,
        is_served: Callable[[str], Awaitable[bool]],
        find_password: Callable[[str], str | None],
    ) -> None:
        super().__init__(session_factory=_unused_session_factory)
        self.parameter_status.update(REPORTED_PARAMETERS)
        self.find_password = find_password
        self.is_draining = False
        self.port = 0
        self._executor = executor
        self._is_served = is_served
        self._numbers = itertools.count(1)
        self._log = ConnectionLog()

    @property
    def connections(self) -> list[CallerConnection]:
        """The open connections of callers."""
        return list(self._connections.values())

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self, host: str, port: int) -> None:
        """Listen on a port that other processes may share."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol,
            host,
            port,
            reuse_port=True,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def drain(self) -> None:
        """Reject new callers and close idle ones; let the others finish."""
        self.is_draining = True
        for connection in self.connections:
            await self.close_if_idle(connection)  # noqa: WPS476

    async def close_all(self) -> None:
        """Close every connection, reporting a verdict on its statement."""
        for connection in self.connections:
            connection.state.cancel(_DRAIN_LIMIT_CAUSE)
        await anyio.sleep(_CANCEL_GRACE_S)
        for connection in self.connections:
            await self._end(connection)  # noqa: WPS476

    async def expire_idle_transactions(self) -> None:
        """Roll back idle transactions periodically until cancelled."""
        while True:
            await anyio.sleep(_EXPIRY_INTERVAL_S)
            for connection in self.connections:
                if await self._executor.expire_transaction(connection.state):  # noqa: WPS476
                    log_event(
                        'idle_transaction_ended',
                        'WARNING',
                        group=connection.state.group,
                        caller=connection.pid,
                    )

    async def close_if_idle(self, connection: CallerConnection) -> None:
        """Close a connection that is idle."""
        if connection.is_idle:
            await self._end(connection)

    async def _end(self, connection: CallerConnection) -> None:
        """Close a connection, reporting a verdict on its request."""
        session = connection.state
        verdict = session.close(_DRAIN_LIMIT_CAUSE)
        await connection.end(self._make_drain_response(session, verdict))

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
        except (ConnectionClosed, OSError):
            return
        except Exception as error:
            host, port, *_ = writer.get_extra_info('peername') or ('', 0)
            self._log.record_failure('{0}:{1}'.format(host, port), error)
            await _reject_malformed(stream)

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
        stream.reader.on_disconnect = session.cancel
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
        if not await self._is_served(session.group):
            raise RequestError(
                Verdict.NOT_RUN,
                Reason.UNKNOWN_SERVICE,
                'no service {0!r}; give it as user team.service or as '
                'database team/service'.format(session.group),
                retry_after_s=_UNKNOWN_SERVICE_RETRY_AFTER_S,
            )
        for assignment in parse_startup_options(startup.get('options', '')):
            if assignment.is_proxy_option:
                session.assign(assignment.name, assignment.text)

    def _make_drain_response(
        self,
        session: Session,
        verdict: Verdict,
    ) -> PgError:
        if verdict is Verdict.NOT_RUN:
            error = convert_error(_make_drain_error())
        else:
            error = convert_error(_make_outcome_error(verdict))
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
        retry_after_s=_DRAIN_RETRY_AFTER_S,
    )


def _make_outcome_error(verdict: Verdict) -> RequestError:
    return RequestError(
        verdict,
        Reason.OUTCOME_UNKNOWN,
        _DRAIN_LIMIT_CAUSE,
    )


async def _reject_malformed(stream: CallerStream) -> None:
    error = PgError(_PROTOCOL_VIOLATION, 'the connection has failed')
    stream.write(messages.make_error_response(fatal_fields(error)))
    with suppress(OSError):
        await stream.drain()


def _unused_session_factory() -> Any:
    raise NotImplementedError
