"""Probes the state of endpoints over dedicated connections."""

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
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure
from catkincrank.gateway.roster import EndpointEntry

__all__ = ('Command', 'EndpointProber', 'ProbeResult', 'fetch_state')

# An endpoint answers a probe within a round trip of 24 ms plus 12 ms for a new
# connection; a slow endpoint takes about five times that.
_PROBE_LIMIT_S = 0.4


Command = Callable[[EndpointLink], Awaitable[EndpointState | None]]


async def fetch_state(link: EndpointLink) -> EndpointState | None:
    """Return the state of an endpoint; the default probe command."""
    return await link.fetch_state()


@final
@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a probe.

    Attributes:
        is_alive: Whether the endpoint answered at all. A refusal because of
            load or too many connections counts as an answer.
        state: State that it reported, if any.
        applied: Log position that it has applied, if it reported one. An
            endpoint that is too busy to report its state still does.
    """

    is_alive: bool
    state: EndpointState | None = None
    applied: Position | None = None


@final
class EndpointProber:
    """Keeps one connection for probes to each endpoint.

    Args:
        pools: Opens connections.
    """

    __slots__ = ('_links', '_locks', '_pools')

    def __init__(self, pools: LinkPools) -> None:
        self._pools = pools
        self._links: dict[str, EndpointLink] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def probe_state(
        self,
        entry: EndpointEntry,
        command: Command = fetch_state,
        limit_s: float = _PROBE_LIMIT_S,
    ) -> EndpointState | None:
        """Return an endpoint's state; ``None`` if it reported none in time."""
        return (await self.probe(entry, command, limit_s)).state

    async def probe(
        self,
        entry: EndpointEntry,
        command: Command = fetch_state,
        limit_s: float = _PROBE_LIMIT_S,
    ) -> ProbeResult:
        """Probe an endpoint and return the result."""
        key = _key_of(entry)
        lock = self._locks.setdefault(key, anyio.Lock())
        with anyio.move_on_after(limit_s):
            async with lock:
                return await self._probe_endpoint(key, entry, command)
        return ProbeResult(is_alive=False)

    async def retain_only(self, entries: Iterable[EndpointEntry]) -> None:
        """Close the connections to endpoints that are not in ``entries``."""
        for key in set(self._links) - set(map(_key_of, entries)):
            await self._close_link(key)  # noqa: WPS476

    async def close(self) -> None:
        """Close every connection."""
        await self.retain_only(())

    async def _probe_endpoint(
        self,
        key: str,
        entry: EndpointEntry,
        command: Command,
    ) -> ProbeResult:
        try:
            return await self._ask_on_link(key, entry, command)
        except LinkRefusedError as refusal:
            is_full = refusal.failure is Failure.OVERLOADED
            return ProbeResult(is_alive=is_full)
        except EndpointError:
            return ProbeResult(is_alive=False)

    async def _ask_on_link(
        self,
        key: str,
        entry: EndpointEntry,
        command: Command,
    ) -> ProbeResult:
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
        return ProbeResult(is_alive=True, state=state, applied=link.position)

    async def _close_link(self, key: str) -> None:
        link = self._links.pop(key, None)
        if link is not None:
            await link.close()


def _key_of(entry: EndpointEntry) -> str:
    return '{0}/{1}'.format(entry.endpoint_id, entry.born_ms)
