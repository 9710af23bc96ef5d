"""Admin port: metrics, state dump, health, readiness and drain over HTTP."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, final

import anyio
import h11
import msgspec
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from catkincrank.logs import redact
from catkincrank.metrics import CONTENT_TYPE, Metrics

__all__ = ('AdminHooks', 'AdminServer', 'Reply')

_JSON = 'application/json'
_RECEIVE_BYTES = 16384
_REQUEST_TIMEOUT_S = 10
_OK = 200
_NOT_FOUND = 404
_WRONG_METHOD = 405
_NOT_READY = 503


@final
@dataclass(frozen=True, slots=True)
class AdminHooks:
    """What the admin port asks of its process.

    Attributes:
        dump_state: Returns the state as plain maps, lists and scalars.
        list_obstacles: Returns why the process is not ready; empty when it is.
        request_drain: Begins a drain; returns what it waits for.
    """

    dump_state: Callable[[], dict[str, Any]]
    list_obstacles: Callable[[], list[str]]
    request_drain: Callable[[], Awaitable[list[str]] | list[str]] | None = None


@final
@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP answer.

    Attributes:
        status: Status code.
        body: Bytes of the body.
        content_type: Media type of the body.
    """

    status: int
    body: bytes
    content_type: str = _JSON


@final
class AdminServer:
    """Serves the admin port of one process.

    Args:
        hooks: What the process offers.
        metrics: Metrics of the process.
    """

    def __init__(self, hooks: AdminHooks, metrics: Metrics) -> None:
        self._hooks = hooks
        self._metrics = metrics
        self._readers: dict[str, Callable[[], Reply]] = {
            '/metrics': self._show_metrics,
            '/state': self._show_state,
            '/health': self._show_health,
            '/ready': self._show_readiness,
        }

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled; report the port when ready."""
        listener = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
        )
        task_status.started(listener.extra(SocketAttribute.local_port))
        await listener.serve(self._handle)

    async def answer(self, method: str, target: str) -> Reply:
        """Return the answer to one request."""
        path = target.split('?')[0]
        if path == '/drain':
            return await self._drain(method)
        reader = self._readers.get(path)
        if reader is None:
            known = sorted((*self._readers, '/drain'))
            return _reply(_NOT_FOUND, {'error': 'unknown path', 'known': known})
        if method != 'GET':
            return _reply(_WRONG_METHOD, {'error': 'use GET'})
        return reader()

    async def _drain(self, method: str) -> Reply:
        if self._hooks.request_drain is None:
            return _reply(_NOT_FOUND, {'error': 'nothing to drain here'})
        if method != 'POST':
            return _reply(_WRONG_METHOD, {'error': 'use POST'})
        pending = self._hooks.request_drain()
        if not isinstance(pending, list):
            pending = await pending
        return _reply(_OK, {'draining': True, 'waits_for': pending})

    def _show_metrics(self) -> Reply:
        return Reply(_OK, self._metrics.render(), CONTENT_TYPE)

    def _show_state(self) -> Reply:
        return _reply(_OK, self._hooks.dump_state())

    def _show_health(self) -> Reply:
        return _reply(_OK, {'healthy': True})

    def _show_readiness(self) -> Reply:
        obstacles = self._hooks.list_obstacles()
        status = _NOT_READY if obstacles else _OK
        return _reply(status, {'ready': not obstacles, 'obstacles': obstacles})

    async def _handle(self, stream: SocketStream) -> None:
        async with stream:
            with anyio.move_on_after(_REQUEST_TIMEOUT_S):
                await self._exchange(stream)

    async def _exchange(self, stream: SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            request = await _read_request(connection, stream)
        except (h11.RemoteProtocolError, anyio.EndOfStream):
            return
        reply = await self.answer(
            request.method.decode('ascii'),
            request.target.decode('ascii'),
        )
        await stream.send(_encode_reply(connection, reply))


async def _read_request(
    connection: h11.Connection,
    stream: SocketStream,
) -> h11.Request:
    request = await _next_event(connection, stream)
    if not isinstance(request, h11.Request):
        raise anyio.EndOfStream
    event: Any = request
    while not isinstance(event, h11.EndOfMessage):
        event = await _next_event(connection, stream)
    return request


async def _next_event(
    connection: h11.Connection,
    stream: SocketStream,
) -> Any:
    event = connection.next_event()
    while event is h11.NEED_DATA:
        connection.receive_data(await stream.receive(_RECEIVE_BYTES))
        event = connection.next_event()
    if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
        raise anyio.EndOfStream
    return event


def _encode_reply(connection: h11.Connection, reply: Reply) -> bytes:
    head = h11.Response(
        status_code=reply.status,
        headers=[
            ('content-type', reply.content_type),
            ('content-length', str(len(reply.body))),
            ('connection', 'close'),
        ],
    )
    parts = (head, h11.Data(data=reply.body), h11.EndOfMessage())
    return b''.join(connection.send(part) or b'' for part in parts)


def _reply(status: int, content: dict[str, Any]) -> Reply:
    body = msgspec.json.encode(redact(content), enc_hook=str)
    return Reply(status, body)
