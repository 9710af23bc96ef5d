"""Questions between gateway processes, one connection for each."""

from collections.abc import Awaitable, Callable
from typing import Any, final

import anyio

from catkincrank.errors import MessageError
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.links import Link, LinkClosedError, dial, listen

__all__ = ('PeerServer', 'ask_peer')

_Answer = Callable[[Any], Awaitable[Any]]


async def ask_peer(
    peer: MemberRecord,
    message: Any,
    timeout_s: float,
) -> Any | None:
    """Return a peer's answer; ``None`` when none came in time."""
    with anyio.move_on_after(timeout_s):
        try:
            return await _converse(peer, message, timeout_s)
        except (LinkClosedError, MessageError):
            return None
    return None


@final
class PeerServer:
    """Answers questions of peers."""

    __slots__ = ('_answers',)

    def __init__(self) -> None:
        self._answers: dict[type[Any], _Answer] = {}

    def handle(self, message_type: type[Any], answer: _Answer) -> None:
        """Let ``answer`` answer messages of a type."""
        self._answers[message_type] = answer

    async def run(self, host: str, port: int) -> None:
        """Serve until cancelled."""
        await listen(host, port, self._serve)

    async def _serve(self, link: Link) -> None:
        while True:
            message = await link.receive()
            answer = self._answers.get(type(message))
            if answer is None:
                return
            await link.send(await answer(message))


async def _converse(peer: MemberRecord, message: Any, timeout_s: float) -> Any:
    link = await dial(peer.host, peer.port, timeout_s)
    try:  # noqa: WPS501
        await link.send(message)
        return await link.receive()
    finally:
        await link.close()
