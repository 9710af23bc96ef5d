"""Subscribes to groups at a keeper and records its updates in a feed."""

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
_REQUEST_INTERVAL_S = 0.25
_RETRY_DELAY_S = 0.2
_PREFERRED_RETRY_INTERVAL_S = 5.0


@final
@dataclass(frozen=True, slots=True)
class KeeperAddress:
    """Listen address of a keeper.

    Attributes:
        name: Name of the keeper.
        host: IP address.
        port: TCP port.
    """

    name: str
    host: str
    port: int


@final
class FeedClient:
    """Keeps a feed up to date from the first keeper that can be reached.

    While another keeper serves it, the client retries the preferred one and
    returns to it.

    Args:
        hello: Description of this process, sent on each new link.
        keepers: Keepers in order of preference, the VM's own first.
        feed: The feed to update.

    Attributes:
        connected_to: Name of the connected keeper; empty when none.
        dispatcher: Handlers of messages from the keeper, by type.
        keepers: Keepers in order of preference.
        subscription: Groups to subscribe to.
    """

    __slots__ = (
        '_clock_bound',
        '_feed',
        '_hello',
        '_openers',
        '_preferred_link',
        '_updated_at',
        'connected_to',
        'dispatcher',
        'keepers',
        'subscription',
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
        self._clock_bound = ClockBound()
        self._updated_at = float('-inf')
        self._openers: list[Callable[[Link], Awaitable[None]]] = []
        self._preferred_link: Link | None = None
        self.dispatcher.handle(FeedUpdate)(self._apply_update)

    def on_open(
        self,
        opener: Callable[[Link], Awaitable[None]],
    ) -> Callable[[Link], Awaitable[None]]:
        """Call ``opener`` with each new link once it is open."""
        self._openers.append(opener)
        return opener

    def silence_s(self, now: float) -> float:
        """Return the time since the last keeper's update, in seconds."""
        return now - self._updated_at

    async def run(self) -> None:
        """Stay connected to a keeper until cancelled."""
        while True:
            connection = await self._connect()
            if connection is not None:
                await self._serve_connection(*connection)
            await anyio.sleep(_RETRY_DELAY_S * random.random())

    async def _connect(self) -> tuple[KeeperAddress, Link] | None:
        for keeper in self.keepers:
            link = await self._open_link(keeper)  # noqa: WPS476
            if link is not None:
                return keeper, link
        return None

    async def _open_link(self, keeper: KeeperAddress) -> Link | None:
        if self._preferred_link is not None:
            return self._pop_preferred_link()
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

    def _pop_preferred_link(self) -> Link | None:
        link = self._preferred_link
        self._preferred_link = None
        return link

    async def _serve_connection(
        self, keeper: KeeperAddress, link: Link
    ) -> None:
        is_preferred = keeper == self.keepers[0]
        self.connected_to = keeper.name
        logger.bind(event='keeper_linked', keeper=keeper.name).info(
            'connected to a keeper',
        )
        await serve_link(
            link,
            self._serve if is_preferred else self._serve_fallback,
        )
        logger.bind(event='keeper_lost', keeper=keeper.name).warning(
            'connection to a keeper ended',
        )
        self.connected_to = ''

    async def _serve_fallback(self, link: Link) -> None:
        """Serve another keeper's link until the preferred one is reached."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve, link)
            await self._dial_preferred()
            tasks.cancel_scope.cancel()

    async def _dial_preferred(self) -> None:
        while self._preferred_link is None:
            await anyio.sleep(
                _PREFERRED_RETRY_INTERVAL_S * (1 + random.random())
            )
            self._preferred_link = await self._open_link(self.keepers[0])

    async def _serve(self, link: Link) -> None:
        await link.send(self._hello)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_requests, link)
            for opener in self._openers:
                await opener(link)  # noqa: WPS476
            await self.dispatcher.serve(Peer(self._hello, link))

    async def _send_requests(self, link: Link) -> None:
        while True:
            await link.send(self.subscription.make_request())
            await self.subscription.wait_changed(_REQUEST_INTERVAL_S)

    async def _apply_update(self, _peer: Peer, update: FeedUpdate) -> None:
        now = anyio.current_time()
        if update.echo_stamp > now:
            raise MessageError(
                'feed update echoes a stamp that lies in the future'
            )
        self._updated_at = now
        self._clock_bound.record(
            update.source,
            update.echo_stamp,
            update.echo_received,
            now,
        )
        for received in update.observations:
            if not received.status.history.starts:
                raise MessageError('feed update holds a status without history')
            taken_at = self._clock_bound.translate(received.taken_at, now)
            self._feed.record(
                update.group,
                Observation(received.status, taken_at),
            )
