import random

import pytest

from catkincrank.duty import Duties, choose_duty, rank_keepers
from catkincrank.membership import (
    Membership,
    PeerAddress,
    PeerState,
    PeerStatus,
)
from catkincrank.store import VirtualMachine

ZONES = 5
NAMES = tuple('vm{0}'.format(number) for number in range(20))


def address(name):
    zone = 'z{0}'.format(int(name[2:]) % ZONES)
    return PeerAddress(name, zone, '127.0.0.1', 7432)


def make_statuses(states=None, since=0.0):
    states = states or {}
    return {
        name: PeerStatus(
            address(name),
            states.get(name, PeerState.ALIVE),
            '',
            since,
        )
        for name in NAMES
    }


def test_duty_spans_three_zones_and_ignores_input_order():
    for bucket in range(50):
        ranking = rank_keepers(bucket, NAMES)
        shuffled = random.Random(bucket).sample(NAMES, len(NAMES))
        assert rank_keepers(bucket, shuffled) == ranking
        duty = choose_duty(ranking, make_statuses(), 0)
        assert len({address(name).zone for name in duty.keepers}) == 3


@pytest.mark.parametrize(
    ('lost', 'state', 'after_s', 'moves'),
    [
        (1, PeerState.SILENT, 179, False),
        (1, PeerState.SILENT, 181, True),
        (1, PeerState.LEAVING, 0, True),
        (2, PeerState.SILENT, 2, False),
        (2, PeerState.SILENT, 4, True),
    ],
)
def test_silent_keepers_are_replaced_after_the_hold_down(
    lost,
    state,
    after_s,
    moves,
):
    ranking = rank_keepers(7, NAMES)
    before = choose_duty(ranking, make_statuses(), 0)
    gone = before.keepers[:lost]
    statuses = make_statuses(dict.fromkeys(gone, state), since=100)
    after = choose_duty(ranking, statuses, 100 + after_s)
    assert bool(set(after.keepers) - set(before.keepers)) == moves
    if state is PeerState.SILENT and not moves:
        assert after.keepers[-lost:] == gone
    if moves:
        assert not set(gone) & set(after.keepers)


def test_only_duties_of_a_leaving_keeper_move():
    changed = 0
    for bucket in range(200):
        ranking = rank_keepers(bucket, NAMES)
        before = set(choose_duty(ranking, make_statuses(), 0).keepers)
        statuses = make_statuses({'vm3': PeerState.LEAVING})
        after = set(choose_duty(ranking, statuses, 0).keepers)
        assert len(after - before) == ('vm3' in before)
        changed += before != after
    assert 0 < changed < 200 * 3 / len(NAMES) * 2


def test_leaving_keeper_drops_duties_unless_alone():
    duties = Duties(address('vm3'))
    statuses = make_statuses()
    statuses.pop('vm3')
    duties.update(range(100), statuses, 0)
    before = set(duties.held)
    duties.update(range(100), statuses, 1, is_leaving=True)
    assert set(duties.held) == before
    assert all('vm3' not in duty.keepers for duty in duties.chosen.values())
    duties.update(range(100), statuses, 12, is_leaving=True)
    assert duties.held == {}
    alone = Duties(address('vm3'))
    alone.update(range(5), {}, 0)
    alone.update(range(5), {}, 1, is_leaving=True)
    alone.update(range(5), {}, 30, is_leaving=True)
    assert len(alone.held) == 5


def test_lost_duty_is_held_until_the_overlap_ends():
    own_address = address('vm3')
    duties = Duties(own_address)
    statuses = make_statuses()
    statuses.pop('vm3')
    duties.update(range(100), {}, 0)
    assert len(duties.held) == 100
    duties.update(range(100), statuses, 1)
    assert len(duties.held) == 100
    duties.update(range(100), statuses, 11.5)
    assert 0 < len(duties.held) < 50
    assert duties.list_partners() <= set(NAMES) - {'vm3'}


def list_vms(*names, leaving=()):
    vms = [
        VirtualMachine(name, 'z1', '127.0.0.1', name in leaving)
        for name in names
    ]
    return lambda membership, now: membership.apply_vm_list(vms, now)


def receive_probe(name):
    return lambda membership, now: membership.record_probe(address(name), now)


def receive_leaving_probe(name):
    return lambda membership, now: membership.record_probe(
        address(name),
        now,
        is_leaving=True,
    )


def select_peers(*names):
    return lambda membership, now: membership.select_probed(names, now)


@pytest.mark.parametrize(
    ('steps', 'at', 'expected'),
    [
        ([(0, list_vms('vm1'))], 100, PeerState.LISTED),
        ([(0, list_vms('vm1', leaving=('vm1',)))], 1, PeerState.LEAVING),
        ([(0, list_vms('vm1')), (1, select_peers('vm1'))], 7, PeerState.LISTED),
        (
            [(0, list_vms('vm1')), (1, select_peers('vm1'))],
            7.5,
            PeerState.SILENT,
        ),
        ([(0, receive_probe('vm1'))], 1, PeerState.ALIVE),
        ([(0, receive_leaving_probe('vm1'))], 1, PeerState.LEAVING),
        (
            [(0, receive_leaving_probe('vm1')), (2, receive_probe('vm1'))],
            3,
            PeerState.ALIVE,
        ),
        ([(0, receive_probe('vm1'))], 60, PeerState.LISTED),
        ([(0, receive_probe('vm1'))], 130, None),
        ([(0, list_vms('vm1')), (5, list_vms())], 100, PeerState.LISTED),
        ([(0, list_vms('vm1')), (5, list_vms())], 130, None),
        (
            [
                (0, select_peers('vm1')),
                (0, receive_probe('vm1')),
                (9, select_peers('vm1')),
            ],
            15.5,
            PeerState.SILENT,
        ),
    ],
)
def test_peer_state_combines_vm_list_and_probes(steps, at, expected):
    ordered = sorted(steps, key=lambda step: step[0])
    for now, membership in run_membership(ordered):
        if now == at:
            peer_status = membership.statuses.get('vm1')
            assert (peer_status.state if peer_status else None) is expected
            return


def run_membership(steps):
    membership = Membership(address('vm0'), 0)
    pending = list(steps)
    for half in range(400):
        now = half / 2
        while pending and pending[0][0] <= now:
            pending.pop(0)[1](membership, now)
        membership.tick(now)
        yield now, membership


def test_own_pause_does_not_make_peers_silent():
    membership = Membership(address('vm0'), 0)
    list_vms('vm1')(membership, 0)
    select_peers('vm1')(membership, 0)
    membership.tick(0.5)
    found = [membership.tick(9.5 + step / 2) for step in range(14)]
    assert found[:13] == [[]] * 13
    assert found[13][0].state is PeerState.SILENT
