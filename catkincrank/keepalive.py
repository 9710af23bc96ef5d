"""Options of TCP connections that find out when the other end is gone."""

import select
import socket

from anyio.abc import SocketAttribute, SocketStream

__all__ = ('has_ended', 'has_pending_input', 'enable_keepalive')

# An idle connection is asked about after two seconds and given up two seconds
# later: twice the longest answer of a slow path, and well before a statement
# is likely to need it.
_IDLE_S = 2
_INTERVAL_S = 1
_PROBES = 2
# Sent data without an acknowledgement for this long means a broken path.
_USER_TIMEOUT_MS = 3000


def enable_keepalive(stream: SocketStream) -> None:
    """Let the kernel find out when the other end no longer answers."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _IDLE_S),
        (socket.TCP_KEEPINTVL, _INTERVAL_S),
        (socket.TCP_KEEPCNT, _PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, setting)


def has_pending_input(stream: SocketStream) -> bool:
    """Return whether bytes, an end or an error wait to be read.

    On a connection on which nothing is asked this means that it has ended.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(stream: SocketStream) -> bool:
    """Return whether the other end has closed, whatever waits to be read."""
    raw = stream.extra(SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
