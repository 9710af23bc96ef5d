"""Simulated faults at every step of a failover, alone and in pairs."""

import dataclasses
import itertools
import os

import pytest

from catkincrank import failoversteps, quorum, supervision, suspicion
from catkincrank.acknowledgements.bounded import BoundedAcknowledgement
from catkincrank.failover import Phase
from tests import failovermodel
from tests.failovermodel import Simulation

SEEDS = range(int(os.environ.get('FAILOVER_SEEDS', '1')))
MAX_GAP_S = 14
FAULT_START_S = 3.0
FAULT_DURATION_S = 3.0


# A fault is a function that begins it and returns a function that ends it. Its
# arguments are the simulation and the keeper that runs the failover, if any.


def kill(name):
    def fault(simulation, keeper):
        simulation.instances[name].is_alive = False
        return lambda: setattr(simulation.instances[name], 'is_alive', True)

    return fault


def freeze(name):
    def fault(simulation, keeper):
        simulation.instances[name].is_frozen = True
        return lambda: simulation.unfreeze(name)

    return fault


def isolate(*zones):
    def fault(simulation, keeper):
        for zone in zones:
            simulation.isolate((zone,))
        return simulation.cuts.clear

    return fault


def hide_primary(simulation, keeper):
    simulation.cuts.update(
        frozenset((name, 'a')) for name in simulation.keepers
    )
    return simulation.cuts.clear


def lag(name):
    def fault(simulation, keeper):
        simulation.slow_replicas.add(name)
        return lambda: simulation.slow_replicas.discard(name)

    return fault


def store(behaviour):
    def fault(simulation, keeper):
        simulation.store.behaviour = behaviour
        return lambda: setattr(simulation.store, 'behaviour', 'up')

    return fault


def pause_keeper(simulation, keeper):
    simulation.pause(keeper.name if keeper else 'k1', FAULT_DURATION_S)
    return lambda: None


def pause_keepers(simulation, keeper):
    for name in simulation.keepers:
        simulation.pause(name, FAULT_DURATION_S)
    return lambda: None


def kill_keeper(simulation, keeper):
    simulation.keepers[keeper.name if keeper else 'k1'].is_alive = False
    return lambda: None


def lose_answers(simulation, keeper):
    simulation.lost_answers = 2
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
    """Inject faults at ``FAULT_START_S``; the last one at ``step`` if given."""
    simulation = Simulation(seed, **options)
    undo = []

    def begin(fault, keeper=None):
        undo.append(fault(simulation, keeper))

    def on_phase(_, keeper, phase):
        if (
            phase is step
            and simulation.now >= FAULT_START_S
            and not started_late
        ):
            started_late.append(phase)
            begin(faults[-1], keeper)
            simulation.at(simulation.now + FAULT_DURATION_S, lambda: undo[-1]())

    started_late = []
    first = faults if step is None else faults[:-1]
    simulation.on_phase = on_phase
    for fault in first:
        simulation.at(FAULT_START_S, lambda fault=fault: begin(fault))
    simulation.at(FAULT_START_S + MAX_GAP_S, simulation.heal)
    simulation.run(FAULT_START_S + MAX_GAP_S + 6)
    return simulation


def find_violations(simulation, bound_s=MAX_GAP_S):
    violations = list(simulation.check_final_state())
    if simulation.longest_gap() > bound_s:
        violations.append('gap of {0:.1f} s'.format(simulation.longest_gap()))
    return violations


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('name', FAULTS)
def test_single_fault_violates_no_guarantee(name, seed):
    simulation = run_case(seed, [FAULTS[name]])
    if name == 'all zones apart':
        assert find_violations(simulation, MAX_GAP_S + 5) == []
    else:
        assert find_violations(simulation) == []


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('name', FAULTS)
@pytest.mark.parametrize('first', PRIMARY_FAULTS)
def test_fault_at_each_step_violates_no_guarantee(first, name, step):
    for seed in SEEDS:
        faults = [PRIMARY_FAULTS[first], FAULTS[name]]
        assert find_violations(run_case(seed, faults, step)) == [], seed


@pytest.mark.parametrize(
    'pair',
    itertools.combinations(FAULTS, 2),
    ids=' and '.join,
)
def test_fault_pairs_violate_no_guarantee(pair):
    """The write gap is not checked: two faults may prevent a quorum."""
    for seed in SEEDS:
        simulation = run_case(seed, [FAULTS[name] for name in pair])
        assert simulation.check_final_state() == [], seed


@pytest.mark.parametrize('first', PRIMARY_FAULTS)
@pytest.mark.parametrize('name', FAULTS)
def test_bounded_confirmations_expire_before_promotion(name, first):
    """Bounded acknowledgement may lose writes on a failover.

    A replaced primary must not acknowledge any, even so.
    """
    delay_s = BoundedAcknowledgement.promotion_delay_s
    for seed in SEEDS:
        faults = [PRIMARY_FAULTS[first], FAULTS[name]]
        policy = BoundedAcknowledgement()
        simulation = run_case(
            seed,
            faults,
            Phase.SEAL,
            policy=policy,
            validity_s=delay_s,
        )
        assert find_violations(simulation) == [], seed


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
def test_group_size_decides_whether_store_is_needed(
    names,
    behaviour,
    is_replaced,
):
    """Even groups need the store; a single instance is never replaced."""
    for seed in range(3):
        simulation = Simulation(seed, names=tuple(names))
        simulation.store.behaviour = behaviour
        simulation.at(FAULT_START_S, lambda: kill('a')(simulation, None))
        simulation.run(FAULT_START_S + MAX_GAP_S)
        assert bool(simulation.promotions) == is_replaced, seed
        simulation.heal()
        simulation.run(simulation.now + 6)
        assert simulation.check_final_state() == [], seed


@pytest.mark.parametrize(
    ('rule', 'is_replaced'),
    [('wait', False), ('promote', True)],
)
def test_option_decides_promotion_when_position_is_unknown(rule, is_replaced):
    """The primary and a replica fail.

    The replica that is left may lack acknowledged writes.
    """
    simulation = Simulation(1, on_unknown_position=rule)
    simulation.at(FAULT_START_S, lambda: kill('a')(simulation, None))
    simulation.at(FAULT_START_S, lambda: kill('b')(simulation, None))
    simulation.run(FAULT_START_S + MAX_GAP_S)
    assert bool(simulation.promotions) == is_replaced
    event_names = {entry.name for _, _, entry in simulation.journal_entries}
    assert 'failover_waits' in event_names
    assert ('position_unknown' in event_names) == is_replaced


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
def test_short_or_unrelated_fault_replaces_no_primary(fault, seed):
    """Only a failed primary is replaced, not one that freezes for 2 s."""
    simulation = Simulation(seed)
    for begin in (4.0, 9.1, 14.7):

        def inject_fault():
            undo = fault(simulation, None)
            simulation.at(simulation.now + 2.0, undo)

        simulation.at(begin, inject_fault)
    simulation.run(25)
    assert simulation.promotions == []
    assert find_violations(simulation) == []


def skip_quorum(monkeypatch):
    for module in (failoversteps, supervision, quorum):
        monkeypatch.setattr(module, 'count_seal_quorum', lambda members: 1)


def ignore_ballots(monkeypatch):
    apply = failovermodel.Instance.apply

    def promote_any_ballot(instance, action):
        if isinstance(action, failoversteps.Promote):
            instance.sealed, instance.follows = action.ballot, ''
        return apply(instance, action)

    monkeypatch.setattr(failovermodel.Instance, 'apply', promote_any_ballot)


def skip_seal(monkeypatch):
    """Report seals to the keeper without sealing the instances."""
    apply = failovermodel.Instance.apply

    def report_seal(instance, action):
        if isinstance(action, failoversteps.Seal):
            return dataclasses.replace(
                instance.status(),
                sealed=action.ballot,
            )
        if isinstance(action, failoversteps.Promote):
            instance.sealed = action.ballot
        return apply(instance, action)

    monkeypatch.setattr(failovermodel.Instance, 'apply', report_seal)


def accept_rival_of_same_term(monkeypatch):
    apply = failovermodel.Instance.apply

    def accept(instance, action):
        if isinstance(action, failoversteps.Seal):
            held = instance.sealed
            if held.term == action.ballot.term and held < action.ballot:
                instance.sealed = dataclasses.replace(held, term=held.term - 1)
        return apply(instance, action)

    monkeypatch.setattr(failovermodel.Instance, 'apply', accept)


def use_received_mark_as_held(monkeypatch):
    def read_mark(status):
        return status.received_mark

    monkeypatch.setattr(quorum, 'find_held_mark', read_mark)


def promote_least_advanced(monkeypatch):
    monkeypatch.setattr(quorum, 'max', min, raising=False)


def ignore_own_pauses(monkeypatch):
    monkeypatch.setattr(suspicion.PauseDetector, 'tick', lambda self, now: 0)


def require_one_zone(monkeypatch):
    monkeypatch.setattr('catkincrank.confirmation._ZONES_NEEDED', 1)


def run_late_promotion(seed):
    """A promotion request arrives long after a newer term has begun."""
    simulation = Simulation(seed)

    def on_phase(_, keeper, phase):
        if phase is Phase.PROMOTE and not held:
            held.append(phase)
            simulation.hold_promotion_s = 9
            simulation.at(
                simulation.now + 2,
                lambda: undo.append(kill('b')(simulation, None)),
            )
            simulation.at(simulation.now + 5, lambda: undo[-1]())

    held, undo = [], []
    simulation.on_phase = on_phase
    simulation.at(3, lambda: kill('a')(simulation, None))
    simulation.at(
        7,
        lambda: setattr(simulation.instances['a'], 'is_alive', True),
    )
    return simulation.run(21)


def run_hidden_primary(seed):
    """Keepers cannot reach a primary that its replicas still follow."""
    return run_case(seed, [hide_primary])


def run_partitioned_replica(seed):
    """Keepers of two zones reach only a replica that lags.

    The primary and the other replica work.
    """
    simulation = Simulation(seed)
    unseen = itertools.product(('k2', 'k3'), ('a', 'b'))
    simulation.at(3, lambda: simulation.cuts.update(map(frozenset, unseen)))
    simulation.at(3, lambda: simulation.slow_replicas.add('c'))
    simulation.at(12, simulation.heal)
    return simulation.run(18)


def run_racing_keepers(seed):
    """Two keepers without a store attempt the same term concurrently."""
    simulation = Simulation(seed)
    simulation.keepers['k3'].is_alive = False
    for keeper in simulation.keepers.values():
        keeper.supervision.options = dataclasses.replace(
            keeper.supervision.options,
            rank=0,
        )

    def on_phase(_, keeper, phase):
        if phase is Phase.SEAL and not split:
            split.append(phase)
            simulation.cuts = {frozenset(('k1', 'c')), frozenset(('k2', 'b'))}

    split = []
    simulation.on_phase = on_phase
    simulation.store.behaviour = 'down'
    simulation.at(3, lambda: hide_primary(simulation, None))
    simulation.at(15, simulation.heal)
    return simulation.run(21)


def run_replica_behind_in_new_term(seed):
    """A replica far behind follows a new primary, which is then killed."""
    simulation = Simulation(seed)
    simulation.at(3, lambda: simulation.slow_replicas.add('b'))
    simulation.at(4, lambda: kill('a')(simulation, None))

    def swap():
        kill('c')(simulation, None)
        simulation.instances['a'].is_alive = True

    simulation.at(8, swap)
    simulation.at(15, simulation.heal)
    return simulation.run(21)


def run_lagging_replica(seed):
    """One of the replicas is far behind when the primary is killed."""
    simulation = Simulation(seed)
    simulation.at(3, lambda: simulation.slow_replicas.add('b'))
    simulation.at(4, lambda: kill('a')(simulation, None))
    simulation.at(15, simulation.heal)
    return simulation.run(21)


def run_paused_keepers(seed):
    """Keepers are paused one by one and together, with no other fault."""
    simulation = Simulation(seed)
    for at, names in ((4, 'k1'), (8, 'k2'), (12, 'k1 k2'), (16, 'k1 k2 k3')):
        for name in names.split():
            simulation.at(at, lambda name=name: simulation.pause(name, 3.5))
    return simulation.run(21)


def run_keeper_without_primary(seed):
    """A single keeper cannot reach the primary."""
    simulation = Simulation(seed)
    simulation.at(4, lambda: simulation.cuts.add(frozenset(('k2', 'a'))))
    return simulation.run(12)


def find_false_suspicions(simulation):
    found = find_violations(simulation)
    if simulation.promotions:
        found.append('promoted a replica although the primary was healthy')
    for _, _, entry in simulation.journal_entries:
        if entry.name == 'suspicion' and simulation.cuts == set():
            found.append('suspected a healthy instance')
    return found


@pytest.mark.parametrize(
    ('mutate', 'scenario', 'check'),
    [
        (skip_quorum, run_partitioned_replica, find_violations),
        (skip_seal, run_hidden_primary, find_violations),
        (ignore_ballots, run_late_promotion, find_violations),
        (accept_rival_of_same_term, run_racing_keepers, find_violations),
        (promote_least_advanced, run_lagging_replica, find_violations),
        (
            use_received_mark_as_held,
            run_replica_behind_in_new_term,
            find_violations,
        ),
        (ignore_own_pauses, run_paused_keepers, find_false_suspicions),
        (require_one_zone, run_keeper_without_primary, find_false_suspicions),
    ],
)
def test_violations_are_detected_when_a_safeguard_is_removed(
    mutate,
    scenario,
    check,
    monkeypatch,
):
    for seed in range(4):
        assert check(scenario(seed)) == [], seed
    mutate(monkeypatch)
    assert any(check(scenario(seed)) for seed in range(20))
