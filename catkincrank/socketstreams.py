"""Streams on connections that were accepted outside of the event loop."""

from socket import socket

from anyio.abc import SocketStream

__all__ = ('wrap_connection',)


async def wrap_connection(connection: socket) -> SocketStream | None:
    """Return a stream that owns the socket; ``None`` if the peer has gone."""
    try:
        return await SocketStream.from_socket(connection)
    except (OSError, ValueError):
        connection.close()
        return None
