import random

import pytest

from catkincrank.relay import Relay
from catkincrank.relayactions import ApplySubtree, ReadIndex, ReadTeam, Send
from catkincrank.relayroster import RelayPeer, Roster
from catkincrank.relaytree import find_children, find_entry_points, rank_names
from catkincrank.relaywindow import EntryWindow
from catkincrank.settingsmessages import (
    SettingsDelta,
    SettingsDigest,
    SettingsEntry,
    SettingsPush,
    SettingsRequest,
    SettingsUpdate,
    TeamVersion,
)
from catkincrank.store import Row

PEERS = tuple(RelayPeer('n{0}'.format(i), 'kushiro') for i in range(40))


def entry(sequence, version=1, *, accepted=False):
    return SettingsEntry(sequence, 't', version, is_accepted=accepted)


def push(sequence, version, *, crosses=False):
    return SettingsPush(
        entry(sequence, version, accepted=True),
        b'{}',
        'c{0}'.format(version),
        crosses_zones=crosses,
    )


def make_relay(name='n0', peers=PEERS):
    relay = Relay(RelayPeer(name, 'kushiro'), random.Random(1))
    relay.roster.replace(peers)
    relay.state.serve_teams(('t',), 0)
    relay.on_message('n1', SettingsUpdate('t', 1, b'{}', 'c1'), 0)
    relay.on_row('t', Row('settings/t', 1, b'{}', 'c1'), 0)
    return relay


@pytest.mark.parametrize('count', [1, 2, 5, 6, 91])
def test_tree_reaches_each_name_once(count):
    names = tuple('n{0}'.format(number) for number in range(count))
    ranked = rank_names('7', names)
    reached = [ranked[0]]
    for name in reached:
        reached.extend(find_children(ranked, name))
    assert sorted(reached) == sorted(names)
    assert set(find_entry_points(ranked, ranked[-1])) == set(ranked[:5]) - {
        ranked[-1]
    }


def test_removing_a_name_keeps_the_order_of_the_others():
    names = {'n{0}'.format(number) for number in range(50)}
    ranked = rank_names('k', names)
    reranked = rank_names('k', names - {ranked[3]})
    assert reranked == tuple(name for name in ranked if name != ranked[3])


def test_sequence_stops_at_a_gap_and_window_is_bounded():
    window = EntryWindow()
    assert [window.add(entry(number)) for number in (1, 3, 3)] == [
        True,
        True,
        False,
    ]
    assert window.sequence == 1
    window.add(entry(2))
    assert window.sequence == 3
    assert len(window.list_after(1)) == 2
    assert window.add(entry(2, accepted=True))
    for number in range(4, 400):
        window.add(entry(number))
    assert (window.oldest, window.sequence) == (144, 399)


def test_push_is_applied_and_forwarded_once():
    relay = make_relay()
    actions = relay.on_message('n1', push(5, 2), 1)
    assert [each for each in actions if isinstance(each, ApplySubtree)]
    assert relay.on_message('n2', push(5, 2), 1) == []
    older = relay.on_message('n2', push(4, 1), 1)
    assert not [each for each in older if isinstance(each, ApplySubtree)]
    assert relay.state.active_settings.version('t') == 2


def test_older_versions_are_never_applied():
    relay = make_relay()
    relay.on_message('n1', push(5, 4), 1)
    actions = [
        *relay.on_row('t', Row('settings/t', 3, b'{}', 'c3'), 2),
        *relay.on_message('n1', SettingsUpdate('t', 2, b'{}', 'c2'), 2),
        *relay.on_message('n1', push(6, 3), 2),
    ]
    assert not [each for each in actions if isinstance(each, ApplySubtree)]
    assert relay.state.active_settings.version('t') == 4


def test_delta_triggers_a_request_to_its_sender():
    name = next(
        peer.name
        for peer in PEERS
        if not make_relay(peer.name).roster.is_reader
    )
    relay = make_relay(name)
    delta = SettingsDelta(1, 1, 0.5, 2, (entry(1, 2, accepted=True),))
    sent = relay.on_message('n9', delta, 1)
    asked = SettingsRequest((TeamVersion('t', 1),))
    assert Send('n9', asked) in sent
    assert relay.state.list_unknown() == ['t']
    relay.on_message('n9', SettingsUpdate('t', 2, b'{}', 'c2'), 1.1)
    assert relay.state.active_settings.age(1.5) == pytest.approx(3)


@pytest.mark.parametrize('age_s', [-1, 2])
def test_delta_with_future_stamp_is_ignored(age_s):
    relay = make_relay()
    delta = SettingsDelta(9, 1, 99, age_s, ())
    assert relay.on_message('n9', delta, 1) == []
    assert relay.state.complete_as_of is None


def test_only_readers_poll_the_store():
    readers = {
        peer.name
        for peer in PEERS
        if any(
            isinstance(action, ReadIndex)
            for action in make_relay(peer.name).tick(1)
        )
    }
    assert readers == set(make_relay().roster.readers)
    assert len(readers) == 2


def test_reader_reads_a_new_row_and_pushes_it():
    relay = make_relay(make_relay().roster.readers[0])
    relay.on_message('n9', SettingsDelta(1, 1, 0, 1, (entry(1, 2),)), 1)
    assert ReadTeam('t') in relay.tick(3)
    row = Row('settings/t', 2, b'{}', 'c2')
    sent = [
        action
        for action in relay.on_row('t', row, 3)
        if isinstance(action, Send)
    ]
    assert len(sent) >= 4
    crossing = relay.on_store_failure(4)
    assert not crossing
    assert make_relay().on_store_failure(4) == []


def test_push_from_a_writer_crosses_zones():
    others = tuple(RelayPeer('o{0}'.format(i), 'sapporo') for i in range(5))
    relay = make_relay(peers=(*PEERS, *others))
    actions = relay.on_message('writer', push(5, 2, crosses=True), 1)
    sent = [action for action in actions if isinstance(action, Send)]
    crossing = [send for send in sent if send.peer.startswith('o')]
    assert len(crossing) == 1
    assert crossing[0].message.crosses_zones
    assert all(
        not send.message.crosses_zones
        for send in sent
        if send.peer.startswith('n')
    )


def test_fetching_node_does_not_answer_other_fetches():
    relay = Relay(RelayPeer('n0', 'kushiro'), random.Random(1))
    relay.roster.replace(PEERS)
    relay.state.serve_teams(('t',), 0)
    relay.on_row('t', Row('settings/t', 1, b'{}', 'c1'), 0)
    asked = SettingsRequest((TeamVersion('t', 0),))
    assert relay.on_message('n1', asked, 0.5) == []
    relay.on_message('writer', push(0, 2), 0.5)
    asked = SettingsRequest((TeamVersion('t', 2),))
    held = SettingsUpdate('t', 2, b'', '')
    assert Send('writer', held) in relay.on_message('writer', asked, 0.5)


def test_node_behind_a_digest_replies_with_delta_and_own_digest():
    relay = make_relay()
    answers = relay.on_message('n9', SettingsDigest(7, 1), 1)
    assert [type(each.message) for each in answers] == [
        SettingsDelta,
        SettingsDigest,
    ]


def test_single_node_is_reader_without_peers():
    roster = Roster(PEERS[0], random.Random(1))
    assert not roster.has_peers
    assert roster.is_reader
    assert roster.list_sources('') == ()


def test_node_that_serves_all_adds_announced_teams():
    relay = make_relay()
    relay.serves_all = True
    announced = SettingsEntry(1, 'new', 1)
    relay.on_message('n9', SettingsDelta(1, 1, 0, 1, (announced,)), 1)
    assert relay.state.serves('new')
    assert relay.state.serves('t')
