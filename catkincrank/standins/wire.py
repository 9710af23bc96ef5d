"""TCP relay with delay and faults, for partitions and silent connections."""

import asyncio
import socket
import struct
from collections import deque
from typing import final

__all__ = ('Wire',)

_HOST = '127.0.0.1'
_LINGER_OFF = struct.pack('ii', 1, 0)


@final
class Wire:
    """Relays connections from a port of its own to another.

    Uses the runtime's transports: one timer and one write for each chunk.

    Args:
        host: IP number to relay to.
        port: Port to relay to.
        delay_s: One-way delay in each direction.
    """

    def __init__(self, host: str, port: int, delay_s: float = 0) -> None:
        self.delay_s = delay_s
        self.port = 0
        self.is_cut = False
        self._target = (host, port)
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self._opening: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, _HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def cut(self) -> None:
        """Go silent: connections stay open, no byte passes any more."""
        self.is_cut = True
        self.silence()

    def heal(self) -> None:
        """Let new connections pass; silent ones stay silent for good."""
        self.is_cut = False

    def silence(self) -> None:
        """Make the open connections silent for good; new ones work."""
        for pair in self._pairs:
            pair.is_silent = True

    def reset(self) -> None:
        """Reset every open connection."""
        for pair in list(self._pairs):
            pair.reset()

    def _accept(self) -> asyncio.Protocol:
        pair = _Pair(self)
        pair.is_silent = self.is_cut
        self._pairs.add(pair)
        return pair.near

    def _forget(self, pair: '_Pair') -> None:
        self._pairs.discard(pair)

    def _open_far(self, pair: '_Pair') -> None:
        opening = asyncio.get_running_loop().create_task(self._connect(pair))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def _connect(self, pair: '_Pair') -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: pair.far, *self._target)
        except OSError:
            pair.reset()


@final
class _Pair:
    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.is_silent = False
        self.near = _End(self)
        self.far = _End(self)
        self.near.peer = self.far
        self.far.peer = self.near

    def begin(self, end: '_End') -> None:
        if end is self.near and not self.is_silent:
            self.wire._open_far(self)  # noqa: WPS437

    def finish(self) -> None:
        self.wire._forget(self)  # noqa: WPS437

    def reset(self) -> None:
        self.finish()
        self.near.reset()
        self.far.reset()


@final
class _End(asyncio.Protocol):
    def __init__(self, pair: _Pair) -> None:
        self.peer: _End | None = None
        self._pair = pair
        self._transport: asyncio.Transport | None = None
        self._pending: deque[bytes | None] = deque()
        self._early: list[bytes | None] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if not isinstance(transport, asyncio.Transport):
            raise TypeError(transport)
        self._transport = transport
        early = self._early
        self._early = []
        for chunk in early:
            self._write(chunk)
        self._pair.begin(self)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        self._pass_on(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._pass_on(None)

    def deliver(self) -> None:
        """Write the oldest chunk that has waited its delay."""
        chunk = self._pending.popleft()
        if not self._pair.is_silent:
            self._write(chunk)

    def expect(self, chunk: bytes | None) -> None:
        """Take a chunk to be written after the delay."""
        self._pending.append(chunk)
        loop = asyncio.get_running_loop()
        loop.call_later(self._pair.wire.delay_s, self.deliver)

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is None:
            return
        opened = self._transport.get_extra_info('socket')
        if opened is not None and opened.fileno() >= 0:
            opened.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _LINGER_OFF,
            )
        self._transport.abort()

    def _pass_on(self, chunk: bytes | None) -> None:
        if self._pair.is_silent or self.peer is None:
            return
        self.peer.expect(chunk)

    def _write(self, chunk: bytes | None) -> None:
        if self._transport is None:
            self._early.append(chunk)
        elif chunk is None:
            self._transport.close()
            self._pair.finish()
        else:
            self._transport.write(chunk)
