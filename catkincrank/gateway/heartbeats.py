"""Heartbeats of the members of the fleet."""

from typing import final

import anyio

__all__ = ('Heartbeats',)


@final
class Heartbeats:
    """When each member was last heard from, directly or through others."""

    __slots__ = ('_heard_at',)

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}

    def record(self, name: str) -> None:
        """Record a heartbeat of a member."""
        self._heard_at[name] = anyio.current_time()

    def list_since(self, since: float) -> tuple[str, ...]:
        """Return the names of the members heard from since a time."""
        return tuple(name for name, at in self._heard_at.items() if at >= since)
