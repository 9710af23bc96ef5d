"""Settings in force in one process: team subtrees whose versions only rise.

Does no I/O. Rows may arrive from the store, a relay or a peer, in any order
and any number of times; an older row never replaces a newer one.
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
        row: The row that holds it.
        team: The checked settings.
    """

    row: Row
    team: Team


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """A newer row that was refused as it is not a valid subtree.

    Attributes:
        version: Version of the row.
        reason: The validation error.
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
    """Holds the newest valid subtree of each team."""

    __slots__ = ('_confirmed_at', '_min_versions', '_refusals', '_subtrees')

    def __init__(self) -> None:
        self._subtrees: dict[str, Subtree] = {}
        self._min_versions: dict[str, int] = {}
        self._refusals: dict[str, Refusal] = {}
        self._confirmed_at: float | None = None

    def apply_row(self, row: Row) -> bool:
        """Put ``row`` in force if it is newer and valid; return whether so."""
        team = team_of_key(row.key)
        if not team or row.version <= self.version(team):
            return False
        if row.version < self.min_version(team):
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

    def raise_min_version(self, team: str, version: int) -> None:
        """Refuse rows older than ``version``, which the store accepted."""
        self._min_versions[team] = max(version, self._min_versions.get(team, 0))

    def min_version(self, team: str) -> int:
        """Return the lowest version that may be put in force."""
        return self._min_versions.get(team, 0)

    def is_behind(self, team: str) -> bool:
        """Return whether an accepted version is still to arrive.

        A refused row counts as arrived.
        """
        min_version = self._min_versions.get(team, 0)
        refused = self._refusals.get(team)
        reached = self.version(team)
        if refused is not None:
            reached = max(reached, refused.version)
        return reached < min_version

    def remove(self, team: str) -> None:
        """Remove the subtree of a team that this process no longer serves."""
        self._subtrees.pop(team, None)
        self._refusals.pop(team, None)

    def confirm(self, as_of: float) -> None:
        """Record that every version accepted before ``as_of`` is held."""
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def age(self, now: float) -> float:
        """Return the seconds since the settings were last up to date."""
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
        """Return the refusals of newer rows, by team."""
        return dict(self._refusals)

    def digest(self, teams: Iterable[str] | None = None) -> bytes:
        """Return the digest of the versions of ``teams``; of all by default."""
        names = self._subtrees if teams is None else teams
        return digest_versions({name: self.version(name) for name in names})
