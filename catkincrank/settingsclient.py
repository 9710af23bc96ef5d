"""Keeps the settings of a proxy up to date through its keeper."""

from collections.abc import Callable
from typing import final

import anyio

from catkincrank.activesettings import ActiveSettings, settings_key
from catkincrank.dispatcher import Peer
from catkincrank.feedclient import FeedClient
from catkincrank.links import Link, LinkClosedError
from catkincrank.logs import log_event
from catkincrank.settings import Team
from catkincrank.settingsmessages import (
    SettingsDelta,
    SettingsDigest,
    SettingsRequest,
    SettingsUpdate,
    TeamVersion,
)
from catkincrank.settingsreport import SettingsReport, make_report
from catkincrank.store import Row

__all__ = ('SettingsClient',)

_REQUEST_INTERVAL_S = 2
_FETCH_TIMEOUT_S = 1.5
_MAX_TEAMS = 4096


@final
class SettingsClient:
    """Requests the subtrees of teams whose callers have connected.

    Args:
        client: Link to a keeper.
        apply: Applies a team's subtree.

    Attributes:
        active_settings: The subtrees that are in force.
    """

    __slots__ = ('_apply', '_changed', '_link', '_teams', 'active_settings')

    def __init__(
        self,
        client: FeedClient,
        apply: Callable[[str, Team | None], None],
    ) -> None:
        self.active_settings = ActiveSettings()
        self._apply = apply
        self._link: Link | None = None
        self._teams: set[str] = set()
        self._changed = anyio.Event()
        client.on_open(self._open)
        client.dispatcher.handle(SettingsUpdate)(self._apply_update)
        client.dispatcher.handle(SettingsDelta)(self._confirm)

    def add_team(self, team: str) -> bool:
        """Request a team's subtree from now on, unless the limit is reached.

        Returns:
            Whether the subtree is requested.
        """
        if len(self._teams) >= _MAX_TEAMS:
            return False
        self._teams.add(team)
        return True

    def report(self) -> SettingsReport:
        """Return the versions in force and the age of the settings."""
        unknown = sorted(
            team
            for team in self._teams
            if self.active_settings.team(team) is None
        )
        return make_report(self.active_settings, anyio.current_time(), unknown)

    async def run(self) -> None:
        """Request newer versions periodically until cancelled."""
        while True:
            await self._request()
            await anyio.sleep(_REQUEST_INTERVAL_S)

    async def fetch(self, team: str) -> bool:
        """Request an unknown team's subtree; return whether it has arrived."""
        if not self.add_team(team):
            return False
        with anyio.move_on_after(_FETCH_TIMEOUT_S):
            await self._request()
            while self.active_settings.team(team) is None:
                await self._changed.wait()
            return True
        self._teams.discard(team)
        return False

    async def _open(self, link: Link) -> None:
        self._link = link
        await self._request()

    async def _request(self) -> None:
        if self._link is None or not self._teams:
            return
        known = tuple(
            TeamVersion(team, self.active_settings.version(team))
            for team in sorted(self._teams)
        )
        try:
            await self._link.send(SettingsRequest(known))
            await self._link.send(SettingsDigest(0, anyio.current_time()))
        except LinkClosedError:
            self._link = None

    async def _confirm(self, _peer: Peer, delta: SettingsDelta) -> None:
        if 0 <= delta.age_s and delta.stamp <= anyio.current_time():
            self.active_settings.confirm(delta.stamp - delta.age_s)

    async def _apply_update(self, _peer: Peer, update: SettingsUpdate) -> None:
        row = Row(
            settings_key(update.team),
            update.version,
            update.body,
            update.change_id,
        )
        if not self.active_settings.apply_row(row):
            return
        log_event(
            'settings_in_force',
            team=update.team,
            version=update.version,
            change_id=update.change_id,
        )
        self._apply(update.team, self.active_settings.team(update.team))
        self._changed.set()
        self._changed = anyio.Event()
