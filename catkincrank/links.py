"""Links between processes: messages in length-prefixed frames over TCP.

A link is closed at the first frame that is not a message of a known schema
version, and after a period of silence: both ends send heartbeats while they
have no other messages, so silence means that the link is dead.
"""

import struct
import sys
from collections.abc import Awaitable, Callable
from typing import Any, final

import anyio
from anyio import aclose_forcefully
from anyio.abc import AnyByteStream, TaskStatus
from anyio.streams.buffered import BufferedByteReceiveStream

from catkincrank.connections import LimitedHandler, serve_connections
from catkincrank.envelope import Message, decode_message, encode_message
from catkincrank.errors import CatkincrankError, MessageError
from catkincrank.keepalive import has_ended
from catkincrank.linkmessages import Heartbeat
from catkincrank.logs import log_event

__all__ = ('Link', 'LinkClosedError', 'dial', 'listen')

_MAX_FRAME_BYTES = 1024 * 1024
_FRAME_HEADER = struct.Struct('!I')
_HEARTBEAT_INTERVAL_S = 2.0
_SILENCE_LIMIT_S = 6.0
_SEND_TIMEOUT_S = 2.0
_HEARTBEAT_CHECK_INTERVAL_S = 0.5
_SEND_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
_READ_ERRORS = (*_SEND_ERRORS, anyio.EndOfStream, anyio.IncompleteRead)


@final
class LinkClosedError(CatkincrankError):
    """The link has ended; a new one has to be dialled."""


@final
class Link:
    """Carries messages in both directions over one byte stream.

    Args:
        stream: The byte stream.
        name: Name of this end, sent in heartbeats.
        silence_limit_s: Silence of the other end that closes the link, in
            seconds.

    Attributes:
        heartbeat_interval_s: Idle time after which this end sends a
            heartbeat, in seconds.
        received_bytes: Number of bytes received.
        sent_bytes: Number of bytes sent.
    """

    __slots__ = (
        '_buffer',
        '_lock',
        '_name',
        '_sent_at',
        '_sequence',
        '_silence_limit_s',
        '_stream',
        'heartbeat_interval_s',
        'received_bytes',
        'sent_bytes',
    )

    def __init__(
        self,
        stream: AnyByteStream,
        name: str = '',
        silence_limit_s: float = _SILENCE_LIMIT_S,
    ) -> None:
        self._stream = stream
        self._buffer = BufferedByteReceiveStream(stream)
        self._lock = anyio.Lock()
        self._name = name
        self._silence_limit_s = silence_limit_s
        self._sequence = 0
        self._sent_at: float = 0
        self.heartbeat_interval_s = _HEARTBEAT_INTERVAL_S
        self.sent_bytes = 0
        self.received_bytes = 0

    @property
    def has_ended(self) -> bool:
        """Whether the other end is known to have closed the stream."""
        return has_ended(self._stream)

    async def send(self, message: Message) -> None:
        """Send ``message`` completely, or close the link.

        Raises:
            MessageError: The message is too large or does not fit the schema.
            LinkClosedError: The link has ended.
        """
        body = encode_message(message)
        if len(body) > _MAX_FRAME_BYTES:
            raise MessageError('message too large: {0} bytes'.format(len(body)))
        async with self._lock:
            await self._write(_FRAME_HEADER.pack(len(body)) + body)

    async def receive(self) -> Message:
        """Return the next message other than a heartbeat.

        Raises:
            MessageError: A frame held no valid message; the link is closed.
            LinkClosedError: The link has ended or was silent for too long.
        """
        while True:
            message = await self._receive_any()
            if not isinstance(message, Heartbeat):
                return message

    async def run_heartbeats(self) -> None:
        """Send a heartbeat whenever the link was idle for the interval.

        Raises:
            LinkClosedError: The link has ended.
        """
        while True:
            idle_s = anyio.current_time() - self._sent_at
            if idle_s < self.heartbeat_interval_s:
                await anyio.sleep(
                    min(
                        _HEARTBEAT_CHECK_INTERVAL_S,
                        self.heartbeat_interval_s - idle_s,
                    ),
                )
                continue
            self._sequence += 1
            await self.send(Heartbeat(self._name, self._sequence))

    async def close(self) -> None:
        """Close at once; data not yet read by the other end may be lost."""
        await anyio.aclose_forcefully(self._stream)

    async def _write(self, frame: bytes) -> None:
        is_sent = False
        try:
            with anyio.fail_after(_SEND_TIMEOUT_S):
                await self._stream.send(frame)
            is_sent = True
        except _SEND_ERRORS as error:
            raise LinkClosedError(repr(error)) from None
        finally:
            if not is_sent:
                await self.close()
        self._sent_at = anyio.current_time()
        self.sent_bytes += len(frame)

    async def _receive_any(self) -> Message:
        try:
            return decode_message(await self._read_frame())
        except MessageError:
            await self.close()
            raise

    async def _read_frame(self) -> bytes:
        try:
            with anyio.fail_after(self._silence_limit_s):
                header = await self._buffer.receive_exactly(_FRAME_HEADER.size)
                return await self._read_body(*_FRAME_HEADER.unpack(header))
        except TimeoutError:
            await self.close()
            raise LinkClosedError(
                'the other end was silent for too long'
            ) from None
        except _READ_ERRORS as error:
            await self.close()
            raise LinkClosedError(repr(error)) from None

    async def _read_body(self, size: int) -> bytes:
        if size > _MAX_FRAME_BYTES:
            raise MessageError('frame too large: {0} bytes'.format(size))
        body = await self._buffer.receive_exactly(size)
        self.received_bytes += size + _FRAME_HEADER.size
        return body


async def dial(
    host: str,
    port: int,
    timeout_s: float,
    name: str = '',
    silence_limit_s: float = _SILENCE_LIMIT_S,
) -> Link:
    """Return a link to ``host`` and ``port`` within ``timeout_s`` seconds.

    Raises:
        LinkClosedError: The connection failed or timed out.
    """
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, port)
            return Link(stream, name, silence_limit_s)
    except OSError as error:
        raise LinkClosedError(repr(error)) from None


async def listen(
    host: str,
    port: int,
    handle: Callable[[Link], Awaitable[None]],
    name: str = '',
    *,
    sends_heartbeats: bool = True,
    most: int = 0,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve links until cancelled; report the port through ``task_status``.

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
        handle: Serves one link; the link is closed when it returns.
        name: Name of this end, sent in heartbeats.
        sends_heartbeats: Whether this end sends heartbeats while it is idle.
        most: Links that are served at the same time; further ones are closed
            at once. 0 for no limit.
        task_status: Receives the port once listening has started.
    """

    async def serve(stream: Any) -> None:  # noqa: WPS430
        await serve_link(
            Link(stream, name), handle, sends_heartbeats=sends_heartbeats
        )

    listener = await anyio.create_tcp_listener(
        local_host=host,
        local_port=port,
    )
    async with listener:
        bound_port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started(bound_port)
        limited = LimitedHandler(serve, aclose_forcefully, most or sys.maxsize)
        await serve_connections(listener, limited.serve)


async def serve_link(
    link: Link,
    handle: Callable[[Link], Awaitable[None]],
    *,
    sends_heartbeats: bool = True,
) -> None:
    """Run ``handle`` and heartbeats on ``link`` until it ends, then close it.

    Errors are logged here and end only this link.
    """
    try:
        async with anyio.create_task_group() as tasks:
            if sends_heartbeats:
                tasks.start_soon(link.run_heartbeats)
            await handle(link)
            tasks.cancel_scope.cancel()
    except* LinkClosedError as closed:
        log_event('link_closed', 'DEBUG', cause=str(closed.exceptions[0]))
    except* MessageError as invalid:
        log_event(
            'message_refused', 'WARNING', cause=str(invalid.exceptions[0])
        )
    except* Exception as failed:
        log_event('link_failed', 'ERROR', cause=repr(failed.exceptions[0]))
    finally:
        await link.close()
