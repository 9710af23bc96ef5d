"""An operator who changes settings through the platform's store."""

import time

from catkincrank.changes import Change, change_team
from catkincrank.settings import Team, encode_team
from catkincrank.standins.platform import StandinPlatform
from catkincrank.store import ABSENT, Row
from catkincrank.stores.http import HttpStore
from catkincrank.subtree import settings_key

__all__ = ('write_team',)

_AUTHOR = 'deployment'


async def write_team(
    platform: StandinPlatform,
    name: str,
    team: Team,
) -> Row:
    """Write a team's subtree on the version in force."""
    stored = platform.table.read(settings_key(name))
    change = Change(
        name,
        encode_team(team),
        stored.version if stored else ABSENT,
        _AUTHOR,
        time.time(),
    )
    return await change_team(HttpStore(platform.address), change)
