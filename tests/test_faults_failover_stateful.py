"""Random faults in random order, shrunk by hypothesis when one breaks."""

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

from tests.failovermodel import World

INSTANCES = st.sampled_from('abc')
KEEPERS = st.sampled_from(('k1', 'k2', 'k3'))
EXAMPLES = int(os.environ.get('FAILOVER_EXAMPLES', '12'))


class FailoverMachine(RuleBasedStateMachine):
    """The group under any sequence of faults, then healed."""

    @initialize(seed=st.integers(0, 10**6))
    def start(self, seed):
        self.world = World(seed).run(2)

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.5, 4.0)))
    def wait(self, seconds):
        self.world.run(self.world.now + seconds)

    @rule(name=INSTANCES)
    def kill(self, name):
        self.world.instances[name].is_alive = False

    @rule(name=INSTANCES)
    def freeze(self, name):
        self.world.instances[name].is_frozen = True

    @rule(name=INSTANCES)
    def revive(self, name):
        self.world.instances[name].is_alive = True
        self.world.thaw(name)

    @rule(name=INSTANCES)
    def lag(self, name):
        self.world.slow_replicas.add(name)

    @rule(zone=st.sampled_from((1, 2, 3)))
    def isolate(self, zone):
        self.world.isolate((zone,))

    @rule(one=KEEPERS | INSTANCES, other=INSTANCES)
    def cut(self, one, other):
        self.world.cuts.add(frozenset((one, other)))

    @precondition(lambda self: self.world.cuts)
    @rule()
    def mend(self):
        self.world.cuts.clear()
        self.world.slow_replicas.clear()

    @rule(name=KEEPERS, seconds=st.sampled_from((0.7, 3.0)))
    def pause(self, name, seconds):
        self.world.pause(name, seconds)

    @rule(behaviour=st.sampled_from(('up', 'down', 'slow', 'loses')))
    def change_store(self, behaviour):
        self.world.store.behaviour = behaviour

    @rule()
    def lose_answers(self):
        self.world.lost_answers = 2

    @invariant()
    def keeps_its_promises(self):
        if hasattr(self, 'world'):
            assert self.world.violations == []

    def teardown(self):
        if hasattr(self, 'world'):
            self.world.heal()
            self.world.run(self.world.now + 15)
            assert self.world.check_end() == []


FailoverMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestFailoverMachine = FailoverMachine.TestCase
