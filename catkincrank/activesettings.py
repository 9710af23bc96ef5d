"""Settings in force in one process: team subtrees whose versions only rise.

The book does no I/O. Rows may come from the store, a relay or a peer, in any
order and any number of times; an older row never replaces a newer one.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

import msgspec
import xxhash

from catkincrank.errors import OptionError
from catkincrank.settings import Team, parse_team
from catkincrank.store import Row

__all__ = (
    'SETTINGS_PREFIX',
    'Refusal',
    'ActiveSettings',
    'Subtree',
    'digest_versions',
    'settings_key',
    'team_of_key',
)

SETTINGS_PREFIX = 'settings/'
_REPORT_CHARS = 200


@final
@dataclass(frozen=True, slots=True)
class Subtree:
    """A team's subtree in force.

    Attributes:
        row: The row that it came from.
        team: The checked settings.
    """

    row: Row
    team: Team


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """A newer row that is not a valid subtree and so is not in force.

    Attributes:
        version: Version of the row.
        reason: What is wrong with it.
    """

    version: int
    reason: str


def settings_key(team: str) -> str:
    """Return the key of a team's row."""
    return SETTINGS_PREFIX + team


def team_of_key(key: str) -> str:
    """Return the team whose settings a row holds; empty for other rows."""
    if not key.startswith(SETTINGS_PREFIX):
        return ''
    return key.removeprefix(SETTINGS_PREFIX)


def digest_versions(versions: dict[str, int]) -> bytes:
    """Return a digest that is equal for equal versions of equal teams."""
    body = msgspec.msgpack.encode(sorted(versions.items()))
    return xxhash.xxh64_digest(body)


@final
class ActiveSettings:
    """Holds the newest known subtree of each team."""

    __slots__ = ('_confirmed_at', '_floors', '_refusals', '_subtrees')

    def __init__(self) -> None:
        self._subtrees: dict[str, Subtree] = {}
        self._floors: dict[str, int] = {}
        self._refusals: dict[str, Refusal] = {}
        self._confirmed_at: float | None = None

    def apply_row(self, row: Row) -> bool:
        """Put ``row`` in force if it is newer; return whether it is now."""
        team = team_of_key(row.key)
        if not team or row.version <= self.version(team):
            return False
        if row.version < self.floor(team):
            return False
        try:
            settings = parse_team(row.body)
        except OptionError as error:
            reason = str(error)[:_REPORT_CHARS]
            self._refusals[team] = Refusal(row.version, reason)
            return False
        self._subtrees[team] = Subtree(row, settings)
        self._refusals.pop(team, None)
        return True

    def raise_floor(self, team: str, version: int) -> None:
        """Note that the fleet has accepted ``version``; refuse older rows."""
        self._floors[team] = max(version, self._floors.get(team, 0))

    def floor(self, team: str) -> int:
        """Return the lowest version that may be put in force."""
        return self._floors.get(team, 0)

    def lacks(self, team: str) -> bool:
        """Return whether a newer version than the one in force is known."""
        floor = self._floors.get(team, 0)
        refused = self._refusals.get(team)
        reached = self.version(team)
        if refused is not None:
            reached = max(reached, refused.version)
        return reached < floor

    def forget(self, team: str) -> None:
        """Drop the subtree of a team that this process no longer serves."""
        self._subtrees.pop(team, None)
        self._refusals.pop(team, None)

    def confirm(self, as_of: float) -> None:
        """Note that the book held every version accepted before ``as_of``."""
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def age(self, now: float) -> float:
        """Return how old the knowledge is, in seconds."""
        if self._confirmed_at is None:
            return float('inf')
        return max(0, now - self._confirmed_at)

    def team(self, name: str) -> Team | None:
        """Return a team's settings in force, or ``None``."""
        subtree = self._subtrees.get(name)
        return None if subtree is None else subtree.team

    def row(self, name: str) -> Row | None:
        """Return the row of a team's settings in force, or ``None``."""
        subtree = self._subtrees.get(name)
        return None if subtree is None else subtree.row

    def version(self, name: str) -> int:
        """Return the version in force; 0 when none is."""
        subtree = self._subtrees.get(name)
        return 0 if subtree is None else subtree.row.version

    def versions(self) -> dict[str, int]:
        """Return the version in force of each team."""
        return {name: self.version(name) for name in sorted(self._subtrees)}

    def refusals(self) -> dict[str, Refusal]:
        """Return newer rows that could not be put in force, by team."""
        return dict(self._refusals)

    def digest(self, teams: Iterable[str] | None = None) -> bytes:
        """Return the digest of the versions of ``teams``, or of all held."""
        names = self._subtrees if teams is None else teams
        return digest_versions({name: self.version(name) for name in names})
