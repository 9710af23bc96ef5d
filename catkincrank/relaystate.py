"""State of a relay: settings received, and requests still pending."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from catkincrank.activesettings import ActiveSettings, team_of_key
from catkincrank.relayactions import ApplySubtree
from catkincrank.relayfetches import SubtreeFetches
from catkincrank.relaypending import PendingVersion, PendingVersions
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

__all__ = ('RelayState', 'RowResult')


@final
@dataclass(frozen=True, slots=True)
class RowResult:
    """Result of accepting a row.

    Attributes:
        applied: Actions that apply the row.
        entry: The index entry whose pending version the row provides, if any.
    """

    applied: tuple[ApplySubtree, ...] = ()
    entry: SettingsEntry | None = None


@final
class RelayState:
    """Settings that a node has received.

    Attributes:
        active_settings: Subtrees in force in this process.
        window: The newest index entries.
        pending_versions: Versions announced but not received yet.
        fetches: Fetches of whole subtrees.
        complete_as_of: Every entry before this time has been received.
    """

    __slots__ = (
        '_in_force',
        '_rows',
        '_served',
        'active_settings',
        'complete_as_of',
        'fetches',
        'pending_versions',
        'window',
    )

    def __init__(self) -> None:
        self.active_settings = ActiveSettings()
        self.window = EntryWindow()
        self.pending_versions = PendingVersions()
        self.fetches = SubtreeFetches()
        self.complete_as_of: float | None = None
        self._rows = RowCache()
        self._served: set[str] = set()
        self._in_force: set[str] = set()

    def serves(self, team: str) -> bool:
        """Return whether this node serves ``team``."""
        return team in self._served

    def serve_teams(self, teams: Iterable[str], now: float) -> None:
        """Replace the teams whose subtrees this node holds."""
        wanted = set(teams)
        for dropped in self._served - wanted:
            self.active_settings.remove(dropped)
            self.fetches.drop(dropped)
            self._in_force.discard(dropped)
        for added in wanted - self._served:
            self.fetches.begin(added, now)
            cached = self._rows.find(added)
            if cached is not None:
                self.active_settings.apply_row(cached)
        self._served = wanted

    def add_served_teams(self, teams: Iterable[str], now: float) -> None:
        """Add to the teams whose subtrees this node holds."""
        self.serve_teams(self._served.union(teams), now)

    def list_unknown(self) -> list[str]:
        """Return the served teams whose newest version has not arrived."""
        awaited = {
            *self.pending_versions.list_teams(),
            *self.fetches.list_teams(),
        }
        return sorted(awaited & self._served)

    def record_entry(self, entry: SettingsEntry) -> bool:
        """Record an index entry; return whether its row is still missing."""
        if not self.window.add(entry):
            return False
        team, version = entry.team, entry.version
        if self._newest_version(team) >= version:
            self.window.mark_accepted(team, version)
            return False
        if entry.is_accepted and team in self._served:
            self.active_settings.raise_min_version(team, version)
        return True

    def await_version(self, pending: PendingVersion) -> None:
        """Request a missing row until it arrives."""
        self.pending_versions.add(pending)

    def accept_row(self, row: Row, source: str) -> RowResult:
        """Store a row received from the store or a peer."""
        team = team_of_key(row.key)
        if row.version < self.active_settings.min_version(team):
            return RowResult()
        self._rows.put(team, row)
        self.window.mark_accepted(team, row.version)
        is_newer = team in self._served and self.active_settings.apply_row(row)
        applied: tuple[ApplySubtree, ...] = ()
        if is_newer and team in self._in_force:
            applied = (ApplySubtree(team, row, source),)
        pending = self.pending_versions.pop_satisfied(team, row.version)
        if pending is None:
            return RowResult(applied)
        entry = SettingsEntry(
            pending.sequence,
            team,
            row.version,
            is_accepted=True,
        )
        return RowResult(applied, entry)

    def finish_fetches(
        self, now: float, *, has_peers: bool
    ) -> tuple[ApplySubtree, ...]:
        """Apply subtrees whose fetch has ended and update the settings' age."""
        applied: list[ApplySubtree] = []
        finished = self.fetches.pop_finished(
            self.active_settings,
            now,
            has_peers=has_peers,
        )
        for team in finished:
            row = self.active_settings.row(team)
            if row is not None and team not in self._in_force:
                applied.append(ApplySubtree(team, row, 'start'))
            self._in_force.add(team)
        if self.complete_as_of is not None and not self.list_unknown():
            self.active_settings.confirm(self.complete_as_of)
        return tuple(applied)

    def answer(self, request: SettingsRequest) -> tuple[SettingsUpdate, ...]:
        """Return updates that answer ``request``.

        While this node still fetches a team, it does not answer a peer that
        fetches it too: two new processes could otherwise confirm each other's
        stale answer from the store.
        """
        return tuple(
            self._make_update(known)
            for known in request.known
            if known.version or known.team not in self.fetches
        )

    def make_delta(self, digest: SettingsDigest, now: float) -> SettingsDelta:
        """Return the entries that the sender of ``digest`` is missing."""
        as_of = self.complete_as_of
        return SettingsDelta(
            self.window.sequence,
            self.window.oldest,
            digest.stamp,
            -1 if as_of is None else max(0, now - as_of),
            self.window.list_after(digest.sequence),
        )

    def refetch_after_gap(self, oldest: int, now: float) -> None:
        """Fetch all subtrees again if entries before ``oldest`` were missed."""
        if oldest <= self.window.sequence + 1:
            return
        self.window.drop_before(oldest)
        for team in self._served:
            self.fetches.begin(team, now)

    def mark_complete(self, as_of: float) -> None:
        """Record that every entry before ``as_of`` has been received."""
        if self.complete_as_of is None or as_of > self.complete_as_of:
            self.complete_as_of = as_of

    def _newest_version(self, team: str) -> int:
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
