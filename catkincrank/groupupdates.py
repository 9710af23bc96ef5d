"""Lets requests wait for news of a group, and asks for it to come soon."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import anyio

from catkincrank.feed import Feed, FeedWaiter

__all__ = ('GroupUpdates', 'PrimaryView')

_EXPEDITE_INTERVAL_S = 0.4


@final
@dataclass(frozen=True, slots=True)
class PrimaryView:
    """What makes a difference to requests that need the primary.

    Attributes:
        endpoint: Name of the primary.
        term: Its term.
        is_sealed: Whether it is being replaced.
    """

    endpoint: str
    term: int
    is_sealed: bool


@final
class GroupUpdates:
    """Waits for news in a feed.

    Args:
        feed: The feed.
        expedite: Says to who fills the feed that somebody waits for a group.
    """

    __slots__ = ('_events', '_expedite', '_views', '_waiter', 'feed')

    def __init__(
        self,
        feed: Feed,
        expedite: Callable[[str], None] | None = None,
    ) -> None:
        self.feed = feed
        self._waiter = FeedWaiter(feed)
        self._expedite = expedite
        self._events: dict[str, anyio.Event] = {}
        self._views: dict[str, PrimaryView | None] = {}
        feed.listen(self._notice)

    def view_primary(self, group: str) -> PrimaryView | None:
        """Return what is known of a group's primary."""
        primary = self.feed.primary(group)
        if primary is None:
            return None
        status = primary.status
        return PrimaryView(status.endpoint, status.term, status.is_sealed)

    async def await_primary_change(
        self, group: str, view: PrimaryView | None
    ) -> None:
        """Wait until another primary is known than ``view``, or a while.

        Other news of the group wakes nobody here: many requests may wait.
        """
        known = self.view_primary(group)
        if known != view:
            return
        if self._expedite is not None:
            self._expedite(group)
        self._views[group] = known
        event = self._events.setdefault(group, anyio.Event())
        with anyio.move_on_after(_EXPEDITE_INTERVAL_S):
            await event.wait()

    async def wait(self, group: str, after_revision: int) -> None:
        """Wait until the group's revision is beyond ``after_revision``."""
        if self._expedite is None:
            await self._waiter.wait_for_change(group, after_revision)
            return
        while self.feed.revision(group) <= after_revision:
            self._expedite(group)
            with anyio.move_on_after(_EXPEDITE_INTERVAL_S):
                await self._waiter.wait_for_change(group, after_revision)

    def _notice(self, group: str) -> None:
        event = self._events.get(group)
        if event is None or self.view_primary(group) == self._views[group]:
            return
        self._events.pop(group)
        event.set()
