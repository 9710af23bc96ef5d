"""Random sequences of faults, generated and shrunk by Hypothesis."""

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.failovermodel import Simulation

INSTANCES = st.sampled_from('abc')
KEEPERS = st.sampled_from(('k1', 'k2', 'k3'))
EXAMPLES = int(os.environ.get('FAILOVER_EXAMPLES', '12'))


class FailoverMachine(RuleBasedStateMachine):
    """Applies any sequence of faults to a group, then heals it."""

    @initialize(seed=st.integers(0, 10**6))
    def start(self, seed):
        self.simulation = Simulation(seed).run(2)

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.5, 4.0)))
    def wait(self, seconds):
        self.simulation.run(self.simulation.now + seconds)

    @rule(name=INSTANCES)
    def kill(self, name):
        self.simulation.instances[name].is_alive = False

    @rule(name=INSTANCES)
    def freeze(self, name):
        self.simulation.instances[name].is_frozen = True

    @rule(name=INSTANCES)
    def restart(self, name):
        self.simulation.instances[name].is_alive = True
        self.simulation.unfreeze(name)

    @rule(name=INSTANCES)
    def lag(self, name):
        self.simulation.slow_replicas.add(name)

    @rule(zone=st.sampled_from((1, 2, 3)))
    def isolate(self, zone):
        self.simulation.isolate((zone,))

    @rule(one=KEEPERS | INSTANCES, other=INSTANCES)
    def cut(self, one, other):
        self.simulation.cuts.add(frozenset((one, other)))

    @precondition(lambda self: self.simulation.cuts)
    @rule()
    def reconnect(self):
        self.simulation.cuts.clear()
        self.simulation.slow_replicas.clear()

    @rule(name=KEEPERS, seconds=st.sampled_from((0.7, 3.0)))
    def pause(self, name, seconds):
        self.simulation.pause(name, seconds)

    @rule(behaviour=st.sampled_from(('up', 'down', 'slow', 'loses')))
    def change_store(self, behaviour):
        self.simulation.store.behaviour = behaviour

    @rule()
    def lose_answers(self):
        self.simulation.lost_answers = 2

    @invariant()
    def violates_no_guarantee(self):
        if hasattr(self, 'simulation'):
            assert self.simulation.violations == []

    def teardown(self):
        if hasattr(self, 'simulation'):
            self.simulation.heal()
            self.simulation.run(self.simulation.now + 15)
            assert self.simulation.check_final_state() == []


FailoverMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestFailoverMachine = FailoverMachine.TestCase
