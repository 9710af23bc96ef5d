"""Waits for a socket of libpq without a system call for each wait."""

import asyncio
from typing import final

import anyio
from psycopg.waiting import Ready, Wait

__all__ = ('SocketWaiter',)

_IDLE_EVENTS = 2


@final
class SocketWaiter:
    """Keeps one reader on a socket as long as its connection is in use.

    The event loop reports a socket again until it is read, so one event
    without a waiter may be left over from a wait; a second one says that the
    other end has sent something unasked, and the reader is taken away.

    Args:
        descriptor: The socket.
    """

    __slots__ = ('_descriptor', '_events', '_loop', '_waiter', '_watches')

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None
        self._watches = False
        self._events = 0

    async def wait(self, wanted: Wait) -> Ready:
        """Wait until the socket is ready."""
        if wanted != Wait.R:
            self.close()
            await anyio.wait_writable(self._descriptor)
            return Ready.RW if wanted == Wait.RW else Ready.W
        if not self._watches:
            self._loop.add_reader(self._descriptor, self._notice)
            self._watches = True
        self._events = 0
        self._waiter = self._loop.create_future()
        await self._waiter
        return Ready.R

    def close(self) -> None:
        """Take the reader away; has to come before the socket closes."""
        if self._watches:
            self._loop.remove_reader(self._descriptor)
            self._watches = False

    def _notice(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
            return
        self._events += 1
        if self._events >= _IDLE_EVENTS:
            self.close()
