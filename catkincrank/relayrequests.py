"""Requests for subtrees that a relay is missing."""

from catkincrank.relayactions import Action, ReadTeam, Send
from catkincrank.relaypending import PendingVersion
from catkincrank.relayroster import Roster
from catkincrank.settingsmessages import SettingsRequest, TeamVersion

__all__ = ('request_subtree', 'request_version')

_STORE_EVERY_TRIES = 4


def request_version(pending: PendingVersion, roster: Roster) -> list[Action]:
    """Return the requests of the next try for an announced version.

    A reader asks the store on every try, and peers from its second try on or
    when one is known to have the version. Other nodes ask one peer after
    another, and the store on every fourth try only.
    """
    actions: list[Action] = []
    if roster.is_reader or pending.tries % _STORE_EVERY_TRIES == 0:
        actions.append(ReadTeam(pending.team))
    if roster.is_reader and not pending.hint and pending.tries == 1:
        return actions
    request = SettingsRequest((TeamVersion(pending.team, pending.version - 1),))
    peers = roster.list_sources(pending.hint)
    if peers:
        peer = peers[(pending.tries - 1) % len(peers)]
        actions.append(Send(peer, request))
    return actions


def request_subtree(team: str, roster: Roster) -> list[Action]:
    """Return requests for a whole subtree to the store and some peers."""
    request = SettingsRequest((TeamVersion(team, 0),))
    sources = roster.list_sources('')
    return [ReadTeam(team), *(Send(peer, request) for peer in sources)]
