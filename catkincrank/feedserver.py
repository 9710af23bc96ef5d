"""Publishes what a keeper knows of its groups to subscribers."""

from typing import final

import anyio

from catkincrank.dispatcher import Peer
from catkincrank.feed import Feed
from catkincrank.messages import FeedRequest, FeedUpdate

__all__ = ('Subscription',)

_REST_INTERVAL_S = 0.25


@final
class Subscription:
    """Sends one subscriber the news of the groups that it asked for.

    Args:
        peer: The subscriber.
        feed: Where the news comes from.
        source: Incarnation of this process.
    """

    __slots__ = (
        '_changed',
        '_echo',
        '_feed',
        '_pending',
        '_peer',
        '_request',
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
        self._sent_at: dict[str, float] = {}
        self._changed = anyio.Event()

    def replace(self, request: FeedRequest) -> None:
        """Take in what the subscriber wants from now on."""
        added = set(request.groups) - set(self._request.groups)
        self._request = request
        self._echo = (request.stamp, anyio.current_time())
        self._pending.update(added)
        self._pending.intersection_update(request.groups)
        self._changed.set()

    def notice(self, group: str) -> None:
        """Take in that ``group`` was learnt of."""
        if group in self._request.groups:
            self._pending.add(group)
            self._changed.set()

    async def run(self) -> None:
        """Send updates until the link ends.

        Raises:
            LinkClosedError: The link is gone.
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
            if self._find_due_time(group) <= now
        ]

    def _find_due_time(self, group: str) -> float:
        if group in self._request.urgent:
            return float('-inf')
        return self._sent_at.get(group, float('-inf')) + _REST_INTERVAL_S

    def _find_delay(self) -> float:
        due = min(
            (self._find_due_time(group) for group in self._pending),
            default=float('inf'),
        )
        return max(0, due - anyio.current_time())

    async def _send(self, group: str) -> None:
        self._pending.discard(group)
        self._sent_at[group] = anyio.current_time()
        stamp, received_at = self._echo
        observations = tuple(self._feed.observations(group).values())
        await self._peer.link.send(
            FeedUpdate(
                group,
                self._source,
                stamp,
                received_at,
                observations,
            ),
        )
