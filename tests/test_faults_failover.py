"""Faults at every step of a failover, alone and in pairs, in model time."""

import dataclasses
import itertools
import os

import pytest

from catkincrank import failoversteps, quorum, supervision, suspicion
from catkincrank.acknowledgements.bounded import BoundedAcknowledgement
from catkincrank.failover import Phase
from tests import failovermodel
from tests.failovermodel import World

SEEDS = range(int(os.environ.get('FAILOVER_SEEDS', '1')))
GAP_BOUND_S = 14
BEGIN_S = 3.0
LAST_S = 3.0


def kill(name):
    def fault(world, keeper):
        world.instances[name].is_alive = False
        return lambda: setattr(world.instances[name], 'is_alive', True)

    return fault


def freeze(name):
    def fault(world, keeper):
        world.instances[name].is_frozen = True
        return lambda: world.thaw(name)

    return fault


def isolate(*zones):
    def fault(world, keeper):
        for zone in zones:
            world.isolate((zone,))
        return world.cuts.clear

    return fault


def hide_primary(world, keeper):
    world.cuts.update(frozenset((name, 'a')) for name in world.keepers)
    return world.cuts.clear


def lag(name):
    def fault(world, keeper):
        world.slow_replicas.add(name)
        return lambda: world.slow_replicas.discard(name)

    return fault


def store(behaviour):
    def fault(world, keeper):
        world.store.behaviour = behaviour
        return lambda: setattr(world.store, 'behaviour', 'up')

    return fault


def pause_keeper(world, keeper):
    world.pause(keeper.name if keeper else 'k1', LAST_S)
    return lambda: None


def pause_keepers(world, keeper):
    for name in world.keepers:
        world.pause(name, LAST_S)
    return lambda: None


def kill_keeper(world, keeper):
    world.keepers[keeper.name if keeper else 'k1'].is_alive = False
    return lambda: None


def lose_answers(world, keeper):
    world.lost_answers = 2
    return lambda: None


PRIMARY_FAULTS = {
    'primary killed': kill('a'),
    'primary frozen': freeze('a'),
    'primary isolated': isolate(1),
    'primary hidden from keepers': hide_primary,
}
FAULTS = {
    **PRIMARY_FAULTS,
    'replica killed': kill('b'),
    'other replica killed': kill('c'),
    'replica frozen': freeze('b'),
    'replica isolated': isolate(2),
    'all zones apart': isolate(1, 2),
    'replica lags': lag('b'),
    'store down': store('down'),
    'store slow': store('slow'),
    'store loses answers': store('loses'),
    'keeper paused': pause_keeper,
    'all keepers paused': pause_keepers,
    'keeper killed': kill_keeper,
    'instances lose answers': lose_answers,
}
STEPS = (Phase.CLAIM, Phase.SEAL, Phase.PROMOTE, Phase.FOLLOW)


def run_case(seed, faults, step=None, **options):
    """Break things at 5 s, or at ``step`` of the failover that follows."""
    world = World(seed, **options)
    undo = []

    def begin(fault, keeper=None):
        undo.append(fault(world, keeper))

    def on_phase(_, keeper, phase):
        if phase is step and world.now >= BEGIN_S and not late_begun:
            late_begun.append(phase)
            begin(faults[-1], keeper)
            world.at(world.now + LAST_S, lambda: undo[-1]())

    late_begun = []
    first = faults if step is None else faults[:-1]
    world.on_phase = on_phase
    for fault in first:
        world.at(BEGIN_S, lambda fault=fault: begin(fault))
    world.at(BEGIN_S + GAP_BOUND_S, world.heal)
    world.run(BEGIN_S + GAP_BOUND_S + 6)
    return world


def judge(world, bound_s=GAP_BOUND_S):
    violations = list(world.check_end())
    if world.longest_gap() > bound_s:
        violations.append('gap of {0:.1f} s'.format(world.longest_gap()))
    return violations


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('name', FAULTS)
def test_single_faults(name, seed):
    world = run_case(seed, [FAULTS[name]])
    if name == 'all zones apart':
        assert judge(world, GAP_BOUND_S + 5) == []
    else:
        assert judge(world) == []


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('name', FAULTS)
@pytest.mark.parametrize('first', PRIMARY_FAULTS)
def test_faults_at_each_step(first, name, step):
    for seed in SEEDS:
        faults = [PRIMARY_FAULTS[first], FAULTS[name]]
        assert judge(run_case(seed, faults, step)) == [], seed


@pytest.mark.parametrize(
    'pair',
    itertools.combinations(FAULTS, 2),
    ids=' and '.join,
)
def test_pairs_keep_every_promise(pair):
    """Pairs may leave no quorum until they end, so no gap is asked."""
    for seed in SEEDS:
        world = run_case(seed, [FAULTS[name] for name in pair])
        assert world.check_end() == [], seed


@pytest.mark.parametrize('first', PRIMARY_FAULTS)
@pytest.mark.parametrize('name', FAULTS)
def test_bounded_confirmations_end_before_a_promotion(name, first):
    """The policy may lose a write, but no replaced primary acknowledges."""
    delay_s = BoundedAcknowledgement.promotion_delay_s
    for seed in SEEDS:
        faults = [PRIMARY_FAULTS[first], FAULTS[name]]
        policy = BoundedAcknowledgement()
        world = run_case(
            seed,
            faults,
            Phase.SEAL,
            policy=policy,
            validity_s=delay_s,
        )
        assert judge(world) == [], seed


@pytest.mark.parametrize(
    ('names', 'behaviour', 'is_replaced'),
    [
        ('ab', 'up', True),
        ('ab', 'down', False),
        ('a', 'up', False),
        ('abcd', 'up', True),
        ('abcd', 'down', False),
        ('abcde', 'down', True),
    ],
)
def test_group_sizes(names, behaviour, is_replaced):
    """Even groups need the store; a single instance is never replaced."""
    for seed in range(3):
        world = World(seed, names=tuple(names))
        world.store.behaviour = behaviour
        world.at(BEGIN_S, lambda: kill('a')(world, None))
        world.run(BEGIN_S + GAP_BOUND_S)
        assert bool(world.promotions) == is_replaced, seed
        world.heal()
        world.run(world.now + 6)
        assert world.check_end() == [], seed


@pytest.mark.parametrize(
    ('rule', 'is_replaced'),
    [('wait', False), ('promote', True)],
)
def test_unknown_position_follows_the_rule(rule, is_replaced):
    """Only one replica is left, and nobody knows whether it is full."""
    world = World(1, on_unknown_position=rule)
    world.at(BEGIN_S, lambda: kill('a')(world, None))
    world.at(BEGIN_S, lambda: kill('b')(world, None))
    world.run(BEGIN_S + GAP_BOUND_S)
    assert bool(world.promotions) == is_replaced
    noted = {note.name for _, _, note in world.notes}
    assert 'failover_waits' in noted
    assert ('position_unknown' in noted) == is_replaced


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    'fault',
    [
        freeze('a'),
        freeze('b'),
        pause_keeper,
        pause_keepers,
        kill_keeper,
        store('down'),
        store('slow'),
        lag('b'),
        kill('c'),
    ],
)
def test_no_false_promotion(fault, seed):
    """Nothing short of a failed primary has it replaced."""
    world = World(seed)
    for begin in (4.0, 9.1, 14.7):

        def break_down():
            undo = fault(world, None)
            world.at(world.now + 2.0, undo)

        world.at(begin, break_down)
    world.run(25)
    assert world.promotions == []
    assert judge(world) == []


def skip_quorum(monkeypatch):
    for module in (failoversteps, supervision, quorum):
        monkeypatch.setattr(module, 'count_seal_quorum', lambda members: 1)


def ignore_ballots(monkeypatch):
    apply = failovermodel.Instance.apply

    def promote_anyone(instance, action):
        if isinstance(action, failoversteps.Promote):
            instance.sealed, instance.follows = action.ballot, ''
        return apply(instance, action)

    monkeypatch.setattr(failovermodel.Instance, 'apply', promote_anyone)


def skip_seal(monkeypatch):
    """Promise on the keeper's side only; the instances go on as before."""
    apply = failovermodel.Instance.apply

    def pretend(instance, action):
        if isinstance(action, failoversteps.Seal):
            return dataclasses.replace(
                instance.status(),
                sealed=action.ballot,
            )
        if isinstance(action, failoversteps.Promote):
            instance.sealed = action.ballot
        return apply(instance, action)

    monkeypatch.setattr(failovermodel.Instance, 'apply', pretend)


def accept_rival_of_same_term(monkeypatch):
    apply = failovermodel.Instance.apply

    def accept(instance, action):
        if isinstance(action, failoversteps.Seal):
            held = instance.sealed
            if held.term == action.ballot.term and held < action.ballot:
                instance.sealed = dataclasses.replace(held, term=held.term - 1)
        return apply(instance, action)

    monkeypatch.setattr(failovermodel.Instance, 'apply', accept)


def take_history_for_position(monkeypatch):
    def read_mark(status):
        return status.received_mark

    monkeypatch.setattr(quorum, 'find_held_mark', read_mark)


def promote_least_full(monkeypatch):
    monkeypatch.setattr(quorum, 'max', min, raising=False)


def trust_own_clock(monkeypatch):
    monkeypatch.setattr(suspicion.ClockGuard, 'tick', lambda self, now: 0)


def need_one_zone(monkeypatch):
    monkeypatch.setattr('catkincrank.confirmation._ZONES_NEEDED', 1)


def run_late_promotion(seed):
    """An order to promote arrives long after its term was replaced."""
    world = World(seed)

    def on_phase(_, keeper, phase):
        if phase is Phase.PROMOTE and not held:
            held.append(phase)
            world.hold_promotion_s = 9
            world.at(world.now + 2, lambda: undo.append(kill('b')(world, None)))
            world.at(world.now + 5, lambda: undo[-1]())

    held, undo = [], []
    world.on_phase = on_phase
    world.at(3, lambda: kill('a')(world, None))
    world.at(7, lambda: setattr(world.instances['a'], 'is_alive', True))
    return world.run(21)


def run_hidden_primary(seed):
    """Keepers lose sight of a primary that its replicas still follow."""
    return run_case(seed, [hide_primary])


def run_single_replica(seed):
    """Two zones see one replica only; the others go on together."""
    world = World(seed)
    unseen = itertools.product(('k2', 'k3'), ('a', 'b'))
    world.at(3, lambda: world.cuts.update(map(frozenset, unseen)))
    world.at(3, lambda: world.slow_replicas.add('c'))
    world.at(12, world.heal)
    return world.run(18)


def run_racing_keepers(seed):
    """Two keepers without a store try the same term at the same moment."""
    world = World(seed)
    world.keepers['k3'].is_alive = False
    for keeper in world.keepers.values():
        keeper.supervision.options = dataclasses.replace(
            keeper.supervision.options,
            rank=0,
        )

    def on_phase(_, keeper, phase):
        if phase is Phase.SEAL and not split:
            split.append(phase)
            world.cuts = {frozenset(('k1', 'c')), frozenset(('k2', 'b'))}

    split = []
    world.on_phase = on_phase
    world.store.behaviour = 'down'
    world.at(3, lambda: hide_primary(world, None))
    world.at(15, world.heal)
    return world.run(21)


def run_behind_and_back(seed):
    """A replica joins a term far behind; then that term's primary dies."""
    world = World(seed)
    world.at(3, lambda: world.slow_replicas.add('b'))
    world.at(4, lambda: kill('a')(world, None))

    def swap():
        kill('c')(world, None)
        world.instances['a'].is_alive = True

    world.at(8, swap)
    world.at(15, world.heal)
    return world.run(21)


def run_lagging_replica(seed):
    """One of the replicas is far behind when the primary dies."""
    world = World(seed)
    world.at(3, lambda: world.slow_replicas.add('b'))
    world.at(4, lambda: kill('a')(world, None))
    world.at(15, world.heal)
    return world.run(21)


def run_paused_keepers(seed):
    """Keepers stand still in turn and together; nothing else happens."""
    world = World(seed)
    for at, names in ((4, 'k1'), (8, 'k2'), (12, 'k1 k2'), (16, 'k1 k2 k3')):
        for name in names.split():
            world.at(at, lambda name=name: world.pause(name, 3.5))
    return world.run(21)


def run_blind_keeper(seed):
    """One keeper alone loses sight of the primary."""
    world = World(seed)
    world.at(4, lambda: world.cuts.add(frozenset(('k2', 'a'))))
    return world.run(12)


def judge_suspicion(world):
    found = judge(world)
    if world.promotions:
        found.append('promoted without need')
    for _, _, note in world.notes:
        if note.name == 'suspicion' and world.cuts == set():
            found.append('suspected a healthy instance')
    return found


@pytest.mark.parametrize(
    ('mutate', 'scenario', 'check'),
    [
        (skip_quorum, run_single_replica, judge),
        (skip_seal, run_hidden_primary, judge),
        (ignore_ballots, run_late_promotion, judge),
        (accept_rival_of_same_term, run_racing_keepers, judge),
        (promote_least_full, run_lagging_replica, judge),
        (take_history_for_position, run_behind_and_back, judge),
        (trust_own_clock, run_paused_keepers, judge_suspicion),
        (need_one_zone, run_blind_keeper, judge_suspicion),
    ],
)
def test_mutated_decisions_are_caught(mutate, scenario, check, monkeypatch):
    for seed in range(4):
        assert check(scenario(seed)) == [], seed
    mutate(monkeypatch)
    assert any(check(scenario(seed)) for seed in range(20))
