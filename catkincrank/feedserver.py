"""Publishes a keeper's observations of its groups to subscribers."""

import contextlib
from collections.abc import Callable, Container, Iterator
from typing import final

import anyio

from catkincrank.dispatcher import Dispatcher, Peer
from catkincrank.errors import MessageError
from catkincrank.feed import Feed
from catkincrank.instance import Observation
from catkincrank.links import Link
from catkincrank.messages import FeedRequest, FeedUpdate, Hello

__all__ = ('FeedServer', 'Subscription')

_KEEPER = 'keeper'
_UPDATE_INTERVAL_S = 0.25
_HEARTBEAT_INTERVAL_S = 0.5
_URGENT_UPDATE_INTERVAL_S = 0.004


@final
class Subscription:
    """Sends one subscriber new observations of its groups.

    Args:
        peer: The subscriber.
        feed: Source of the observations.
        source: Incarnation of this process.
    """

    __slots__ = (
        '_changed',
        '_echo',
        '_feed',
        '_pending',
        '_peer',
        '_request',
        '_sent',
        '_sent_at',
        '_source',
    )

    def __init__(self, peer: Peer, feed: Feed, source: str) -> None:
        self._peer = peer
        self._feed = feed
        self._source = source
        self._request = FeedRequest()
        self._echo: tuple[float, float] = (0, 0)
        self._pending: set[str] = set()
        self._sent: dict[str, dict[str, Observation]] = {}
        self._sent_at: dict[str, float] = {}
        self._changed = anyio.Event()

    def replace(self, request: FeedRequest) -> None:
        """Replace the subscriber's request."""
        added = set(request.groups) - set(self._request.groups)
        for group in added:
            self._sent.pop(group, None)
        self._request = request
        self._echo = (request.stamp, anyio.current_time())
        self._pending.update(added)
        self._pending.intersection_update(request.groups)
        self._changed.set()

    def schedule(self, group: str) -> None:
        """Schedule an update if the subscriber asked for ``group``."""
        if group in self._request.groups:
            self._pending.add(group)
            self._changed.set()

    async def run(self) -> None:
        """Send updates until the link ends.

        Raises:
            LinkClosedError: The link has ended.
        """
        while True:
            self._changed = anyio.Event()
            for group in self._list_due():
                await self._send(group)  # noqa: WPS476
            with anyio.move_on_after(self._find_delay()):
                await self._changed.wait()

    def _list_due(self) -> list[str]:
        now = anyio.current_time()
        return [
            group
            for group in sorted(self._pending)
            if self._due_at(group) <= now
        ]

    def _due_at(self, group: str) -> float:
        sent_at = self._sent_at.get(group, float('-inf'))
        if group in self._request.urgent:
            return sent_at + _URGENT_UPDATE_INTERVAL_S
        return sent_at + _UPDATE_INTERVAL_S

    def _find_delay(self) -> float:
        due = min(
            (self._due_at(group) for group in self._pending),
            default=float('inf'),
        )
        return max(0, due - anyio.current_time())

    async def _send(self, group: str) -> None:
        self._pending.discard(group)
        self._sent_at[group] = anyio.current_time()
        stamp, received_at = self._echo
        observations = self._take_unsent(group)
        await self._peer.link.send(
            FeedUpdate(
                group,
                self._source,
                stamp,
                received_at,
                observations,
            ),
        )

    def _take_unsent(self, group: str) -> tuple[Observation, ...]:
        """Return the observations not sent yet, and mark them as sent."""
        sent = self._sent.setdefault(group, {})
        unsent = {
            endpoint: newest
            for endpoint, newest in self._feed.observations(group).items()
            if sent.get(endpoint) is not newest
        }
        sent.update(unsent)
        return tuple(unsent.values())


@final
class FeedServer:
    """Serves the processes that connect to a keeper.

    Args:
        feed: Source of the observations.
        source: Incarnation of this process.
        dispatcher: Handles the processes' messages.
        watched: Groups that this keeper watches itself; other keepers are
            sent only these, so that observations never circulate.
        expedite: Called with each group that a subscriber waits for.
    """

    def __init__(
        self,
        feed: Feed,
        source: str,
        dispatcher: Dispatcher,
        watched: Container[str],
        expedite: Callable[[str], None],
    ) -> None:
        self._feed = feed
        self._source = source
        self._dispatcher = dispatcher
        self._watched = watched
        self._expedite = expedite
        self._subscriptions: dict[Link, Subscription] = {}
        dispatcher.handle(FeedRequest)(self._subscribe)
        feed.listen(self._publish)

    async def handle_link(self, link: Link) -> None:
        """Serve a process that has connected to this keeper."""
        hello = await link.receive()
        if not isinstance(hello, Hello):
            raise MessageError('first message on a link is not a hello')
        peer = Peer(hello, link)
        subscription = Subscription(peer, self._feed, self._source)
        with self._registered(link, subscription):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(subscription.run)
                await self._dispatcher.serve(peer)

    @contextlib.contextmanager
    def _registered(
        self,
        link: Link,
        subscription: Subscription,
    ) -> Iterator[None]:
        with contextlib.ExitStack() as stack:
            stack.callback(self._subscriptions.pop, link)
            self._subscriptions[link] = subscription
            yield

    async def _subscribe(self, peer: Peer, request: FeedRequest) -> None:
        subscription = self._subscriptions.get(peer.link)
        if subscription is None:
            return
        peer.link.heartbeat_interval_s = _HEARTBEAT_INTERVAL_S
        groups = request.groups
        if peer.hello.role == _KEEPER:
            groups = tuple(name for name in groups if name in self._watched)
        subscription.replace(
            FeedRequest(groups, request.stamp, request.urgent),
        )
        for group in request.urgent:
            self._expedite(group)

    def _publish(self, group: str) -> None:
        for subscription in self._subscriptions.values():
            subscription.schedule(group)
