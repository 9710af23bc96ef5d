"""Whom a relay asks for a subtree that it lacks."""

from catkincrank.relayactions import Action, ReadTeam, Send
from catkincrank.relaypending import Want
from catkincrank.relayroster import Roster
from catkincrank.settingsmessages import SettingsRequest, TeamVersion

__all__ = ('fetch_team', 'search_version')

_STORE_EVERY_TRIES = 4


def search_version(want: Want, roster: Roster) -> list[Action]:
    """Return the next try to get a version that was announced.

    A reader asks the store each time, and peers once the store has failed it;
    others ask one peer after another, and the store now and then.
    """
    actions: list[Action] = []
    if roster.is_reader or want.tries % _STORE_EVERY_TRIES == 0:
        actions.append(ReadTeam(want.team))
    if roster.is_reader and not want.hint and want.tries == 1:
        return actions
    request = SettingsRequest((TeamVersion(want.team, want.version - 1),))
    peers = roster.list_sources(want.hint)
    if peers:
        peer = peers[(want.tries - 1) % len(peers)]
        actions.append(Send(peer, request))
    return actions


def fetch_team(team: str, roster: Roster) -> list[Action]:
    """Return what asks the store and some peers for a whole subtree."""
    request = SettingsRequest((TeamVersion(team, 0),))
    sources = roster.list_sources('')
    return [ReadTeam(team), *(Send(peer, request) for peer in sources)]
