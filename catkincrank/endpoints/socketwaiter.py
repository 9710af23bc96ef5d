"""Waits for a libpq socket without a system call for each wait."""

import asyncio
from typing import final

import anyio
from psycopg.waiting import Ready, Wait

__all__ = ('SocketWaiter',)

_MAX_IDLE_EVENTS = 2


@final
class SocketWaiter:
    """Keeps a reader registered on a socket while its connection is in use.

    The event loop reports a readable socket until it is read, so one event
    without a waiter may be left over from the previous wait. A second one
    means that the other end sent unsolicited data; the reader is then removed,
    or the event loop would spin.

    Args:
        descriptor: File descriptor of the socket.
    """

    __slots__ = (
        '_descriptor',
        '_has_reader',
        '_idle_events',
        '_loop',
        '_waiter',
    )

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None
        self._has_reader = False
        self._idle_events = 0

    async def wait(self, wanted: Wait) -> Ready:
        """Wait until the socket is ready."""
        if wanted != Wait.R:
            self.close()
            await anyio.wait_writable(self._descriptor)
            return Ready.RW if wanted == Wait.RW else Ready.W
        if not self._has_reader:
            self._loop.add_reader(self._descriptor, self._on_readable)
            self._has_reader = True
        self._idle_events = 0
        self._waiter = self._loop.create_future()
        await self._waiter
        return Ready.R

    def close(self) -> None:
        """Remove the reader; must be called before the socket is closed."""
        if self._has_reader:
            self._loop.remove_reader(self._descriptor)
            self._has_reader = False

    def _on_readable(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
            return
        self._idle_events += 1
        if self._idle_events >= _MAX_IDLE_EVENTS:
            self.close()
