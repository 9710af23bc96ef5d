"""TCP relay that adds delay, partitions, silent connections and resets."""

import asyncio
import socket
import struct
from collections import deque
from typing import final

__all__ = ('Wire',)

_HOST = '127.0.0.1'
_LINGER_RESET = struct.pack('ii', 1, 0)


@final
class Wire:
    """Relays connections from its own port to another address.

    Built on asyncio transports, at the cost of one timer and one write for
    each chunk.

    Args:
        host: IP address to relay to.
        port: Port to relay to.
        delay_s: One-way delay in each direction.
    """

    def __init__(self, host: str, port: int, delay_s: float = 0) -> None:
        self.delay_s = delay_s
        self.port = 0
        self.is_cut = False
        self._target = (host, port)
        self._connections: set[_RelayedConnection] = set()
        self._server: asyncio.Server | None = None
        self._opening: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, _HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def cut(self) -> None:
        """Drop all traffic; open and new connections stay open."""
        self.is_cut = True
        self.silence()

    def heal(self) -> None:
        """Relay new connections; those that were silenced stay silent."""
        self.is_cut = False

    def silence(self) -> None:
        """Drop all traffic on the open connections for good."""
        for connection in self._connections:
            connection.is_silent = True

    def reset(self) -> None:
        """Reset every open connection."""
        for connection in list(self._connections):
            connection.reset()

    def _accept(self) -> asyncio.Protocol:
        connection = _RelayedConnection(self)
        connection.is_silent = self.is_cut
        self._connections.add(connection)
        return connection.client_end

    def _remove(self, connection: '_RelayedConnection') -> None:
        self._connections.discard(connection)

    def _open_server_end(self, connection: '_RelayedConnection') -> None:
        opening = asyncio.get_running_loop().create_task(
            self._connect(connection)
        )
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def _connect(self, connection: '_RelayedConnection') -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(
                lambda: connection.server_end, *self._target
            )
        except OSError:
            connection.reset()


@final
class _RelayedConnection:
    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.is_silent = False
        self.client_end = _End(self)
        self.server_end = _End(self)
        self.client_end.peer = self.server_end
        self.server_end.peer = self.client_end

    def on_connected(self, end: '_End') -> None:
        if end is self.client_end and not self.is_silent:
            self.wire._open_server_end(self)  # noqa: WPS437

    def remove(self) -> None:
        self.wire._remove(self)  # noqa: WPS437

    def reset(self) -> None:
        self.remove()
        self.client_end.reset()
        self.server_end.reset()


@final
class _End(asyncio.Protocol):
    def __init__(self, connection: _RelayedConnection) -> None:
        self.peer: _End | None = None
        self._connection = connection
        self._transport: asyncio.Transport | None = None
        self._pending: deque[bytes | None] = deque()
        self._unsent: list[bytes | None] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if not isinstance(transport, asyncio.Transport):
            raise TypeError(transport)
        self._transport = transport
        unsent = self._unsent
        self._unsent = []
        for chunk in unsent:
            self._write(chunk)
        self._connection.on_connected(self)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        self._forward(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._forward(None)

    def deliver(self) -> None:
        """Write the oldest pending chunk, whose delay is over."""
        chunk = self._pending.popleft()
        if not self._connection.is_silent:
            self._write(chunk)

    def schedule(self, chunk: bytes | None) -> None:
        """Schedule a chunk to be written after the delay."""
        self._pending.append(chunk)
        loop = asyncio.get_running_loop()
        loop.call_later(self._connection.wire.delay_s, self.deliver)

    def reset(self) -> None:
        """Reset the connection."""
        if self._transport is None:
            return
        raw_socket = self._transport.get_extra_info('socket')
        if raw_socket is not None and raw_socket.fileno() >= 0:
            raw_socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _LINGER_RESET,
            )
        self._transport.abort()

    def _forward(self, chunk: bytes | None) -> None:
        if self._connection.is_silent or self.peer is None:
            return
        self.peer.schedule(chunk)

    def _write(self, chunk: bytes | None) -> None:
        if self._transport is None:
            self._unsent.append(chunk)
        elif chunk is None:
            self._transport.close()
            self._connection.remove()
        else:
            self._transport.write(chunk)
