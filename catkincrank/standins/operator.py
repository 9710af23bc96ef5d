"""An operator who changes settings through the platform's store."""

import time
from collections.abc import Sequence

from catkincrank.activesettings import settings_key
from catkincrank.feedclient import KeeperAddress
from catkincrank.settings import Team, encode_team
from catkincrank.settingschanges import Change, change_team
from catkincrank.settingspush import push_change
from catkincrank.standins.storeserver import StandinStoreServer
from catkincrank.store import ABSENT, Row
from catkincrank.stores.http import HttpStore

__all__ = ('write_team',)

_AUTHOR = 'deployment'


async def write_team(
    platform: StandinStoreServer,
    name: str,
    team: Team,
    keepers: Sequence[KeeperAddress] = (),
) -> Row:
    """Write a team's subtree on the version in force; tell a keeper."""
    stored = platform.table.read(settings_key(name))
    change = Change(
        name,
        encode_team(team),
        stored.version if stored else ABSENT,
        _AUTHOR,
        time.time(),
    )
    row = await change_team(HttpStore(platform.address), change)
    await push_change(row, _AUTHOR, tuple(keepers))
    return row
