"""Links between processes: whole messages in length-prefixed frames over TCP.

A link is closed at the first frame that is not a message of a known version,
and when nothing has arrived for a while: peers send heartbeats when they have
nothing else to say, so silence means that the link is dead.
"""

import struct
from collections.abc import Awaitable, Callable
from typing import Any, final

import anyio
from anyio.abc import AnyByteStream, TaskStatus
from anyio.streams.buffered import BufferedByteReceiveStream
from loguru import logger

from catkincrank.errors import CatkincrankError, MessageError
from catkincrank.keepalive import has_ended
from catkincrank.messages import (
    Heartbeat,
    Message,
    decode_message,
    encode_message,
)

__all__ = ('Link', 'LinkClosedError', 'dial', 'listen')

_MAX_FRAME_BYTES = 1024 * 1024
_HEADER = struct.Struct('!I')
_HEARTBEAT_INTERVAL_S = 2.0
_SILENCE_LIMIT_S = 6.0
_SEND_TIMEOUT_S = 2.0
_STEP_S = 0.5
_SEND_FAILURES = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
_READ_FAILURES = (*_SEND_FAILURES, anyio.EndOfStream, anyio.IncompleteRead)


@final
class LinkClosedError(CatkincrankError):
    """The link is gone; a new one has to be dialled."""


@final
class Link:
    """Carries messages both ways over one stream of bytes.

    Args:
        stream: The stream.
        name: Name of this end, for its heartbeats.
        silence_limit_s: How long the other end may be silent, in seconds.

    Attributes:
        heartbeat_interval_s: How long this end may be silent, in seconds.
        received_bytes: Bytes that have arrived.
        sent_bytes: Bytes that were sent.
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
        """Whether the other end has closed, as far as can be told."""
        return has_ended(self._stream)

    async def send(self, message: Message) -> None:
        """Send ``message`` whole, or close the link.

        Raises:
            MessageError: The message is too large or does not fit the schema.
            LinkClosedError: The link is gone.
        """
        body = encode_message(message)
        if len(body) > _MAX_FRAME_BYTES:
            raise MessageError('{0} bytes in one message'.format(len(body)))
        async with self._lock:
            await self._write(_HEADER.pack(len(body)) + body)

    async def receive(self) -> Message:
        """Return the next message other than a heartbeat.

        Raises:
            MessageError: What came is no message; the link has been closed.
            LinkClosedError: The link is gone or has been silent too long.
        """
        while True:
            message = await self._receive_any()
            if not isinstance(message, Heartbeat):
                return message

    async def run_heartbeats(self) -> None:
        """Send a heartbeat whenever nothing else was sent for a while.

        Raises:
            LinkClosedError: The link is gone.
        """
        while True:
            idle_s = anyio.current_time() - self._sent_at
            if idle_s < self.heartbeat_interval_s:
                await anyio.sleep(
                    min(_STEP_S, self.heartbeat_interval_s - idle_s),
                )
                continue
            self._sequence += 1
            await self.send(Heartbeat(self._name, self._sequence))

    async def close(self) -> None:
        """Close at once; what the other end has not read may be lost."""
        await anyio.aclose_forcefully(self._stream)

    async def _write(self, frame: bytes) -> None:
        is_whole = False
        try:
            with anyio.fail_after(_SEND_TIMEOUT_S):
                await self._stream.send(frame)
            is_whole = True
        except _SEND_FAILURES as error:
            raise LinkClosedError(repr(error)) from None
        finally:
            if not is_whole:
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
                header = await self._buffer.receive_exactly(_HEADER.size)
                return await self._read_body(*_HEADER.unpack(header))
        except TimeoutError:
            await self.close()
            raise LinkClosedError('silent for too long') from None
        except _READ_FAILURES as error:
            await self.close()
            raise LinkClosedError(repr(error)) from None

    async def _read_body(self, size: int) -> bytes:
        if size > _MAX_FRAME_BYTES:
            raise MessageError('{0} bytes in one frame'.format(size))
        body = await self._buffer.receive_exactly(size)
        self.received_bytes += size + _HEADER.size
        return body


async def dial(
    host: str,
    port: int,
    deadline_s: float,
    name: str = '',
    silence_limit_s: float = _SILENCE_LIMIT_S,
) -> Link:
    """Return a link to ``host`` and ``port`` within ``deadline_s`` seconds.

    Raises:
        LinkClosedError: No connection came about in time.
    """
    try:
        with anyio.fail_after(deadline_s):
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
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve links until cancelled; report the port through ``task_status``.

    Args:
        host: IP number to listen on.
        port: TCP port; 0 takes a free one.
        handle: Serves one link; the link is closed when it returns.
        name: Name of this end, for heartbeats.
        task_status: Is started with the port.
    """

    async def serve(stream: Any) -> None:  # noqa: WPS430
        await serve_link(Link(stream, name), handle)

    listener = await anyio.create_tcp_listener(
        local_host=host,
        local_port=port,
    )
    async with listener:
        address = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started(address)
        await listener.serve(serve)


async def serve_link(
    link: Link,
    handle: Callable[[Link], Awaitable[None]],
) -> None:
    """Run ``handle`` and heartbeats on ``link`` until it ends, then close it.

    The link's own failures end here; any other error goes on.
    """
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run_heartbeats)
            await handle(link)
            tasks.cancel_scope.cancel()
    except* LinkClosedError as closed:
        logger.bind(event='link_closed', cause=str(closed.exceptions[0])).debug(
            'link closed',
        )
    except* MessageError as unread:
        logger.bind(
            event='message_refused',
            cause=str(unread.exceptions[0]),
        ).warning('message refused; link closed')
    finally:
        await link.close()
