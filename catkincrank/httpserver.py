"""Small HTTP server: h11 over anyio, for admin ports and stand-ins."""

import math
import sys
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import final
from urllib.parse import SplitResult, parse_qsl, unquote, urlsplit

import anyio
import h11
from anyio.abc import Listener, SocketAttribute, SocketStream, TaskStatus

from catkincrank.connections import LimitedHandler, find_peer, serve_connections
from catkincrank.linebudget import LineBudget
from catkincrank.logs import log_event

__all__ = ('HttpRequest', 'HttpResponse', 'HttpServer', 'Route')

_MAX_BODY_BYTES = 8 * 1024 * 1024
_READ_BYTES = 65536
_SERVER_ERROR = 500
_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_UNAVAILABLE = 503
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_DISCONNECT_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
# Requests that are refused are logged at this rate.
_REFUSED_LINES_PER_S = 1
_REFUSED_BURST_LINES = 10
# A peer that still sends has this long to read why it was refused. Closing
# with unread bytes resets the connection, which discards the answer.
_LINGER_S = 0.5
_LINGER_BYTES = 65536
# Readiness is checked each second, on a connection of its own or not.
_REQUEST_LIMIT_S = 5
_LOOPBACK = '127.0.0.1'


@final
@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: Method in upper case.
        path: Decoded path.
        query: Query parameters; the last value of a repeated name.
        headers: Header values by lower-case name.
        body: The body.
    """

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


@final
@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
        body: The body.
        status: Status code.
        content_type: Media type of the body.
        headers: Further headers.
    """

    body: bytes = b''
    status: int = 200
    content_type: str = 'application/json'
    headers: dict[str, str] = field(default_factory=dict)


Route = Callable[[HttpRequest], Awaitable[HttpResponse | None]]


@final
class HttpServer:
    """Serves routes on one TCP port.

    Args:
        routes: Handler of each ``'METHOD /path'``; a path that ends in ``/*``
            matches every path below it. A handler that returns ``None``
            closes the connection without a response.
        most: Connections that are served at the same time; further ones are
            refused, and connections without a complete request are closed
            after a few seconds. 0 for no limit.
    """

    def __init__(self, routes: Mapping[str, Route], most: int = 0) -> None:
        self.port = 0
        self._request_limit_s = _REQUEST_LIMIT_S if most else math.inf
        self._limited = LimitedHandler(
            self.serve_stream, _refuse_overload, most or sys.maxsize
        )
        self._routes = dict(routes)
        self._budget = LineBudget(_REFUSED_LINES_PER_S, _REFUSED_BURST_LINES)

    async def serve(
        self,
        host: str = _LOOPBACK,
        port: int = 0,
        *,
        task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; the task status reports the port."""
        listener = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
            reuse_port=False,
        )
        self.port = listener.extra(SocketAttribute.local_port)
        task_status.started(self.port)
        await self.serve_listener(listener)

    async def serve_listener(self, listener: Listener[SocketStream]) -> None:
        """Serve connections of an open listener until cancelled."""
        async with listener:
            await serve_connections(listener, self._limited.serve)

    async def serve_stream(self, stream: SocketStream) -> None:
        """Serve one connection until it ends."""
        async with stream:
            protocol = h11.Connection(h11.SERVER)
            try:
                await self._serve_connection(protocol, stream)
            except _DISCONNECT_ERRORS:
                return
            except h11.RemoteProtocolError as error:
                self._record_refused(stream, error.error_status_hint)
                await _refuse(protocol, stream, error.error_status_hint)
            except Exception:
                await _refuse(protocol, stream, _SERVER_ERROR)
                raise

    async def _serve_connection(
        self, protocol: h11.Connection, stream: SocketStream
    ) -> None:
        while True:
            request = None
            with anyio.move_on_after(self._request_limit_s):
                request = await _read_request(protocol, stream)
            if request is None:
                return
            response = await self._respond(request)
            if response is None:
                return
            await _send_response(protocol, stream, request, response)
            if protocol.our_state is not h11.DONE:
                return
            protocol.start_next_cycle()

    async def _respond(self, request: HttpRequest) -> HttpResponse | None:
        route = self._find_route(request)
        if route is None:
            known = any(
                key.endswith(' {0}'.format(request.path))
                for key in self._routes
            )
            status = _METHOD_NOT_ALLOWED if known else _NOT_FOUND
            return HttpResponse(b'', status, 'text/plain')
        try:
            return await route(request)
        except Exception as error:
            log_event('http_route_failed', 'ERROR', path=request.path)
            text = type(error).__name__.encode('utf-8')
            return HttpResponse(text, _SERVER_ERROR, 'text/plain')

    def _record_refused(self, stream: SocketStream, status: int) -> None:
        if self._budget.take(anyio.current_time()):
            log_event(
                'http_request_refused',
                'WARNING',
                peer=find_peer(stream),
                status=status,
                lines_dropped=self._budget.reset_dropped(),
            )

    def _find_route(self, request: HttpRequest) -> Route | None:
        exact = '{0} {1}'.format(request.method, request.path)
        found = self._routes.get(exact)
        if found is not None:
            return found
        for key, route in self._routes.items():
            if key.endswith('/*') and exact.startswith(key[:-1]):
                return route
        return None


async def _read_request(
    protocol: h11.Connection,
    stream: SocketStream,
) -> HttpRequest | None:
    head = await _next_event(protocol, stream)
    if not isinstance(head, h11.Request):
        return None
    body = bytearray()
    while True:
        event = await _next_event(protocol, stream)
        if isinstance(event, h11.EndOfMessage):
            break
        if not isinstance(event, h11.Data):
            return None
        body.extend(event.data)
        if len(body) > _MAX_BODY_BYTES:
            raise h11.RemoteProtocolError('body too large', _BODY_TOO_LARGE)
    target = _split_target(head.target)
    return HttpRequest(
        head.method.decode('ascii'),
        unquote(target.path),
        dict(parse_qsl(target.query, keep_blank_values=True)),
        {
            name.decode('ascii'): text.decode('latin-1')
            for name, text in head.headers
        },
        bytes(body),
    )


def _split_target(target: bytes) -> SplitResult:
    try:
        return urlsplit(target.decode('ascii'))
    except ValueError:
        raise h11.RemoteProtocolError('no URL', _BAD_REQUEST) from None


async def _next_event(
    protocol: h11.Connection,
    stream: SocketStream,
) -> object:
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            protocol.receive_data(await stream.receive(_READ_BYTES))
        except anyio.EndOfStream:
            protocol.receive_data(b'')


async def _send_response(
    protocol: h11.Connection,
    stream: SocketStream,
    request: HttpRequest,
    response: HttpResponse,
) -> None:
    headers = [
        ('content-type', response.content_type),
        ('content-length', str(len(response.body))),
        *response.headers.items(),
    ]
    sent = protocol.send(
        h11.Response(status_code=response.status, headers=headers),
    )
    parts = [sent or b'']
    if request.method != 'HEAD':
        parts.append(protocol.send(h11.Data(data=response.body)) or b'')
    parts.append(protocol.send(h11.EndOfMessage()) or b'')
    await stream.send(b''.join(parts))


async def _refuse(
    protocol: h11.Connection, stream: SocketStream, status: int
) -> None:
    """Answer with ``status`` if no answer has begun, and end the connection."""
    if protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    headers = [('content-length', '0'), ('connection', 'close')]
    answer = protocol.send(h11.Response(status_code=status, headers=headers))
    with suppress(*_DISCONNECT_ERRORS, anyio.EndOfStream):
        with anyio.move_on_after(_LINGER_S):
            await stream.send(answer or b'')
            await stream.send_eof()
            await _discard_input(stream)


async def _refuse_overload(stream: SocketStream) -> None:
    await _refuse(h11.Connection(h11.SERVER), stream, _UNAVAILABLE)


async def _discard_input(stream: SocketStream) -> None:
    """Read what the peer still sends, up to a limit."""
    discarded = 0
    while discarded < _LINGER_BYTES:
        discarded += len(await stream.receive(_READ_BYTES))
