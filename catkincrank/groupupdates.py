"""Lets requests wait for updates of a group, and expedites them."""

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
    """State of a primary that matters to requests that need it.

    Attributes:
        endpoint: Name of the primary.
        term: Its term.
        is_sealed: Whether it is sealed, that is, being replaced.
    """

    endpoint: str
    term: int
    is_sealed: bool


@final
class GroupUpdates:
    """Waits for updates in a feed.

    Args:
        feed: The feed.
        expedite: Asks the source of the feed for fast updates of a group.
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
        feed.listen(self._wake_if_changed)

    def view_primary(self, group: str) -> PrimaryView | None:
        """Return the primary of a group as the feed has it, or ``None``."""
        primary = self.feed.primary(group)
        if primary is None:
            return None
        status = primary.status
        return PrimaryView(status.endpoint, status.term, status.is_sealed)

    async def await_primary_change(
        self, group: str, view: PrimaryView | None
    ) -> None:
        """Wait for a primary that differs from ``view``, at most 0.4 s.

        Other updates of the group do not wake requests here, as many may wait.
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

    def _wake_if_changed(self, group: str) -> None:
        event = self._events.get(group)
        if event is None or self.view_primary(group) == self._views[group]:
            return
        self._events.pop(group)
        event.set()
