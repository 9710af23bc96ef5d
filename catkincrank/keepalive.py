"""TCP keep-alive options and checks for a connection closed by its peer."""

import select
import socket

from anyio.abc import ByteStream, SocketAttribute, SocketStream

__all__ = ('has_ended', 'has_pending_input', 'enable_keepalive')

# An idle connection is probed after 2 s and closed 2 s later. That is twice the
# longest response time of a slow path, and early enough that the connection is
# usually replaced before a statement needs it.
_IDLE_S = 2
_INTERVAL_S = 1
_PROBES = 2
# Sent data that is not acknowledged within this time means a broken path.
_USER_TIMEOUT_MS = 3000


def enable_keepalive(stream: SocketStream) -> None:
    """Make the kernel detect a peer that no longer answers."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _IDLE_S),
        (socket.TCP_KEEPINTVL, _INTERVAL_S),
        (socket.TCP_KEEPCNT, _PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, setting)


def has_pending_input(stream: ByteStream) -> bool:
    """Return whether data, an end of stream or an error can be read.

    On a connection without a pending request it means that the connection has
    ended. ``False`` for a stream that is no socket.
    """
    raw = stream.extra(SocketAttribute.raw_socket, None)
    if raw is None:
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(stream: SocketStream) -> bool:
    """Return whether the peer has closed, even if unread data is left."""
    raw = stream.extra(SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
