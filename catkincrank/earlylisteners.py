"""Sockets that listen before the process can serve.

Importing the gateway and reading its configuration takes a slow VM seconds.
Meanwhile a thread accepts callers' connections and refuses readiness checks.
This module is loaded before all others and imports no library.
"""

import math
import select
import socket
import threading
import time
from contextlib import suppress
from typing import NamedTuple, final

__all__ = (
    'CALLER_BACKLOG',
    'EarlyListeners',
    'ReleasedSockets',
    'listen_early',
)

CALLER_BACKLOG = 1024
_READINESS_BACKLOG = 64
# Callers give up 2 s after they connect. A session that is answered later is
# lost to both sides.
_CALLER_LIMIT_S = 1.8
# The load balancer checks every second.
_CHECK_LIMIT_S = 1.0
# Further connections wait in the backlog; leaves descriptors for the links.
_MAX_CONNECTIONS = 512
_ERROR_PAUSE_S = 0.05
_READ_BYTES = 65536
_MS_PER_S = 1000
_END_OF_HEAD = b'\r\n\r\n'
_NOT_READY = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'content-type: application/json\r\n'
    b'content-length: 2\r\n'
    b'connection: close\r\n'
    b'\r\n'
    b'{}'
)


class ReleasedSockets(NamedTuple):
    """Sockets that a process takes over when it can serve.

    Attributes:
        callers: Listening socket for callers.
        readiness: Listening socket for readiness checks.
        connections: Callers' connections that have waited up to 1.8 s.
        checks: Connections for readiness checks whose request was not read.
    """

    callers: socket.socket
    readiness: socket.socket
    connections: tuple[socket.socket, ...]
    checks: tuple[socket.socket, ...]


@final
class EarlyListeners:
    """Accepts connections until the process can serve them.

    Args:
        callers: Listening socket for callers.
        readiness: Listening socket for readiness checks.
    """

    __slots__ = (
        '_callers',
        '_checks',
        '_connections',
        '_poll',
        '_readiness',
        '_stopper',
        '_stopping',
        '_thread',
    )

    def __init__(
        self, callers: socket.socket, readiness: socket.socket
    ) -> None:
        self._callers = callers
        self._readiness = readiness
        # Connections with the time at which each is closed, in order of time.
        self._connections: dict[socket.socket, float] = {}
        self._checks: dict[int, tuple[socket.socket, float]] = {}
        ends = socket.socketpair()
        self._stopper = ends[0]
        self._stopping = ends[1]
        self._poll = select.poll()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def waiting(self) -> int:
        """Number of callers that wait."""
        return len(self._connections)

    def start(self) -> None:
        """Begin to accept connections, in a thread."""
        for listener in (self._callers, self._readiness, self._stopping):
            listener.setblocking(False)  # noqa: WPS425
            self._poll.register(listener, select.POLLIN)
        self._thread.start()

    def release(self) -> ReleasedSockets:
        """Stop accepting and hand over the sockets."""
        self._stop()
        self._close_overdue(_read_clock())
        return ReleasedSockets(
            self._callers,
            self._readiness,
            tuple(self._connections),
            tuple(check for check, _ in self._checks.values()),
        )

    def close(self) -> None:
        """Stop listening and close the connections."""
        released = self.release()
        for connection in (*released.connections, *released.checks):
            _close(connection)
        self._callers.close()
        self._readiness.close()

    def _stop(self) -> None:
        self._stopper.close()
        self._thread.join()
        self._stopping.close()

    def _run(self) -> None:
        while True:
            try:
                if not self._run_once():
                    return
            except OSError:
                # For example, no descriptor is left for another connection.
                time.sleep(_ERROR_PAUSE_S)

    def _run_once(self) -> bool:
        """Handle what is ready; return whether to go on."""
        ready = {number for number, _ in self._poll.poll(self._find_wait_ms())}
        if self._stopping.fileno() in ready:
            return False
        now = _read_clock()
        self._close_overdue(now)
        for number in ready.intersection(self._checks):
            self._answer_check(number)
        if self._readiness.fileno() in ready:
            self._accept_check(now)
        if self._callers.fileno() in ready:
            self._accept_caller(now)
        return True

    def _find_wait_ms(self) -> float | None:
        ends = [next(iter(self._connections.values()), math.inf)]
        ends.extend(end for _, end in self._checks.values())
        end = min(ends)
        if end == math.inf:
            return None
        return max(0, end - _read_clock()) * _MS_PER_S + 1

    def _accept_caller(self, now: float) -> None:
        connection, _ = self._callers.accept()
        connection.setblocking(False)  # noqa: WPS425
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[connection] = now + _CALLER_LIMIT_S
        if len(self._connections) >= _MAX_CONNECTIONS:
            self._poll.modify(self._callers, 0)

    def _accept_check(self, now: float) -> None:
        check, _ = self._readiness.accept()
        check.setblocking(False)  # noqa: WPS425
        self._checks[check.fileno()] = check, now + _CHECK_LIMIT_S
        self._poll.register(check, select.POLLIN)

    def _answer_check(self, number: int) -> None:
        check, _ = self._checks[number]
        with suppress(OSError):
            if _END_OF_HEAD in check.recv(_READ_BYTES):
                check.send(_NOT_READY)
        self._close_check(number)

    def _close_check(self, number: int) -> None:
        self._poll.unregister(number)
        check, _ = self._checks.pop(number)
        check.close()

    def _close_overdue(self, now: float) -> None:
        for connection, end in tuple(self._connections.items()):
            if end > now:
                break
            self._connections.pop(connection)
            _close(connection)
            self._poll.modify(self._callers, select.POLLIN)
        for number, (_, end) in tuple(self._checks.items()):
            if end <= now:
                self._close_check(number)


def listen_early(
    callers: tuple[str, int],
    readiness: tuple[str, int],
) -> EarlyListeners:
    """Bind both sockets and begin to accept connections.

    Raises:
        OSError: An address is in use or not available.
    """
    listener = _bind(callers, CALLER_BACKLOG)
    try:
        listeners = EarlyListeners(
            listener, _bind(readiness, _READINESS_BACKLOG)
        )
    except OSError:
        listener.close()
        raise
    listeners.start()
    return listeners


def _bind(address: tuple[str, int], backlog: int) -> socket.socket:
    family = socket.AF_INET6 if ':' in address[0] else socket.AF_INET
    return socket.create_server(address, family=family, backlog=backlog)


def _close(connection: socket.socket) -> None:
    """Close a connection; unread input would reset it instead."""
    with suppress(OSError):
        connection.recv(_READ_BYTES)
    connection.close()


def _read_clock() -> float:
    """Return seconds since the machine started, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
