"""Links to other keepers, dialled when there is something to say.

A link that has been idle for a moment is closed again, so that a keeper holds
few of them however many peers there are.
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
_QUEUE_LENGTH = 64


@final
class _Outbox:
    """Messages that wait for one peer."""

    __slots__ = ('changed', 'messages')

    def __init__(self) -> None:
        self.messages: deque[Any] = deque(maxlen=_QUEUE_LENGTH)
        self.changed = anyio.Event()

    def put(self, message: Any) -> None:
        """Add a message; a full queue loses its oldest one."""
        self.messages.append(message)
        self.changed.set()

    async def take(self) -> Any:
        """Return the next message, or ``None`` after an idle while."""
        with anyio.move_on_after(_IDLE_LIMIT_S):
            while not self.messages:
                self.changed = anyio.Event()
                await self.changed.wait()
        return self.messages.popleft() if self.messages else None


@final
class PeerLinks:
    """Sends messages to peers by name.

    Args:
        hello: What this process says of itself.
        dispatcher: Handles what peers answer.
        tasks: Runs the links.
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
        self._outboxes: dict[str, _Outbox] = {}

    def replace(self, addresses: Iterable[PeerAddress]) -> None:
        """Replace the peers that can be dialled."""
        self._addresses = {address.name: address for address in addresses}

    def send(self, name: str, message: Any) -> None:
        """Send ``message`` soon; a peer that cannot be reached loses it."""
        outbox = self._outboxes.get(name)
        if outbox is not None:
            outbox.put(message)
            return
        address = self._addresses.get(name)
        if address is None:
            return
        outbox = _Outbox()
        outbox.put(message)
        self._outboxes[name] = outbox
        self._tasks.start_soon(self._run, address, outbox)

    async def _run(self, address: PeerAddress, outbox: _Outbox) -> None:
        try:
            link = await dial(
                address.host,
                address.port,
                _DIAL_TIMEOUT_S,
                self._hello.name,
            )
        except LinkClosedError as error:
            self._outboxes.pop(address.name)
            logger.bind(
                event='peer_unreachable',
                peer=address.name,
                cause=str(error),
            ).debug('peer_unreachable')
            return
        await self._use(address, link, outbox)

    async def _use(
        self,
        address: PeerAddress,
        link: Link,
        outbox: _Outbox,
    ) -> None:
        async def converse(opened: Link) -> None:  # noqa: WPS430
            hello = Hello(address.name, address.zone, 'keeper', '')
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._dispatcher.serve, Peer(hello, opened))
                await self._drain(opened, outbox)
                tasks.cancel_scope.cancel()

        await serve_link(link, converse)
        self._outboxes.pop(address.name, None)

    async def _drain(self, link: Link, outbox: _Outbox) -> None:
        await link.send(self._hello)
        message = await outbox.take()
        while message is not None:
            await link.send(message)
            message = await outbox.take()
