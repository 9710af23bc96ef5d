"""Subscriptions to groups that other keepers watch."""

from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.feed import Feed
from catkincrank.feedclient import FeedClient, KeeperAddress
from catkincrank.membership import PeerAddress
from catkincrank.messages import Hello

__all__ = ('Upstreams',)


@final
class Upstreams:
    """One subscription for each group that other keepers watch.

    Args:
        hello: Introduction of this process to the other keepers.
        feed: Feed that receives the updates.
        tasks: Task group that runs the subscriptions.
    """

    __slots__ = ('_clients', '_feed', '_hello', '_scopes', '_tasks')

    def __init__(self, hello: Hello, feed: Feed, tasks: TaskGroup) -> None:
        self._hello = hello
        self._feed = feed
        self._tasks = tasks
        self._clients: dict[str, FeedClient] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}

    def set_group(self, group: str, watchers: tuple[PeerAddress, ...]) -> None:
        """Subscribe to ``group`` at the first of ``watchers`` that answers."""
        keepers = tuple(
            KeeperAddress(peer.name, peer.host, peer.port) for peer in watchers
        )
        current = self._clients.get(group)
        if current is not None and set(current.keepers) == set(keepers):
            return
        self.drop_group(group)
        if not keepers:
            return
        client = FeedClient(self._hello, keepers, self._feed)
        client.subscription.add(group)
        scope = anyio.CancelScope()
        self._clients[group] = client
        self._scopes[group] = scope
        self._tasks.start_soon(_run, client, scope)

    def drop_group(self, group: str) -> None:
        """Cancel the subscription to ``group``."""
        self._clients.pop(group, None)
        scope = self._scopes.pop(group, None)
        if scope is not None:
            scope.cancel()

    def expedite(self, group: str) -> None:
        """Request prompt updates because a request waits for ``group``."""
        client = self._clients.get(group)
        if client is not None:
            client.subscription.expedite(group)


async def _run(client: FeedClient, scope: anyio.CancelScope) -> None:
    with scope:
        await client.run()
