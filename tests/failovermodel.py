"""Discrete-event simulation of a group, its keepers and callers.

Instances follow the rules of ``endpoints/postgres.py``. The keepers run the
product's own decision code; only the network, the instances and the store are
simulated.
"""

import heapq
import itertools
import random

from catkincrank import failoveractions as actions
from catkincrank.acknowledgement import WriteStatus
from catkincrank.acknowledgements.replica import ReplicaAcknowledgement
from catkincrank.confirmation import PeerReport
from catkincrank.feed import Feed
from catkincrank.history import History, LogMark, TermStart
from catkincrank.instance import Ballot, InstanceStatus, Observation, Role
from catkincrank.quorum import find_held_mark
from catkincrank.supervision import (
    ReportSuspicion,
    Supervision,
    SupervisionOptions,
)

GROUP = 'team/ledger'
NAMES = ('a', 'b', 'c')
ZONES = {
    'a': 1,
    'b': 2,
    'c': 3,
    'd': 1,
    'e': 2,
    'k1': 1,
    'k2': 2,
    'k3': 3,
    'p1': 1,
    'p2': 2,
}
TICK_S = 0.1
POLL_S = 0.25
TIMEOUT_S = 1.0
MAX_PENDING = 10


class Instance:
    """A simulated database instance."""

    def __init__(self, name):
        self.name = name
        self.role = Role.REPLICA
        self.history = History((TermStart(1, 0),))
        self.log = []
        self.follows = ''
        self.sealed = Ballot(1, 'initial')
        self.incarnation = 1
        self.is_alive = True
        self.is_frozen = False
        self.is_read_only = False
        self.backlog = []

    @property
    def serves(self):
        return self.is_alive and not self.is_frozen

    def status(self):
        return InstanceStatus(
            self.name,
            str(self.incarnation),
            self.role,
            self.history,
            len(self.log),
            len(self.log),
            self.follows,
            self.sealed,
        )

    def apply(self, action):
        """Execute one action as the PostgreSQL driver does."""
        held = self.sealed
        ballot = action.ballot
        is_free = held.term < ballot.term
        if isinstance(action, actions.Seal):
            if is_free or (held == ballot and self.follows):
                self.sealed, self.follows, self.is_read_only = ballot, '', True
        elif isinstance(action, actions.Promote) and held == ballot:
            if self.role is Role.REPLICA and not self.follows:
                self.role = Role.PRIMARY
                self.history = self.history.extend(ballot.term, len(self.log))
            self.is_read_only = False
        elif isinstance(action, actions.Follow) and held.term <= ballot.term:
            self.sealed, self.follows = ballot, action.primary
        return self.status()

    def replicate(self, source, batch):
        if source.history.term < self.history.term:
            return
        is_prefix = source.log[: len(self.log)] == self.log
        if self.role is Role.PRIMARY or not is_prefix:
            self.role = Role.REPLICA
            self.incarnation += 1
            self.log = list(source.log)
        self.history = source.history
        end = len(self.log)
        self.log.extend(source.log[end : end + batch])


class Store:
    """The row of the store in which keepers claim terms."""

    def __init__(self):
        self.row = actions.ClaimRecord()
        self.behaviour = 'up'

    def apply(self, action):
        if isinstance(action, actions.ReadClaim):
            return self.row
        wanted = action.record
        if wanted.version != self.row.version:
            return None
        self.row = actions.ClaimRecord(
            wanted.term,
            wanted.keeper,
            wanted.primary,
            wanted.position,
            wanted.version + 1,
        )
        return self.row


class Keeper:
    """A keeper: the decision code, and whether it is running."""

    def __init__(self, name, rank, names, seed, **options):
        self.name = name
        self.paused_until = 0
        self.is_alive = True
        zone = 'z{0}'.format(ZONES[name])
        self.supervision = Supervision(
            SupervisionOptions(names, name, zone, rank=rank, **options),
            0,
            random.Random(seed),
        )


class Caller:
    """The write path of a proxy: commits, then waits for acknowledgement."""

    def __init__(self, name, names):
        self.name = name
        self.feed = Feed()
        self.feed.set_members(GROUP, names)
        self.pending = {}


class Simulation:
    """Processes the events of all nodes in order of simulated time.

    Attributes:
        cuts: Pairs of nodes that cannot reach each other.
        slow_replicas: Replicas that receive no new log records.
        lost_answers: Number of answers of instances still to be lost.
        hold_promotion_s: Delay of the next promotion request.
        acknowledged: Log mark of each acknowledged write.
        acknowledged_at: Times of acknowledgements; begins with the start.
        promotions: Term, instance and time of each promotion.
        journal_entries: Time, keeper and action of each journal entry.
        on_phase: Called after actions of a failover, with its phase.
    """

    def __init__(self, seed=0, names=NAMES, policy=None, **options):
        self.policy = policy or ReplicaAcknowledgement()
        self.random_source = random.Random(seed)
        self.now = 0.0
        self.names = names
        self.instances = {name: Instance(name) for name in names}
        self.instances['a'].role = Role.PRIMARY
        for name in names[1:]:
            self.instances[name].follows = 'a'
        self.store = Store()
        self.keepers = {
            name: Keeper(name, rank, names, seed * 7 + rank, **options)
            for rank, name in enumerate(('k1', 'k2', 'k3'))
        }
        self.callers = [Caller('p1', names), Caller('p2', names)]
        self.cuts = set()
        self.slow_replicas = set()
        self.lost_answers = 0
        self.hold_promotion_s = 0
        self.acknowledged = {}
        self.acknowledged_at = [0.0]
        self.promotions = []
        self.journal_entries = []
        self.violations = []
        self.on_phase = None
        self._events = []
        self._numbers = itertools.count()
        self._ids = itertools.count(1)
        self._every(0.02, self._replicate)
        for caller in self.callers:
            self._every(0.1, lambda caller=caller: self._write(caller))
        for keeper in self.keepers.values():
            offset = self.random_source.uniform(0, TICK_S)
            self._later(offset, lambda keeper=keeper: self._tick(keeper))
            for name in names:
                self._later(
                    self.random_source.uniform(0, POLL_S),
                    lambda keeper=keeper, name=name: self._poll(keeper, name),
                )

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, work = heapq.heappop(self._events)
            work()
        self.now = until
        return self

    def at(self, moment, work):
        heapq.heappush(self._events, (moment, next(self._numbers), work))

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    def isolate(self, zones):
        """Cut every link with one end in ``zones`` and the other outside."""
        for one, other in itertools.combinations(ZONES, 2):
            if (ZONES[one] in zones) != (ZONES[other] in zones):
                self.cuts.add(frozenset((one, other)))

    def heal(self):
        self.cuts.clear()
        self.slow_replicas.clear()
        self.store.behaviour = 'up'
        for name, instance in self.instances.items():
            instance.is_alive = True
            self.unfreeze(name)
        for keeper in self.keepers.values():
            keeper.paused_until = min(keeper.paused_until, self.now)

    def unfreeze(self, name):
        instance = self.instances[name]
        instance.is_frozen = False
        backlog, instance.backlog = instance.backlog, []
        for work in backlog:
            work()

    def pause(self, name, seconds):
        self.keepers[name].paused_until = self.now + seconds

    def primary(self):
        primaries = [
            instance
            for instance in self.instances.values()
            if instance.role is Role.PRIMARY
        ]
        return max(primaries, key=lambda found: found.history.term)

    def check_final_state(self):
        """Return all violations, with those of the state after ``heal``.

        Call it after the group had time to recover: a write must have been
        acknowledged in the last second.
        """
        log = set(self.primary().log)
        lost = [number for number in self.acknowledged if number not in log]
        if lost and self.policy.outlives_primary:
            self.violations.append('{0} writes lost'.format(len(lost)))
        terms = [term for term, _, _ in self.promotions]
        if len(set(terms)) != len(terms):
            self.violations.append('two primaries in one term')
        if self.acknowledged_at[-1] < self.now - 1:
            self.violations.append('no write acknowledged in the last second')
        return self.violations

    def longest_gap(self):
        moments = [*self.acknowledged_at, self.now]
        return max(end - at for at, end in itertools.pairwise(moments))

    def _later(self, delay, work):
        self.at(self.now + delay, work)

    def _every(self, interval, work):
        def repeat():
            work()
            self._later(interval, repeat)

        self._later(interval, repeat)

    def _replicate(self):
        for instance in self.instances.values():
            source = self.instances.get(instance.follows)
            if source is None or not (instance.serves and source.serves):
                continue
            if source.role is Role.REPLICA:
                continue
            if self.is_cut(instance.name, source.name):
                continue
            slow = instance.name in self.slow_replicas
            instance.replicate(source, 0 if slow else 20)

    def _write(self, caller):
        found = caller.feed.primary(GROUP)
        if found is None or len(caller.pending) > MAX_PENDING:
            return
        instance = self.instances[found.status.endpoint]
        can_write = instance.role is Role.PRIMARY and not instance.is_read_only
        if not instance.serves or not can_write:
            return
        if self.is_cut(caller.name, instance.name):
            return
        number = next(self._ids)
        instance.log.append(number)
        mark = LogMark(instance.history.term, len(instance.log))
        caller.pending[number] = mark

    def _observe(self, caller, observation):
        caller.feed.record(GROUP, observation)
        for number, mark in tuple(caller.pending.items()):
            write_status = self.policy.check(GROUP, mark, caller.feed, self.now)
            if write_status is WriteStatus.PENDING:
                continue
            caller.pending.pop(number)
            if write_status is WriteStatus.CONFIRMED:
                self._acknowledge(number, mark)

    def _acknowledge(self, number, mark):
        self.acknowledged[number] = mark
        self.acknowledged_at.append(self.now)
        newest = self.primary()
        is_replaced = mark.term < newest.history.term
        if is_replaced and number not in newest.log:
            self.violations.append('acknowledged by a replaced primary')

    def _defer(self, keeper, work):
        """Run ``work`` in the keeper, once it is no longer paused."""
        if not keeper.is_alive:
            return
        if self.now < keeper.paused_until:
            delay = self.random_source.uniform(0, 0.01)
            self.at(
                keeper.paused_until + delay,
                lambda: self._defer(keeper, work),
            )
            return
        work()

    def _tick(self, keeper):
        def work():
            self._execute(keeper, keeper.supervision.tick(self.now))
            self._later(TICK_S, lambda: self._tick(keeper))

        self._defer(keeper, work)

    def _poll(self, keeper, name):
        def work():
            keeper.supervision.health.record_probe(name, self.now)
            ballot = Ballot(0, '')
            self._ask(
                keeper,
                actions.ReadStatus(name, ballot),
                handle_result,
                handle_result,
            )

        def handle_result(result):
            if isinstance(result, actions.Failed):
                keeper.supervision.health.record_failure(name, result.reason)
                self._later(0.3, lambda: self._poll(keeper, name))
                return
            keeper.supervision.health.record_answer(result.status, self.now)
            self._publish(keeper, result.status)
            failing = keeper.supervision.failure or keeper.supervision.failover
            delay = 0.05 if failing or self._has_pending_writes() else POLL_S
            self._later(delay, lambda: self._poll(keeper, name))

        self._defer(keeper, work)

    def _has_pending_writes(self):
        return any(caller.pending for caller in self.callers)

    def _publish(self, keeper, status):
        observation = Observation(status, self.now - 0.02)
        for caller in self.callers:
            if not self.is_cut(keeper.name, caller.name):
                self._observe(caller, observation)

    def _ask(self, keeper, action, done, failed):
        """Send an action to an instance and report its result once.

        Args:
            keeper: The keeper that sends it.
            action: The action.
            done: Called with the instance's answer.
            failed: Called if the instance refused or did not answer in time.
        """
        instance = self.instances[action.endpoint]

        def respond(work):
            if not responses:
                responses.append(True)
                self._defer(keeper, work)

        def arrive():
            if self.hold_promotion_s and isinstance(action, actions.Promote):
                delay, self.hold_promotion_s = self.hold_promotion_s, 0
                return self._later(delay, arrive)
            if self.is_cut(keeper.name, instance.name):
                return None
            if not instance.is_alive:
                refused = actions.Failed(action, 'refused')
                return respond(lambda: failed(refused))
            if instance.is_frozen:
                return instance.backlog.append(arrive)
            status = self._apply(instance, action)
            if self.lost_answers and not isinstance(action, actions.ReadStatus):
                self.lost_answers -= 1
                return None
            result = actions.Done(action, status)
            return self._later(
                self.random_source.uniform(0.001, 0.01),
                lambda: respond(lambda: done(result)),
            )

        responses = []
        expired = actions.Failed(action, 'timeout')
        self._later(TIMEOUT_S, lambda: respond(lambda: failed(expired)))
        self._later(self.random_source.uniform(0.001, 0.01), arrive)

    def _apply(self, instance, action):
        was_primary = instance.role is Role.PRIMARY
        held = instance.sealed
        status = instance.apply(action)
        if instance.role is Role.PRIMARY and not was_primary:
            if held != action.ballot:
                self.violations.append('promoted by an outdated ballot')
            self._check_promotion(instance, action)
        return status

    def _check_promotion(self, instance, action):
        term = instance.history.term
        self.promotions.append((term, instance.name, self.now))
        held = set(instance.log)
        is_newest = term == max(begun for begun, _, _ in self.promotions)
        lost = [found for found in self.acknowledged if found not in held]
        if is_newest and lost and self.policy.outlives_primary:
            self.violations.append('promoted without an acknowledged write')
        for other in self.instances.values():
            if other.sealed != action.ballot or other.role is Role.PRIMARY:
                continue
            if find_held_mark(other.status()) > LogMark(term, len(held)):
                self.violations.append('promoted a less advanced replica')

    def _execute(self, keeper, wanted):
        failover = keeper.supervision.failover
        for action in wanted:
            self._execute_one(keeper, action)
        if failover is not None and self.on_phase:
            self.on_phase(self, keeper, failover.phase)

    def _execute_one(self, keeper, action):
        def finish(event):
            self._execute(keeper, keeper.supervision.handle(event, self.now))

        if isinstance(action, actions.JournalEntry):
            self.journal_entries.append((self.now, keeper.name, action))
        elif isinstance(action, ReportSuspicion):
            self._send_report(keeper, action)
        elif isinstance(action, actions.InstanceAction):
            self._ask(keeper, action, finish, finish)
        else:
            self._ask_store(keeper, action, finish)

    def _send_report(self, keeper, report):
        for other in self.keepers.values():
            if other is keeper or self.is_cut(keeper.name, other.name):
                continue

            def receive(other=other):
                received = PeerReport(
                    keeper.name,
                    keeper.supervision.options.zone,
                    report.silent_s,
                    self.now,
                )
                other.supervision.record_report(report.endpoint, received)

            self._later(
                0.003,
                lambda receive=receive, other=other: self._defer(
                    other,
                    receive,
                ),
            )

    def _ask_store(self, keeper, action, finish):
        def answer():
            record = self.store.apply(action)
            if record is None:
                event = actions.Failed(action, 'conflict', is_conflict=True)
            else:
                event = actions.Done(action, record=record)
            if self.store.behaviour == 'loses':
                event = actions.Failed(action, 'no answer')
            self._defer(keeper, lambda: finish(event))

        if self.store.behaviour == 'down':
            event = actions.Failed(action, 'down')
            self._later(0.3, lambda: self._defer(keeper, lambda: finish(event)))
            return
        slow = self.store.behaviour == 'slow'
        self._later(2.0 if slow else 0.005, answer)
