"""Subscribes to groups at a keeper and fills a feed with what it says."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import final

import anyio
from loguru import logger

from catkincrank.clockbound import ClockBound
from catkincrank.dispatcher import Dispatcher, Peer
from catkincrank.errors import MessageError
from catkincrank.feed import Feed
from catkincrank.groupsubscription import GroupSubscription
from catkincrank.instance import Observation
from catkincrank.links import Link, LinkClosedError, dial, serve_link
from catkincrank.messages import FeedUpdate, Hello

__all__ = ('FeedClient', 'KeeperAddress')

_DIAL_TIMEOUT_S = 0.5
_SILENCE_LIMIT_S = 2.0
_STAMP_INTERVAL_S = 0.25
_RETRY_DELAY_S = 0.2
_RETURN_INTERVAL_S = 5.0


@final
@dataclass(frozen=True, slots=True)
class KeeperAddress:
    """Where a keeper listens.

    Attributes:
        name: Name of the keeper.
        host: IP number.
        port: TCP port.
    """

    name: str
    host: str
    port: int


@final
class FeedClient:
    """Keeps a feed filled from the first keeper in the list that answers.

    Args:
        hello: What this process says of itself.
        keepers: Keepers in order of preference, the VM's own first.
        feed: The feed to fill.

    Attributes:
        connected_to: Name of the keeper linked to; empty when none.
        dispatcher: Handlers of messages from the keeper, by type.
        interest: The groups to subscribe to.
        keepers: Keepers in order of preference.
    """

    __slots__ = (
        '_clock',
        '_feed',
        '_heard_at',
        '_hello',
        '_openers',
        '_spare',
        'connected_to',
        'dispatcher',
        'subscription',
        'keepers',
    )

    def __init__(
        self,
        hello: Hello,
        keepers: tuple[KeeperAddress, ...],
        feed: Feed,
    ) -> None:
        self.keepers = keepers
        self.connected_to = ''
        self.dispatcher = Dispatcher()
        self.subscription = GroupSubscription()
        self._hello = hello
        self._feed = feed
        self._clock = ClockBound()
        self._heard_at = float('-inf')
        self._openers: list[Callable[[Link], Awaitable[None]]] = []
        self._spare: Link | None = None
        self.dispatcher.handle(FeedUpdate)(self._learn)

    def on_open(
        self,
        opener: Callable[[Link], Awaitable[None]],
    ) -> Callable[[Link], Awaitable[None]]:
        """Call ``opener`` with each new link, once it is open."""
        self._openers.append(opener)
        return opener

    def silence_s(self, now: float) -> float:
        """Return the time since a keeper was last heard, in seconds."""
        return now - self._heard_at

    async def run(self) -> None:
        """Stay linked to a keeper until cancelled."""
        while True:
            found = await self._find_keeper()
            if found is not None:
                await self._use(*found)
            await anyio.sleep(_RETRY_DELAY_S * random.random())

    async def _find_keeper(self) -> tuple[KeeperAddress, Link] | None:
        for keeper in self.keepers:
            link = await self._take_link(keeper)  # noqa: WPS476
            if link is not None:
                return keeper, link
        return None

    async def _take_link(self, keeper: KeeperAddress) -> Link | None:
        if self._spare is not None:
            return self._pop_spare()
        try:
            return await dial(
                keeper.host,
                keeper.port,
                _DIAL_TIMEOUT_S,
                self._hello.name,
                _SILENCE_LIMIT_S,
            )
        except LinkClosedError:
            return None

    def _pop_spare(self) -> Link | None:
        spare = self._spare
        self._spare = None
        return spare

    async def _use(self, keeper: KeeperAddress, link: Link) -> None:
        is_first = keeper == self.keepers[0]
        self.connected_to = keeper.name
        logger.bind(event='keeper_linked', keeper=keeper.name).info(
            'linked to a keeper',
        )
        await serve_link(link, self._serve_first if is_first else self._serve)
        logger.bind(event='keeper_lost', keeper=keeper.name).warning(
            'link to a keeper ended',
        )
        self.connected_to = ''

    async def _serve(self, link: Link) -> None:
        """Serve a link to a keeper that is not the preferred one."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve_first, link)
            await self._reach_first()
            tasks.cancel_scope.cancel()

    async def _reach_first(self) -> None:
        while self._spare is None:
            await anyio.sleep(_RETURN_INTERVAL_S * (1 + random.random()))
            self._spare = await self._take_link(self.keepers[0])

    async def _serve_first(self, link: Link) -> None:
        await link.send(self._hello)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_requests, link)
            for opener in self._openers:
                await opener(link)  # noqa: WPS476
            await self.dispatcher.serve(Peer(self._hello, link))

    async def _send_requests(self, link: Link) -> None:
        while True:
            await link.send(self.subscription.make_request())
            await self.subscription.wait_changed(_STAMP_INTERVAL_S)

    async def _learn(self, _peer: Peer, update: FeedUpdate) -> None:
        now = anyio.current_time()
        if update.echo_stamp > now:
            raise MessageError('echo of a stamp that was never sent')
        self._heard_at = now
        self._clock.record(
            update.source,
            update.echo_stamp,
            update.echo_received,
            now,
        )
        for seen in update.observations:
            if not seen.status.history.starts:
                raise MessageError('a status without history')
            taken_at = self._clock.translate(seen.taken_at, now)
            self._feed.record(update.group, Observation(seen.status, taken_at))
