"""Finds out the state of endpoints over connections of its own."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import final

import anyio

from catkincrank.errors import EndpointError
from catkincrank.gateway.link import (
    EndpointLink,
    EndpointState,
    LinkRefusedError,
)
from catkincrank.gateway.linkpools import LinkPools
from catkincrank.gateway.reply import Failure
from catkincrank.gateway.roster import EndpointEntry

__all__ = ('Command', 'Finding', 'Inspector', 'fetch_state')

# An endpoint answers a question about its state within a round trip of 24 ms
# and the 12 ms that a new connection takes; a slow one five times that.
_LIMIT_S = 0.4


Command = Callable[[EndpointLink], Awaitable[EndpointState | None]]


async def fetch_state(link: EndpointLink) -> EndpointState | None:
    """Ask an endpoint for its state; what each question is by default."""
    return await link.fetch_state()


@final
@dataclass(frozen=True, slots=True)
class Finding:
    """What came of a question to an endpoint.

    Attributes:
        is_alive: Whether the endpoint itself answered in any way; one that
            is too busy, or has too many connections, does.
        state: Its state, if it told.
    """

    is_alive: bool
    state: EndpointState | None = None


@final
class Inspector:
    """Keeps a connection for questions to each endpoint that was asked.

    Args:
        pools: Opens connections.
    """

    __slots__ = ('_links', '_locks', '_pools')

    def __init__(self, pools: LinkPools) -> None:
        self._pools = pools
        self._links: dict[str, EndpointLink] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def ask(
        self,
        entry: EndpointEntry,
        command: Command = fetch_state,
        limit_s: float = _LIMIT_S,
    ) -> EndpointState | None:
        """Return an endpoint's state; ``None`` when it did not tell."""
        return (await self.look(entry, command, limit_s)).state

    async def look(
        self,
        entry: EndpointEntry,
        command: Command = fetch_state,
        limit_s: float = _LIMIT_S,
    ) -> Finding:
        """Return what comes of a question to an endpoint."""
        key = _key_of(entry)
        lock = self._locks.setdefault(key, anyio.Lock())
        with anyio.move_on_after(limit_s):
            async with lock:
                return await self._try(key, entry, command)
        return Finding(is_alive=False)

    async def keep(self, entries: Iterable[EndpointEntry]) -> None:
        """Close connections to endpoints that are not among ``entries``."""
        for key in set(self._links) - set(map(_key_of, entries)):
            await self._drop(key)  # noqa: WPS476

    async def close(self) -> None:
        """Close every connection."""
        await self.keep(())

    async def _try(
        self,
        key: str,
        entry: EndpointEntry,
        command: Command,
    ) -> Finding:
        try:
            state = await self._ask_on_link(key, entry, command)
        except LinkRefusedError as refusal:
            is_full = refusal.failure is Failure.OVERLOADED
            return Finding(is_alive=is_full)
        except EndpointError:
            return Finding(is_alive=False)
        return Finding(is_alive=True, state=state)

    async def _ask_on_link(
        self,
        key: str,
        entry: EndpointEntry,
        command: Command,
    ) -> EndpointState | None:
        link = self._links.pop(key, None)
        if link is None:
            link = await self._pools.connect(entry)
        try:
            state = await command(link)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await link.close()
            raise
        self._links[key] = link
        return state

    async def _drop(self, key: str) -> None:
        link = self._links.pop(key, None)
        if link is not None:
            await link.close()


def _key_of(entry: EndpointEntry) -> str:
    return '{0}/{1}'.format(entry.endpoint_id, entry.born_ms)
