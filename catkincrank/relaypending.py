"""Versions of subtrees that were announced and have not arrived yet."""

from dataclasses import dataclass
from typing import final

__all__ = ('PendingVersion', 'PendingVersions')

_FIRST_DELAY_S = 0.5
_MAX_DELAY_S = 8
_EXPIRY_S = 600


@final
@dataclass(slots=True)
class PendingVersion:
    """A version that is being requested.

    Attributes:
        team: The team.
        version: The version; a newer one satisfies the request too.
        sequence: Number of the index entry that announces it.
        hint: Peer that is likely to have it; empty for none.
        started_at: When the requests started.
        due_at: Time of the next request.
        tries: Number of requests so far.
    """

    team: str
    version: int
    sequence: int
    hint: str
    started_at: float
    due_at: float
    tries: int = 0


@final
class PendingVersions:
    """The pending versions, by team."""

    __slots__ = ('_pending',)

    def __init__(self) -> None:
        self._pending: dict[str, PendingVersion] = {}

    def add(self, pending: PendingVersion) -> None:
        """Add ``pending`` unless the same or a newer version is pending.

        A new hint replaces the one held and can bring the next try forward.
        """
        held = self._pending.get(pending.team)
        if held is None or held.version < pending.version:
            self._pending[pending.team] = pending
        elif pending.hint:
            held.hint = pending.hint
            held.due_at = min(held.due_at, pending.due_at)

    def pop_satisfied(self, team: str, version: int) -> PendingVersion | None:
        """Remove and return the entry that ``version`` satisfies, if any."""
        held = self._pending.get(team)
        if held is None or held.version > version:
            return None
        return self._pending.pop(team)

    def drop(self, team: str) -> None:
        """Remove a team's entry."""
        self._pending.pop(team, None)

    def schedule_due(self, now: float) -> list[PendingVersion]:
        """Return the entries to request now, and schedule their next try.

        An entry expires when no try has succeeded for ten minutes: its change
        was refused after it had been announced.
        """
        due = [
            pending
            for pending in self._pending.values()
            if pending.due_at <= now
        ]
        for pending in due:
            delay = _FIRST_DELAY_S * 2**pending.tries
            pending.due_at = now + min(delay, _MAX_DELAY_S)
            pending.tries += 1
            if now - pending.started_at > _EXPIRY_S:
                self._pending.pop(pending.team)
        return due

    def list_teams(self) -> list[str]:
        """Return the teams that have a pending version."""
        return sorted(self._pending)
