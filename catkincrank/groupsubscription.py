"""What a subscriber wants to hear of, and how urgently."""

from typing import final

import anyio

from catkincrank.messages import FeedRequest

__all__ = ('GroupSubscription',)

_URGENCY_S = 0.5


@final
class GroupSubscription:
    """Groups that a process subscribes to."""

    __slots__ = ('_changed', '_groups', '_urgent_until')

    def __init__(self) -> None:
        self._groups: set[str] = set()
        self._urgent_until: dict[str, float] = {}
        self._changed = anyio.Event()

    def add(self, group: str) -> None:
        """Want ``group`` from now on."""
        if group not in self._groups:
            self._groups.add(group)
            self._changed.set()

    def remove(self, group: str) -> None:
        """No longer want ``group``."""
        self._groups.discard(group)
        self._urgent_until.pop(group, None)

    def expedite(self, group: str) -> None:
        """Say that somebody waits for news of ``group``."""
        now = anyio.current_time()
        if self._urgent_until.get(group, float('-inf')) < now:
            self._changed.set()
        self._urgent_until[group] = now + _URGENCY_S

    def make_request(self) -> FeedRequest:
        """Return the request to send now."""
        now = anyio.current_time()
        self._changed = anyio.Event()
        urgent = sorted(
            group for group, until in self._urgent_until.items() if until > now
        )
        return FeedRequest(tuple(sorted(self._groups)), now, tuple(urgent))

    async def wait_changed(self, timeout_s: float) -> None:
        """Wait until a new request is called for, at most ``timeout_s``."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()
