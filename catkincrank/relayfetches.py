"""Subtrees that a relay fetches whole: after a start, or after a long gap.

Neither the store nor a peer is trusted alone while the other can be had: the
store's answer may be stale, and a peer may have missed changes.
"""

from dataclasses import dataclass
from typing import final

from catkincrank.activesettings import ActiveSettings

__all__ = ('Load', 'LoadList')

_RETRY_INTERVAL_S = 0.5
_PATIENCE_S = 1.0


@final
@dataclass(slots=True)
class Load:
    """A fetch under way.

    Attributes:
        team: The team.
        since: When it began.
        due_at: When to ask next.
        store_answered: Whether the store has answered.
        peer_answered: Whether a peer has answered.
    """

    team: str
    since: float
    due_at: float
    store_answered: bool = False
    peer_answered: bool = False


@final
class LoadList:
    """Fetches under way, by team."""

    __slots__ = ('_loads',)

    def __init__(self) -> None:
        self._loads: dict[str, Load] = {}

    def __contains__(self, team: str) -> bool:
        return team in self._loads

    def __len__(self) -> int:
        return len(self._loads)

    def begin(self, team: str, now: float) -> None:
        """Begin a fetch, or begin it anew."""
        self._loads[team] = Load(team, now, now)

    def drop(self, team: str) -> None:
        """End a fetch without a result."""
        self._loads.pop(team, None)

    def hear_store(self, team: str) -> None:
        """Note that the store has answered."""
        load = self._loads.get(team)
        if load is not None:
            load.store_answered = True

    def hear_peer(self, team: str) -> None:
        """Note that a peer has answered."""
        load = self._loads.get(team)
        if load is not None:
            load.peer_answered = True

    def take_due(self, now: float, most: int) -> list[Load]:
        """Return at most ``most`` fetches to ask for now."""
        due = [load for load in self._loads.values() if load.due_at <= now]
        for load in due[:most]:
            load.due_at = now + _RETRY_INTERVAL_S
        return due[:most]

    def take_finished(
        self,
        active_settings: ActiveSettings,
        now: float,
        *,
        has_peers: bool,
    ) -> list[str]:
        """Return the teams whose fetch has ended."""
        finished = [
            load.team
            for load in self._loads.values()
            if _is_finished(load, active_settings, now, has_peers=has_peers)
        ]
        for team in finished:
            self._loads.pop(team)
        return finished

    def list_teams(self) -> list[str]:
        """Return the teams that are being fetched."""
        return sorted(self._loads)


def _is_finished(
    load: Load,
    active_settings: ActiveSettings,
    now: float,
    *,
    has_peers: bool,
) -> bool:
    if active_settings.lacks(load.team):
        return False
    if load.store_answered and (load.peer_answered or not has_peers):
        return True
    if now - load.since < _PATIENCE_S:
        return False
    return load.store_answered or active_settings.version(load.team) > 0
