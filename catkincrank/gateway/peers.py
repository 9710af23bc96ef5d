"""Questions between gateway processes, over links that are kept."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol, final

import anyio

from catkincrank.errors import MessageError
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.links import Link, LinkClosedError, dial, listen

__all__ = ('PeerClient', 'PeerServer', 'PeerSession')

_Answer = Callable[[Any], Awaitable[Any]]
_FAILURES = (LinkClosedError, MessageError)


class PeerSession(Protocol):
    """Answers the messages of one link, which belong together."""

    async def answer(self, message: Any) -> Any | None:
        """Return the answer to a message."""

    def close(self) -> None:
        """Give up what is held for the link."""


@final
class PeerClient:
    """Asks peers; a link that fails or stays silent is replaced."""

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
                return await self._ask_once_more(peer, message, timeout_s)
        return None

    async def ask_all(
        self,
        peers: Iterable[MemberRecord],
        message: Any,
        timeout_s: float,
    ) -> dict[str, Any]:
        """Return the answers that came in time, by name of the peer."""
        answers: dict[str, Any] = {}

        async def ask_one(peer: MemberRecord) -> None:  # noqa: WPS430
            answer = await self.ask(peer, message, timeout_s)
            if answer is not None:
                answers[peer.name] = answer

        async with anyio.create_task_group() as tasks:
            for peer in peers:
                tasks.start_soon(ask_one, peer)
        return answers

    async def _ask_once_more(
        self,
        peer: MemberRecord,
        message: Any,
        timeout_s: float,
    ) -> Any | None:
        """Ask on the kept link, and on a new one if that is gone."""
        is_kept = peer in self._links
        try:
            return await self._converse(peer, message, timeout_s)
        except _FAILURES:
            if not is_kept:
                return None
        try:
            return await self._converse(peer, message, timeout_s)
        except _FAILURES:
            return None

    async def _converse(
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
    """Answers questions of peers."""

    __slots__ = ('_answers', '_openers')

    def __init__(self) -> None:
        self._answers: dict[type[Any], _Answer] = {}
        self._openers: dict[type[Any], Callable[[], PeerSession]] = {}

    def handle(self, message_type: type[Any], answer: _Answer) -> None:
        """Let ``answer`` answer messages of a type."""
        self._answers[message_type] = answer

    def serve(
        self,
        message_type: type[Any],
        open_session: Callable[[], 'PeerSession'],
    ) -> None:
        """Let one session for each link answer messages of a type."""
        self._openers[message_type] = open_session

    async def answer(self, message: Any) -> Any | None:
        """Return the answer to a message; ``None`` if it is not understood."""
        find_answer = self._answers.get(type(message))
        return None if find_answer is None else await find_answer(message)

    async def run(self, host: str, port: int) -> None:
        """Serve until cancelled."""
        await listen(host, port, self._serve)

    async def _serve(self, link: Link) -> None:
        first = await link.receive()
        open_session = self._openers.get(type(first))
        if open_session is None:
            await self._converse(link, first, self.answer)
            return
        session = open_session()
        try:  # noqa: WPS501
            await self._converse(link, first, session.answer)
        finally:
            session.close()

    async def _converse(
        self,
        link: Link,
        message: Any,
        find_answer: _Answer,
    ) -> None:
        while True:
            answer = await find_answer(message)
            if answer is None:
                return
            await link.send(answer)
            message = await link.receive()
