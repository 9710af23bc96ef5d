"""Small HTTP client with one keep-alive connection: h11 over anyio."""

import socket
import struct
from contextlib import suppress
from dataclasses import dataclass
from typing import final
from urllib.parse import urlsplit

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from catkincrank.errors import CatkincrankError

__all__ = ('HttpAnswer', 'HttpClient', 'HttpError')

_READ_BYTES = 65536
_HTTP_PORT = 80
_TIMEOUT_S = 5.0
_ZERO_LINGER = struct.pack('ii', 1, 0)
_TRANSPORT_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.ProtocolError,
)


@final
class HttpError(CatkincrankError):
    """No complete response arrived.

    Args:
        reason: What went wrong.
        was_sent: Whether the server may have seen the request.
    """

    def __init__(self, reason: str, *, was_sent: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent


@final
@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete response.

    Attributes:
        status: Status code.
        headers: Header values by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@final
class _Connection:
    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)


@final
class _Extension:
    """Extends a time limit while a body arrives.

    Args:
        scope: Scope with the time limit.
        limit_s: Longest time without a part of the body, in seconds.
        transfer_s: Longest total extension, in seconds.
    """

    def __init__(
        self, scope: anyio.CancelScope, limit_s: float, transfer_s: float
    ) -> None:
        self._scope = scope
        self._limit_s = limit_s
        self._ends_at = scope.deadline + transfer_s

    def extend(self) -> None:
        """Extend the limit after a part of the body."""
        next_by = anyio.current_time() + self._limit_s
        self._scope.deadline = max(
            self._scope.deadline, min(self._ends_at, next_by)
        )


@final
class HttpClient:
    """Client of one server; sends one request at a time.

    Args:
        address: The server, e.g. ``'http://127.0.0.1:8080'``.
        timeout_s: Default time limit of one request, in seconds.
    """

    def __init__(self, address: str, timeout_s: float = _TIMEOUT_S) -> None:
        parts = urlsplit(address)
        self._host = parts.hostname or ''
        self._port = parts.port or _HTTP_PORT
        self._timeout_s = timeout_s
        self._lock = anyio.Lock()
        self._connection: _Connection | None = None

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
        transfer_s: float = 0,
    ) -> HttpAnswer:
        """Send one request and return the response.

        Args:
            method: Method in upper case.
            target: Path and query.
            body: The body.
            headers: Further headers.
            timeout_s: Time limit in seconds; the client's default if ``None``.
            transfer_s: Longest time over which the body may arrive beyond the
                time limit, as long as no part of it takes longer than the
                limit, in seconds.

        Raises:
            HttpError: No complete response arrived in time.
        """
        was_sent = False
        try:
            limit_s = timeout_s or self._timeout_s
            with anyio.fail_after(limit_s) as scope:
                async with self._lock:
                    connection = await self._open()
                    was_sent = True
                    sent = _encode(
                        connection, method, target, body, headers or {}
                    )
                    await connection.stream.send(sent)
                    answer = await _read_answer(
                        connection, _Extension(scope, limit_s, transfer_s)
                    )
        except _TRANSPORT_ERRORS as error:
            if was_sent:
                await self.reset()
            reason = str(error) or type(error).__name__
            raise HttpError(reason, was_sent=was_sent) from None
        except BaseException:
            if was_sent:
                await self.reset()
            raise
        await self._finish_cycle(connection)
        return answer

    async def reset(self) -> None:
        """Reset the connection, so that undelivered data is discarded."""
        if self._connection is not None:
            raw = self._connection.stream.extra(SocketAttribute.raw_socket)
            with suppress(OSError):
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
                )
        await self.close()

    async def close(self) -> None:
        """Close the connection."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            await anyio.aclose_forcefully(connection.stream)

    async def _open(self) -> _Connection:
        if self._connection is None:
            stream = await anyio.connect_tcp(self._host, self._port)
            self._connection = _Connection(stream)
        return self._connection

    async def _finish_cycle(self, connection: _Connection) -> None:
        states = (
            connection.protocol.our_state,
            connection.protocol.their_state,
        )
        if states == (h11.DONE, h11.DONE):
            connection.protocol.start_next_cycle()
            return
        await self.close()


def _encode(
    connection: _Connection,
    method: str,
    target: str,
    body: bytes,
    headers: dict[str, str],
) -> bytes:
    request = h11.Request(
        method=method,
        target=target,
        headers=[
            ('host', 'catkincrank'),
            ('content-length', str(len(body))),
            *headers.items(),
        ],
    )
    events = (request, h11.Data(data=body), h11.EndOfMessage())
    return b''.join(connection.protocol.send(event) or b'' for event in events)


async def _read_answer(
    connection: _Connection, extension: _Extension
) -> HttpAnswer:
    head = await _next_event(connection)
    if not isinstance(head, h11.Response):
        raise anyio.BrokenResourceError
    body = bytearray()
    while True:
        event = await _next_event(connection)
        if isinstance(event, h11.EndOfMessage):
            break
        if not isinstance(event, h11.Data):
            raise anyio.BrokenResourceError
        body.extend(event.data)
        extension.extend()
    headers = {
        name.decode('ascii'): text.decode('latin-1')
        for name, text in head.headers
    }
    return HttpAnswer(head.status_code, headers, bytes(body))


async def _next_event(connection: _Connection) -> object:
    while True:
        event = connection.protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            connection.protocol.receive_data(
                await connection.stream.receive(_READ_BYTES)
            )
        except anyio.EndOfStream:
            connection.protocol.receive_data(b'')
