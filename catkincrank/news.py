"""Lets requests wait for news of a group, and asks for it to come soon."""

from collections.abc import Callable
from typing import final

import anyio

from catkincrank.feed import Feed, FeedWaiter

__all__ = ('News',)

_HURRY_INTERVAL_S = 0.4


@final
class News:
    """Waits for news in a feed.

    Args:
        feed: The feed.
        hurry: Says to who fills the feed that somebody waits for a group.
    """

    __slots__ = ('_hurry', '_waiter', 'feed')

    def __init__(
        self,
        feed: Feed,
        hurry: Callable[[str], None] | None = None,
    ) -> None:
        self.feed = feed
        self._waiter = FeedWaiter(feed)
        self._hurry = hurry

    async def wait(self, group: str, after_revision: int) -> None:
        """Wait until the group's revision is beyond ``after_revision``."""
        if self._hurry is None:
            await self._waiter.changed(group, after_revision)
            return
        while self.feed.revision(group) <= after_revision:
            self._hurry(group)
            with anyio.move_on_after(_HURRY_INTERVAL_S):
                await self._waiter.changed(group, after_revision)
