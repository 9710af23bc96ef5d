"""A settings change under each fault and pair of faults, at each step."""

import itertools
import random

import pytest

from benchmarks.relayfleet import Fleet
from catkincrank.fleetinvariants import check_settings
from catkincrank.records import (
    ProcessChanged,
    ProcessState,
    RecordedHistory,
    SettingsAccepted,
    SettingsInForce,
)

TEAM = 'sawari'
ZONES = {'kathmandu': 4, 'biratnagar': 4, 'pokhara': 4}
FAULT_DURATION_S = 8
PROPAGATION_LIMIT_S = 11
STEPS = ('before', 'announced', 'accepted', 'read', 'spread')
FAULTS = (
    'store_down',
    'store_slow',
    'store_stale',
    'reader_dead',
    'relay_dead',
    'zone_cut',
    'restart',
)


class FaultRun:
    """One run of a keeper fleet, with the records that the invariants need."""

    def __init__(self, seed):
        self.fleet = Fleet(ZONES, seed)
        self.random = random.Random(seed)
        self.changes = []
        self.accepted = []
        self.incarnations = dict.fromkeys(self.fleet.zone_of, 0)
        self.killed = []
        self.accept()
        for name in self.fleet.zone_of:
            self.fleet.start(name, (TEAM,))
        self.fleet.run(8)

    def accept(self):
        row = self.fleet.accept(TEAM, len(self.accepted) + 1)
        self.record(row)
        return row

    def record(self, row):
        self.accepted.append(
            SettingsAccepted(self.fleet.now, TEAM, row.version, row.change_id)
        )

    def inject(self, fault):
        faults = self.fleet.faults
        if fault == 'store_down':
            faults.store_is_down = True
        elif fault == 'store_slow':
            faults.store_delay_s = 3
        elif fault == 'store_stale':
            faults.stale_by = 1
        elif fault == 'zone_cut':
            faults.cut_zones = {'pokhara'}
        else:
            self._kill(fault)

    def clear_faults(self):
        faults = self.fleet.faults
        faults.store_is_down = False
        faults.store_delay_s = 0.01
        faults.stale_by = 0
        faults.cut_zones = set()
        for name in sorted(faults.dead):
            self._restart(name)

    def check(self):
        records = [*self.accepted, *self.changes]
        keys = {row.change_id for row in self.accepted}
        assert len(keys) == len(self.accepted)
        change_ids = {row.version: row.change_id for row in self.accepted}
        for (name, team), held in self.fleet.in_force.items():
            records.extend(
                SettingsInForce(
                    at, self._label(name), team, version, change_ids[version]
                )
                for at, version in held
            )
        records.extend(self.killed)
        assert not list(check_settings(RecordedHistory(records)))
        newest = self.accepted[-1].version
        assert set(self.fleet.versions(TEAM).values()) == {newest}

    def replace(self, *names):
        """Kill processes and start new incarnations of them."""
        for name in names:
            self._record_kill(name)
            self._restart(name)

    def _kill(self, fault):
        readers = self.fleet.relays['kathmandu-0'].roster.readers
        others = [
            name
            for name in self.fleet.zone_of
            if name not in readers and name.startswith('kathmandu')
        ]
        victims = readers if fault == 'reader_dead' else others
        if fault == 'restart':
            victims = tuple(self.fleet.zone_of)
        for name in victims:
            self._record_kill(name)
            self.fleet.faults.dead.add(name)
        if fault == 'restart':
            self.fleet.run(0.2)
            for name in victims:
                self._restart(name)

    def _record_kill(self, name):
        """Record the kill of a process, and what it had in force until then."""
        now = self.fleet.now
        held = self.fleet.in_force.pop((name, TEAM), [])
        label = self._label(name)
        change_ids = {row.version: row.change_id for row in self.accepted}
        self.killed.extend(
            SettingsInForce(at, label, TEAM, version, change_ids[version])
            for at, version in held
        )
        self.killed.append(ProcessChanged(now, label, ProcessState.KILLED))
        self.incarnations[name] += 1

    def _restart(self, name):
        self.fleet.faults.dead.discard(name)
        self.fleet.start(name, (TEAM,))
        self.changes.append(
            ProcessChanged(
                self.fleet.now, self._label(name), ProcessState.STARTED
            )
        )

    def _label(self, name):
        return '{0}#{1}'.format(name, self.incarnations[name])


def run_case(run, step, faults):
    """Change the settings once and inject the faults at ``step`` of it."""
    fleet = run.fleet
    if step == 'before':
        for fault in faults:
            run.inject(fault)
        fleet.run(1)
    number = fleet.table.announce(TEAM, 2)
    if step == 'announced':
        for fault in faults:
            run.inject(fault)
    fleet.run(0.3)
    row = fleet.table.write('settings/sawari', b'{"weight":2}')
    run.record(row)
    assert number == len(fleet.table.rows['settings-index'])
    fleet.push_from_writer(row, TEAM, 'biratnagar-1')
    if step == 'read':
        while set(fleet.versions(TEAM).values()) == {1}:
            fleet.run(0.05)
    elif step == 'spread':
        fleet.run(0.002)
    if step in {'accepted', 'read', 'spread'}:
        for fault in faults:
            run.inject(fault)
    fleet.run(FAULT_DURATION_S)
    run.clear_faults()
    fleet.run(2 * PROPAGATION_LIMIT_S)
    run.check()


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', FAULTS)
def test_invariants_hold_with_each_fault_at_each_step(fault, step, seed):
    run_case(FaultRun(seed), step, [fault])


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('pair', list(itertools.combinations(FAULTS, 2)))
def test_invariants_hold_with_pairs_of_faults_at_each_step(pair, step):
    run_case(FaultRun(7), step, pair)


def test_change_survives_outage_after_it_was_read_without_push():
    run = FaultRun(1)
    run.accept()
    while set(run.fleet.versions(TEAM).values()) == {1}:
        run.fleet.run(0.01)
    run.inject('store_down')
    run.fleet.run(PROPAGATION_LIMIT_S)
    run.check()


@pytest.mark.parametrize('seed', range(5))
def test_new_processes_refuse_stale_rows_of_the_store(seed):
    run = FaultRun(seed)
    run.accept()
    run.fleet.run(PROPAGATION_LIMIT_S)
    run.inject('store_stale')
    names = ('kathmandu-2', 'kathmandu-3', 'pokhara-0')
    run.replace(*names)
    run.fleet.run(PROPAGATION_LIMIT_S)
    for name in names:
        held = run.fleet.in_force[name, TEAM]
        assert {version for _, version in held} == {2}
    run.check()


def test_process_starts_from_peers_while_the_store_is_down():
    run = FaultRun(3)
    run.inject('store_down')
    run.replace('kathmandu-0')
    run.fleet.run(PROPAGATION_LIMIT_S)
    run.check()


def test_age_grows_during_an_outage_and_recovers():
    run = FaultRun(4)
    run.inject('store_down')
    run.fleet.run(60)
    ages = [
        relay.state.active_settings.age(run.fleet.now)
        for relay in run.fleet.relays.values()
    ]
    assert min(ages) >= 60
    run.clear_faults()
    run.fleet.run(PROPAGATION_LIMIT_S)
    ages = [
        relay.state.active_settings.age(run.fleet.now)
        for relay in run.fleet.relays.values()
    ]
    assert max(ages) < PROPAGATION_LIMIT_S


def test_announced_change_that_was_refused_expires():
    run = FaultRun(5)
    run.fleet.table.announce(TEAM, 2)
    run.fleet.run(PROPAGATION_LIMIT_S)
    run.replace('pokhara-1')
    run.fleet.run(PROPAGATION_LIMIT_S)
    assert run.fleet.version_at('pokhara-1', TEAM) == 1
    # An announced version expires 600 s after its announcement.
    run.fleet.run(700)
    relay = run.fleet.relays['kathmandu-1']
    assert not relay.state.list_unknown()
    assert set(run.fleet.versions(TEAM).values()) == {1}
    run.accept()
    run.fleet.run(PROPAGATION_LIMIT_S)
    run.check()
