"""Bytes of memory that one more of each thing takes, by allocation traces."""

import gc
import random
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, final

from catkincrank.activesettings import ActiveSettings, settings_key
from catkincrank.feed import Feed
from catkincrank.history import History, TermStart
from catkincrank.instance import InstanceStatus, Observation, Role
from catkincrank.relayroster import RelayPeer, Roster
from catkincrank.relaywindow import EntryWindow
from catkincrank.settings import Endpoint, Service, Team, encode_team
from catkincrank.settingsmessages import SettingsEntry
from catkincrank.store import Row

__all__ = ('StateCosts', 'make_team', 'measure_state')

_COUNT = 200
_ENDPOINTS = ('a', 'b', 'c')


@final
@dataclass(frozen=True, slots=True)
class StateCosts:
    """Bytes of memory for one more of each.

    Attributes:
        group: A group in a feed, with three observed instances.
        subtree: A team of one service in the settings book.
        subtree_body: That subtree as JSON, for messages.
        index_entry: An entry of the settings index.
        peer: A live node in a roster.
    """

    group: float
    subtree: float
    subtree_body: int
    index_entry: float
    peer: float


def make_team() -> Team:
    """Return a team of one service with three endpoints."""
    endpoints = tuple(
        Endpoint(name, 'kathmandu', '10.0.0.1', 5432) for name in _ENDPOINTS
    )
    return Team({'loan-ledger': Service(endpoints, 'ledger')})


def measure_state() -> StateCosts:
    """Return what one more of each thing takes."""
    return StateCosts(
        _grow(Feed, _add_group),
        _grow(ActiveSettings, _add_subtree),
        len(encode_team(make_team())),
        _grow(EntryWindow, _add_entry),
        _grow(_make_roster, _ignore),
    )


def _grow(
    make: Callable[[], Any],
    add: Callable[[Any, int], None],
) -> float:
    gc.collect()
    tracemalloc.start()
    holder = make()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(_COUNT):
        add(holder, number)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    if add is _ignore:
        return after / _COUNT
    return (after - before) / _COUNT


def _add_group(feed: Feed, number: int) -> None:
    group = 'team/service-{0}'.format(number)
    feed.set_members(group, _ENDPOINTS)
    for name in _ENDPOINTS:
        history = History(
            tuple(TermStart(term, term * 1000000) for term in range(1, 6)),
        )
        status = InstanceStatus(
            name,
            'i{0}'.format(number),
            Role.PRIMARY if name == 'a' else Role.REPLICA,
            history,
            5000000 + number,
            5000000 + number,
        )
        feed.record(group, Observation(status, float(number)))


def _add_subtree(active_settings: ActiveSettings, number: int) -> None:
    key = settings_key('team-{0}'.format(number))
    active_settings.apply_row(
        Row(key, number + 1, encode_team(make_team()), str(number))
    )


def _add_entry(window: EntryWindow, number: int) -> None:
    team = 'team-{0}'.format(number)
    window.add(SettingsEntry(number + 1, team, number))


def _make_roster() -> Roster:
    roster = Roster(RelayPeer('vm', 'zone-0'), random.Random(1))
    roster.replace(
        RelayPeer('vm-{0}'.format(number), 'zone-{0}'.format(number % 4))
        for number in range(_COUNT)
    )
    return roster


def _ignore(holder: Any, number: int) -> None:
    """Add nothing: the holder was made with all of it."""
