"""Subtrees that a relay knows to exist and has not got yet."""

from dataclasses import dataclass
from typing import final

__all__ = ('Want', 'WantList')

_FIRST_DELAY_S = 0.5
_LONGEST_DELAY_S = 8
_EXPIRY_S = 600


@final
@dataclass(slots=True)
class Want:
    """A version that is looked for.

    Attributes:
        team: The team.
        version: The version; any newer one will do.
        sequence: Number of the index entry that tells of it.
        hint: Peer that is likely to have it; empty for none.
        since: When the search began.
        due_at: When to ask next.
        tries: How often it was asked for.
    """

    team: str
    version: int
    sequence: int
    hint: str
    since: float
    due_at: float
    tries: int = 0


@final
class WantList:
    """Searches under way, by team."""

    __slots__ = ('_wants',)

    def __init__(self) -> None:
        self._wants: dict[str, Want] = {}

    def add(self, want: Want) -> None:
        """Search for ``want`` unless a newer version is searched for."""
        held = self._wants.get(want.team)
        if held is None or held.version < want.version:
            self._wants[want.team] = want
        elif want.hint:
            held.hint = want.hint
            held.due_at = min(held.due_at, want.due_at)

    def satisfy(self, team: str, version: int) -> Want | None:
        """End the search that ``version`` satisfies, and return it."""
        held = self._wants.get(team)
        if held is None or held.version > version:
            return None
        return self._wants.pop(team)

    def drop(self, team: str) -> None:
        """End a search without a result."""
        self._wants.pop(team, None)

    def take_due(self, now: float) -> list[Want]:
        """Return the searches to ask for now, and schedule their next try.

        A search without a result for long ends: its change was refused after
        it had been announced.
        """
        due = [want for want in self._wants.values() if want.due_at <= now]
        for want in due:
            delay = _FIRST_DELAY_S * 2**want.tries
            want.due_at = now + min(delay, _LONGEST_DELAY_S)
            want.tries += 1
            if now - want.since > _EXPIRY_S:
                self._wants.pop(want.team)
        return due

    def list_teams(self) -> list[str]:
        """Return the teams that are searched for."""
        return sorted(self._wants)
