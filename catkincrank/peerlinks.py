"""Links to other keepers, dialled when a message is due.

An idle link is closed after a few seconds, so a keeper holds few links however
many peers there are.
"""

from collections import deque
from collections.abc import Iterable
from typing import Any, final

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from catkincrank.dispatcher import Dispatcher, Peer
from catkincrank.links import Link, LinkClosedError, dial, serve_link
from catkincrank.membership import PeerAddress
from catkincrank.messages import Hello

__all__ = ('PeerLinks',)

_DIAL_TIMEOUT_S = 1.0
_IDLE_LIMIT_S = 5.0
_MAX_QUEUED_MESSAGES = 64


@final
class _MessageQueue:
    """Queue of messages to one peer."""

    __slots__ = ('changed', 'messages')

    def __init__(self) -> None:
        self.messages: deque[Any] = deque(maxlen=_MAX_QUEUED_MESSAGES)
        self.changed = anyio.Event()

    def put(self, message: Any) -> None:
        """Append a message; a full queue drops its oldest one."""
        self.messages.append(message)
        self.changed.set()

    async def get_next(self) -> Any:
        """Return the next message, or ``None`` after the idle limit."""
        with anyio.move_on_after(_IDLE_LIMIT_S):
            while not self.messages:
                self.changed = anyio.Event()
                await self.changed.wait()
        return self.messages.popleft() if self.messages else None


@final
class PeerLinks:
    """Sends messages to peers by name.

    Args:
        hello: Description of this process, sent first on each link.
        dispatcher: Handles the peers' messages.
        tasks: Task group in which the links run.
    """

    def __init__(
        self,
        hello: Hello,
        dispatcher: Dispatcher,
        tasks: TaskGroup,
    ) -> None:
        self._hello = hello
        self._dispatcher = dispatcher
        self._tasks = tasks
        self._addresses: dict[str, PeerAddress] = {}
        self._queues: dict[str, _MessageQueue] = {}

    def replace(self, addresses: Iterable[PeerAddress]) -> None:
        """Replace the addresses of the peers."""
        self._addresses = {address.name: address for address in addresses}

    def send(self, name: str, message: Any) -> None:
        """Queue ``message``; it is lost if the peer cannot be reached."""
        queue = self._queues.get(name)
        if queue is not None:
            queue.put(message)
            return
        address = self._addresses.get(name)
        if address is None:
            return
        queue = _MessageQueue()
        queue.put(message)
        self._queues[name] = queue
        self._tasks.start_soon(self._dial_and_serve, address, queue)

    async def _dial_and_serve(
        self, address: PeerAddress, queue: _MessageQueue
    ) -> None:
        try:
            link = await dial(
                address.host,
                address.port,
                _DIAL_TIMEOUT_S,
                self._hello.name,
            )
        except LinkClosedError as error:
            self._queues.pop(address.name)
            logger.bind(
                event='peer_unreachable',
                peer=address.name,
                cause=str(error),
            ).debug('peer_unreachable')
            return
        await self._serve(address, link, queue)

    async def _serve(
        self,
        address: PeerAddress,
        link: Link,
        queue: _MessageQueue,
    ) -> None:
        async def exchange(opened: Link) -> None:  # noqa: WPS430
            hello = Hello(address.name, address.zone, 'keeper', '')
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._dispatcher.serve, Peer(hello, opened))
                await self._send_all(opened, queue)
                tasks.cancel_scope.cancel()

        await serve_link(link, exchange)
        self._queues.pop(address.name, None)

    async def _send_all(self, link: Link, queue: _MessageQueue) -> None:
        await link.send(self._hello)
        message = await queue.get_next()
        while message is not None:
            await link.send(message)
            message = await queue.get_next()
