"""Sockets that listen before the process can serve.

Importing the gateway and reading its configuration takes a slow VM seconds.
Meanwhile connections wait in the backlog of the sockets instead of being
refused. This module is loaded before all others and imports no library.

No thread accepts them: processes with a second thread while modules were
imported ended by SIGILL on the users' bench, in about 3 of 100 starts.
"""

import socket
import time
from typing import final

__all__ = ('CALLER_BACKLOG', 'EarlyListeners', 'listen_early')

CALLER_BACKLOG = 1024
_READINESS_BACKLOG = 64


@final
class EarlyListeners:
    """Listening sockets that nobody serves yet.

    Attributes:
        callers: Listening socket for callers.
        readiness: Listening socket for readiness checks. A check that waits is
            a failed one to the load balancer.
        bound_at: When they were bound, in seconds since the machine started. An
            earlier process of this VM has ended before.
    """

    __slots__ = ('bound_at', 'callers', 'readiness')

    def __init__(
        self, callers: socket.socket, readiness: socket.socket
    ) -> None:
        self.callers = callers
        self.readiness = readiness
        self.bound_at = time.clock_gettime(time.CLOCK_BOOTTIME)

    def close(self) -> None:
        """Stop listening, which closes the connections that wait."""
        self.callers.close()
        self.readiness.close()


def listen_early(
    callers: tuple[str, int],
    readiness: tuple[str, int],
) -> EarlyListeners:
    """Bind both sockets.

    Raises:
        OSError: An address is in use or not available.
    """
    listener = _bind(callers, CALLER_BACKLOG)
    try:
        return EarlyListeners(listener, _bind(readiness, _READINESS_BACKLOG))
    except OSError:
        listener.close()
        raise


def _bind(address: tuple[str, int], backlog: int) -> socket.socket:
    family = socket.AF_INET6 if ':' in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=backlog)
    listener.setblocking(False)  # noqa: WPS425
    return listener
