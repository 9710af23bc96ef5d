"""Fetches of whole subtrees, after a start or a gap in the index entries.

A fetch waits for both the store and a peer unless one of them does not answer
in time: the store's answer may be stale, and a peer may have missed changes.
"""

from dataclasses import dataclass
from typing import final

from catkincrank.activesettings import ActiveSettings

__all__ = ('SubtreeFetch', 'SubtreeFetches')

_RETRY_INTERVAL_S = 0.5
_ANSWER_TIMEOUT_S = 1.0


@final
@dataclass(slots=True)
class SubtreeFetch:
    """A fetch in progress.

    Attributes:
        team: The team.
        started_at: When it started.
        due_at: Time of the next request.
        has_store_answered: Whether the store has answered.
        has_peer_answered: Whether a peer has answered.
    """

    team: str
    started_at: float
    due_at: float
    has_store_answered: bool = False
    has_peer_answered: bool = False


@final
class SubtreeFetches:
    """Fetches in progress, by team."""

    __slots__ = ('_fetches',)

    def __init__(self) -> None:
        self._fetches: dict[str, SubtreeFetch] = {}

    def __contains__(self, team: str) -> bool:
        return team in self._fetches

    def __len__(self) -> int:
        return len(self._fetches)

    def begin(self, team: str, now: float) -> None:
        """Start a fetch, or restart it."""
        self._fetches[team] = SubtreeFetch(team, now, now)

    def drop(self, team: str) -> None:
        """Cancel a fetch."""
        self._fetches.pop(team, None)

    def record_store_answer(self, team: str) -> None:
        """Record that the store has answered."""
        fetch = self._fetches.get(team)
        if fetch is not None:
            fetch.has_store_answered = True

    def record_peer_answer(self, team: str) -> None:
        """Record that a peer has answered."""
        fetch = self._fetches.get(team)
        if fetch is not None:
            fetch.has_peer_answered = True

    def schedule_due(self, now: float, limit: int) -> list[SubtreeFetch]:
        """Return at most ``limit`` due fetches; schedule their next try."""
        due = [fetch for fetch in self._fetches.values() if fetch.due_at <= now]
        for fetch in due[:limit]:
            fetch.due_at = now + _RETRY_INTERVAL_S
        return due[:limit]

    def pop_finished(
        self,
        active_settings: ActiveSettings,
        now: float,
        *,
        has_peers: bool,
    ) -> list[str]:
        """Remove the finished fetches and return their teams."""
        finished = [
            fetch.team
            for fetch in self._fetches.values()
            if _is_finished(fetch, active_settings, now, has_peers=has_peers)
        ]
        for team in finished:
            self._fetches.pop(team)
        return finished

    def list_teams(self) -> list[str]:
        """Return the teams that are being fetched."""
        return sorted(self._fetches)


def _is_finished(
    fetch: SubtreeFetch,
    active_settings: ActiveSettings,
    now: float,
    *,
    has_peers: bool,
) -> bool:
    if active_settings.is_behind(fetch.team):
        return False
    if fetch.has_store_answered and (fetch.has_peer_answered or not has_peers):
        return True
    if now - fetch.started_at < _ANSWER_TIMEOUT_S:
        return False
    return fetch.has_store_answered or active_settings.version(fetch.team) > 0
