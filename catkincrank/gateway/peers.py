"""Requests between gateway processes over persistent links."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol, final

import anyio

from catkincrank.errors import MessageError
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.links import Link, LinkClosedError, dial, listen

__all__ = ('PeerClient', 'PeerServer', 'PeerSession')

_AnswerMessage = Callable[[Any], Awaitable[Any]]
_FAILURES = (LinkClosedError, MessageError)
# Requests to many peers that are under way at once. With more, the answers of a
# large fleet would wait for this process until their time limit had passed.
_MAX_CONCURRENT = 32


class PeerSession(Protocol):
    """State of one link; answers its messages."""

    async def answer(self, message: Any) -> Any | None:
        """Return the answer to a message; ``None`` closes the link."""

    def close(self) -> None:
        """Release the resources held for the link."""


@final
class PeerClient:
    """Sends requests to peers; replaces links that fail or time out."""

    __slots__ = ('_links', '_locks')

    def __init__(self) -> None:
        self._links: dict[MemberRecord, Link] = {}
        self._locks: dict[MemberRecord, anyio.Lock] = {}

    async def ask(
        self,
        peer: MemberRecord,
        message: Any,
        timeout_s: float,
    ) -> Any | None:
        """Return a peer's answer; ``None`` when none came in time."""
        lock = self._locks.setdefault(peer, anyio.Lock())
        with anyio.move_on_after(timeout_s):
            async with lock:
                return await self._ask_with_retry(peer, message, timeout_s)
        return None

    async def ask_all(
        self,
        peers: Iterable[MemberRecord],
        message: Any,
        timeout_s: float,
    ) -> dict[str, Any]:
        """Return the answers that came in time, by peer name."""
        answers: dict[str, Any] = {}
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT)

        async def ask_one(peer: MemberRecord) -> None:  # noqa: WPS430
            async with limiter:
                answer = await self.ask(peer, message, timeout_s)
            if answer is not None:
                answers[peer.name] = answer

        async with anyio.create_task_group() as tasks:
            for peer in peers:
                tasks.start_soon(ask_one, peer)
        return answers

    async def _ask_with_retry(
        self,
        peer: MemberRecord,
        message: Any,
        timeout_s: float,
    ) -> Any | None:
        """Ask on the open link; retry on a new one if that has failed."""
        is_reused = peer in self._links
        try:
            return await self._exchange(peer, message, timeout_s)
        except _FAILURES:
            if not is_reused:
                return None
        try:
            return await self._exchange(peer, message, timeout_s)
        except _FAILURES:
            return None

    async def _exchange(
        self,
        peer: MemberRecord,
        message: Any,
        timeout_s: float,
    ) -> Any:
        link = self._links.pop(peer, None)
        if link is None:
            link = await dial(peer.host, peer.port, timeout_s)
        try:
            await link.send(message)
            answer = await link.receive()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await link.close()
            raise
        self._links[peer] = link
        return answer


@final
class PeerServer:
    """Answers requests of peers."""

    __slots__ = ('_handlers', '_session_factories')

    def __init__(self) -> None:
        self._handlers: dict[type[Any], _AnswerMessage] = {}
        self._session_factories: dict[type[Any], Callable[[], PeerSession]] = {}

    def handle(self, message_type: type[Any], answer: _AnswerMessage) -> None:
        """Register the function that answers messages of a type."""
        self._handlers[message_type] = answer

    def serve(
        self,
        message_type: type[Any],
        open_session: Callable[[], 'PeerSession'],
    ) -> None:
        """Register a session type for links that begin with a message type."""
        self._session_factories[message_type] = open_session

    async def answer(self, message: Any) -> Any | None:
        """Return the answer to a message; ``None`` if its type is unknown."""
        answer_message = self._handlers.get(type(message))
        return None if answer_message is None else await answer_message(message)

    async def run(self, host: str, port: int, most: int = 0) -> None:
        """Serve at most ``most`` links until cancelled; 0 for no limit."""
        # Peers answer or time out within seconds, so that silence needs no
        # heartbeats; a large fleet has hundreds of links to some processes.
        await listen(host, port, self._serve, sends_heartbeats=False, most=most)

    async def _serve(self, link: Link) -> None:
        first = await link.receive()
        open_session = self._session_factories.get(type(first))
        if open_session is None:
            await self._answer_messages(link, first, self.answer)
            return
        session = open_session()
        try:  # noqa: WPS501
            await self._answer_messages(link, first, session.answer)
        finally:
            session.close()

    async def _answer_messages(
        self,
        link: Link,
        message: Any,
        answer_message: _AnswerMessage,
    ) -> None:
        while True:
            answer = await answer_message(message)
            if answer is None:
                return
            await link.send(answer)
            message = await link.receive()
