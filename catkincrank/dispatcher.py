"""Dispatches messages to the handlers registered for their types."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar, final

from catkincrank.links import Link
from catkincrank.messages import Hello, Message

__all__ = ('Dispatcher', 'Peer')

_HandlerT = TypeVar('_HandlerT', bound=Callable[..., Awaitable[None]])


@final
class Peer:
    """The process at the other end of a link.

    Args:
        hello: Handshake message that it sent.
        link: The link to it.
    """

    __slots__ = ('hello', 'link')

    def __init__(self, hello: Hello, link: Link) -> None:
        self.hello = hello
        self.link = link


@final
class Dispatcher:
    """Registry of message handlers by message type."""

    __slots__ = ('_handlers',)

    def __init__(self) -> None:
        self._handlers: dict[type[Any], Callable[..., Awaitable[None]]] = {}

    def handle(
        self,
        message_type: type[Any],
    ) -> Callable[[_HandlerT], _HandlerT]:
        """Return a decorator that registers ``function(peer, message)``."""

        def decorate(function: _HandlerT) -> _HandlerT:  # noqa: WPS430
            self._handlers[message_type] = function
            return function

        return decorate

    async def dispatch(self, peer: Peer, message: Message) -> None:
        """Run the message's handler; ignore a message without a handler."""
        function = self._handlers.get(type(message))
        if function is not None:
            await function(peer, message)

    async def serve(self, peer: Peer) -> None:
        """Dispatch messages from the peer's link until it closes.

        Raises:
            LinkClosedError: The link was closed.
            MessageError: A message could not be decoded.
        """
        while True:
            await self.dispatch(peer, await peer.link.receive())
