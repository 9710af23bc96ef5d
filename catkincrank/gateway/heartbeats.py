"""Heartbeats of the members of the fleet."""

from typing import final

import anyio

__all__ = ('Heartbeats',)


@final
class Heartbeats:
    """When each member was last heard from, directly or through a relay."""

    __slots__ = ('_direct', '_relayed')

    def __init__(self) -> None:
        self._direct: dict[str, float] = {}
        self._relayed: dict[str, float] = {}

    def record(self, name: str) -> None:
        """Record a heartbeat that a member sent to this process."""
        self._direct[name] = anyio.current_time()

    def record_relayed(self, name: str) -> None:
        """Record a heartbeat that another process passed on.

        It is not passed on again, so that a member which has ended is not kept
        alive by processes that report it to each other.
        """
        self._relayed[name] = anyio.current_time()

    def list_direct(self, since: float) -> tuple[str, ...]:
        """Return the members that sent a heartbeat here since a time."""
        return tuple(name for name, at in self._direct.items() if at >= since)

    def list_since(self, since: float) -> set[str]:
        """Return the members heard from since a time in either way."""
        relayed = {name for name, at in self._relayed.items() if at >= since}
        return relayed.union(self.list_direct(since))
