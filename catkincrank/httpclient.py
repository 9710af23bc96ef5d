"""Small HTTP client: one kept connection, h11 over anyio."""

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
_NO_LINGER = struct.pack('ii', 1, 0)
_FAILURES = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.ProtocolError,
)


@final
class HttpError(CatkincrankError):
    """No whole answer came.

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
    """A whole answer.

    Attributes:
        status: Status code.
        headers: Header values by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@final
class _Wire:
    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)


@final
class HttpClient:
    """Asks one server; requests of one client wait for each other.

    Args:
        address: The server, e.g. ``'http://127.0.0.1:8080'``.
        timeout_s: Time that one request may take.
    """

    def __init__(self, address: str, timeout_s: float = _TIMEOUT_S) -> None:
        parts = urlsplit(address)
        self._host = parts.hostname or ''
        self._port = parts.port or _HTTP_PORT
        self._timeout_s = timeout_s
        self._turn = anyio.Lock()
        self._wire: _Wire | None = None

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> HttpAnswer:
        """Send one request and return the answer.

        Args:
            method: Method in upper case.
            target: Path and query.
            body: The body.
            headers: Further headers.
            timeout_s: Time that it may take, if not the client's usual one.

        Raises:
            HttpError: No whole answer came in time.
        """
        was_sent = False
        try:
            with anyio.fail_after(timeout_s or self._timeout_s):
                async with self._turn:
                    wire = await self._open()
                    was_sent = True
                    sent = _encode(wire, method, target, body, headers or {})
                    await wire.stream.send(sent)
                    answer = await _read_answer(wire)
        except _FAILURES as error:
            if was_sent:
                await self.reset()
            reason = str(error) or type(error).__name__
            raise HttpError(reason, was_sent=was_sent) from None
        except BaseException:
            if was_sent:
                await self.reset()
            raise
        await self._settle(wire)
        return answer

    async def reset(self) -> None:
        """Reset the kept connection: what was not delivered never will be."""
        if self._wire is not None:
            raw = self._wire.stream.extra(SocketAttribute.raw_socket)
            with suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        await self.close()

    async def close(self) -> None:
        """Close the kept connection."""
        wire = self._wire
        self._wire = None
        if wire is not None:
            await anyio.aclose_forcefully(wire.stream)

    async def _open(self) -> _Wire:
        if self._wire is None:
            stream = await anyio.connect_tcp(self._host, self._port)
            self._wire = _Wire(stream)
        return self._wire

    async def _settle(self, wire: _Wire) -> None:
        both = (wire.protocol.our_state, wire.protocol.their_state)
        if both == (h11.DONE, h11.DONE):
            wire.protocol.start_next_cycle()
            return
        await self.close()


def _encode(
    wire: _Wire,
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
    return b''.join(wire.protocol.send(event) or b'' for event in events)


async def _read_answer(wire: _Wire) -> HttpAnswer:
    head = await _next_event(wire)
    if not isinstance(head, h11.Response):
        raise anyio.BrokenResourceError
    body = bytearray()
    while True:
        event = await _next_event(wire)
        if isinstance(event, h11.EndOfMessage):
            break
        if not isinstance(event, h11.Data):
            raise anyio.BrokenResourceError
        body.extend(event.data)
    headers = {
        name.decode('ascii'): text.decode('latin-1')
        for name, text in head.headers
    }
    return HttpAnswer(head.status_code, headers, bytes(body))


async def _next_event(wire: _Wire) -> object:
    while True:
        event = wire.protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            wire.protocol.receive_data(await wire.stream.receive(_READ_BYTES))
        except anyio.EndOfStream:
            wire.protocol.receive_data(b'')
