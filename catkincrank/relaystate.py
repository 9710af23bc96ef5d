"""What a relay knows of settings, and what it still has to find out."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from catkincrank.activesettings import ActiveSettings, team_of_key
from catkincrank.relayactions import ApplySubtree
from catkincrank.relayfetches import LoadList
from catkincrank.relaypending import Want, WantList
from catkincrank.relaywindow import EntryWindow, RowCache
from catkincrank.settingsmessages import (
    SettingsDelta,
    SettingsDigest,
    SettingsEntry,
    SettingsRequest,
    SettingsUpdate,
    TeamVersion,
)
from catkincrank.store import Row

__all__ = ('RelayState', 'Taken')


@final
@dataclass(frozen=True, slots=True)
class Taken:
    """What came of a row.

    Attributes:
        enforced: What has come into force by it.
        entry: The index entry whose search it ended, if any.
    """

    enforced: tuple[ApplySubtree, ...] = ()
    entry: SettingsEntry | None = None


@final
class RelayState:
    """Settings that a node knows.

    Attributes:
        book: Subtrees in force here.
        window: The newest index entries.
        wants: Searches for versions that were announced.
        loads: Fetches of whole subtrees.
        heard_as_of: Every entry before this time has been learnt.
    """

    __slots__ = (
        '_in_force',
        '_rows',
        '_served',
        'active_settings',
        'heard_as_of',
        'loads',
        'wants',
        'window',
    )

    def __init__(self) -> None:
        self.active_settings = ActiveSettings()
        self.window = EntryWindow()
        self.wants = WantList()
        self.loads = LoadList()
        self.heard_as_of: float | None = None
        self._rows = RowCache()
        self._served: set[str] = set()
        self._in_force: set[str] = set()

    def serves(self, team: str) -> bool:
        """Return whether this node holds the team's subtree."""
        return team in self._served

    def serve_teams(self, teams: Iterable[str], now: float) -> None:
        """Replace the teams whose subtrees this node holds."""
        wanted = set(teams)
        for dropped in self._served - wanted:
            self.active_settings.forget(dropped)
            self.loads.drop(dropped)
            self._in_force.discard(dropped)
        for added in wanted - self._served:
            self.loads.begin(added, now)
            cached = self._rows.find(added)
            if cached is not None:
                self.active_settings.apply_row(cached)
        self._served = wanted

    def serve_also(self, teams: Iterable[str], now: float) -> None:
        """Add teams whose subtrees this node holds."""
        self.serve_teams(self._served.union(teams), now)

    def list_unknown(self) -> list[str]:
        """Return the served teams whose newest version is not here."""
        awaited = {*self.wants.list_teams(), *self.loads.list_teams()}
        return sorted(awaited & self._served)

    def learn(self, entry: SettingsEntry) -> bool:
        """Take in an index entry; return whether its row is missing here."""
        if not self.window.add(entry):
            return False
        team, version = entry.team, entry.version
        if self._version(team) >= version:
            self.window.accept(team, version)
            return False
        if entry.is_accepted and team in self._served:
            self.active_settings.raise_floor(team, version)
        return True

    def want(self, want: Want) -> None:
        """Search for a row that is missing."""
        self.wants.add(want)

    def take(self, row: Row, source: str) -> Taken:
        """Take in a row from the store or a peer."""
        team = team_of_key(row.key)
        if row.version < self.active_settings.floor(team):
            return Taken()
        self._rows.put(team, row)
        self.window.accept(team, row.version)
        is_newer = team in self._served and self.active_settings.apply_row(row)
        enforced: tuple[ApplySubtree, ...] = ()
        if is_newer and team in self._in_force:
            enforced = (ApplySubtree(team, row, source),)
        want = self.wants.satisfy(team, row.version)
        if want is None:
            return Taken(enforced)
        entry = SettingsEntry(
            want.sequence,
            team,
            row.version,
            is_accepted=True,
        )
        return Taken(enforced, entry)

    def settle(
        self, now: float, *, has_peers: bool
    ) -> tuple[ApplySubtree, ...]:
        """Bring fetched subtrees into force and date what is known."""
        enforced: list[ApplySubtree] = []
        finished = self.loads.take_finished(
            self.active_settings,
            now,
            has_peers=has_peers,
        )
        for team in finished:
            row = self.active_settings.row(team)
            if row is not None and team not in self._in_force:
                enforced.append(ApplySubtree(team, row, 'start'))
            self._in_force.add(team)
        if self.heard_as_of is not None and not self.list_unknown():
            self.active_settings.confirm(self.heard_as_of)
        return tuple(enforced)

    def answer(self, request: SettingsRequest) -> tuple[SettingsUpdate, ...]:
        """Return what the sender of ``request`` lacks.

        A node that has not finished its own fetch of a team says nothing to one
        that fetches it too, lest two new processes confirm each other's stale
        answer of the store.
        """
        return tuple(
            self._make_update(known)
            for known in request.known
            if known.version or known.team not in self.loads
        )

    def make_delta(self, digest: SettingsDigest, now: float) -> SettingsDelta:
        """Return the entries that the sender of ``digest`` lacks."""
        heard = self.heard_as_of
        return SettingsDelta(
            self.window.sequence,
            self.window.oldest,
            digest.stamp,
            -1 if heard is None else max(0, now - heard),
            self.window.list_after(digest.sequence),
        )

    def skip_to(self, oldest: int, now: float) -> None:
        """Fetch all anew if entries before ``oldest`` cannot be had."""
        if oldest <= self.window.sequence + 1:
            return
        self.window.begin_at(oldest)
        for team in self._served:
            self.loads.begin(team, now)

    def hear(self, as_of: float) -> None:
        """Note that every entry before ``as_of`` has been learnt."""
        if self.heard_as_of is None or as_of > self.heard_as_of:
            self.heard_as_of = as_of

    def _version(self, team: str) -> int:
        cached = self._rows.find(team)
        version = 0 if cached is None else cached.version
        return max(version, self.active_settings.version(team))

    def _make_update(self, known: TeamVersion) -> SettingsUpdate:
        row = self.active_settings.row(known.team) or self._rows.find(
            known.team
        )
        if row is None:
            return SettingsUpdate(known.team, 0, b'', '')
        if row.version <= known.version:
            return SettingsUpdate(known.team, row.version, b'', '')
        return SettingsUpdate(known.team, row.version, row.body, row.change_id)
