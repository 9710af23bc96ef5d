"""Pushes a change that the store has just accepted to two keepers.

The fleet then receives it even if the store fails before a reader polls it.
"""

import anyio

from catkincrank.activesettings import team_of_key
from catkincrank.errors import MessageError
from catkincrank.feedclient import KeeperAddress
from catkincrank.links import Link, LinkClosedError, dial
from catkincrank.messages import Hello
from catkincrank.settingsmessages import (
    SettingsEntry,
    SettingsPush,
    SettingsRequest,
    SettingsUpdate,
    TeamVersion,
)
from catkincrank.store import Row

__all__ = ('push_change',)

_TIMEOUT_S = 1.0
_KEEPERS_NEEDED = 2
_NO_SEQUENCE = 0


async def push_change(
    row: Row,
    author: str,
    keepers: tuple[KeeperAddress, ...],
) -> list[str]:
    """Send ``row`` to the first two keepers that confirm it.

    Returns:
        Their names.
    """
    confirmed: list[str] = []
    for keeper in keepers:
        if await _push_to(keeper, row, author):  # noqa: WPS476
            confirmed.append(keeper.name)
        if len(confirmed) == _KEEPERS_NEEDED:
            break
    return confirmed


async def _push_to(keeper: KeeperAddress, row: Row, author: str) -> bool:
    entry = SettingsEntry(
        _NO_SEQUENCE,
        team_of_key(row.key),
        row.version,
        is_accepted=True,
    )
    push = SettingsPush(entry, row.body, row.change_id, crosses_zones=True)
    hello = Hello(author, '', 'operator', '')
    team, version = entry.team, entry.version
    try:
        link = await dial(keeper.host, keeper.port, _TIMEOUT_S, author)
        await link.send(hello)
        await link.send(push)
        await link.send(SettingsRequest((TeamVersion(team, version),)))
        has_version = await _wait_for_version(link, version)
    except (LinkClosedError, MessageError):
        return False
    await link.close()
    return has_version


async def _wait_for_version(link: Link, version: int) -> bool:
    with anyio.move_on_after(_TIMEOUT_S):
        while True:
            answer = await link.receive()
            if isinstance(answer, SettingsUpdate):
                return answer.version >= version
    return False
