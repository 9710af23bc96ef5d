import random
import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from catkincrank.fairqueue import QueueEntry
from catkincrank.pool import EndpointPool, PoolOptions
from catkincrank.poolactions import (
    Close,
    Grant,
    Open,
    Probe,
    RefusalCause,
    Refuse,
)

OPTIONS = PoolOptions(queue_length=6)


def make_pool(limit=2, **changes):
    options = PoolOptions(queue_length=6, **changes)
    return EndpointPool('a', limit, options, random.Random(1))


def entry(number, deadline=100, login='x', team='t'):
    return QueueEntry(number, team, deadline, login=login)


def lease_all(pool, now=0):
    """Lease both connections of a pool with limit 2."""
    for number in (1, 2):
        pool.enqueue(entry(number), now)
        pool.opened(number, now)


def kinds(actions):
    return [type(action) for action in actions]


def test_connection_is_opened_leased_and_reused():
    pool = make_pool()
    assert pool.enqueue(entry(7), 0) == [Open(1, 'x')]
    assert pool.opened(1, 0.01) == [Grant(7, 1)]
    assert not pool.give_back(1, 0.02)
    assert pool.enqueue(entry(8), 0.03) == [Grant(8, 1)]


def test_request_waits_at_the_limit():
    pool = make_pool()
    lease_all(pool)
    assert not pool.enqueue(entry(3), 0)
    assert pool.give_back(2, 0.1) == [Grant(3, 2)]


def test_discarded_connection_is_not_reused():
    pool = make_pool(limit=1)
    pool.enqueue(entry(1), 0)
    pool.opened(1, 0)
    pool.enqueue(entry(2), 0)
    assert pool.discard(1, 0.1) == [Close(1)]
    assert pool.held == 1
    assert not pool.give_back(1, 0.1)
    assert pool.closed(1, 0.2) == [Open(2, 'x')]
    assert pool.opened(2, 0.3) == [Grant(2, 2)]


def test_lost_connection_lingers_and_others_are_probed():
    pool = make_pool()
    lease_all(pool)
    pool.give_back(2, 1)
    assert pool.discard(1, 5, is_lost=True) == [Close(1)]
    pool.closed(1, 5)
    assert pool.held == 2
    # The other one last answered before the loss, so it is probed first.
    assert pool.enqueue(entry(3), 5) == [Probe(2)]
    assert pool.probed(2, 5.1, is_alive=False) == [Close(2)]
    pool.closed(2, 5.1)
    assert not pool.tick(5.4)
    assert pool.tick(5.5) == [Open(3, 'x')]


def test_connection_is_granted_after_answered_probe():
    pool = make_pool()
    lease_all(pool)
    pool.give_back(2, 1)
    pool.discard(1, 5, is_lost=True)
    pool.enqueue(entry(3), 5)
    assert pool.probed(2, 5.1, is_alive=True) == [Grant(3, 2)]


def test_idle_connections_are_probed_then_closed():
    pool = make_pool()
    lease_all(pool)
    pool.give_back(1, 0)
    pool.give_back(2, 1)
    assert pool.next_tick_at() == 5
    assert pool.tick(5) == [Probe(1)]
    pool.probed(1, 5, is_alive=True)
    assert Close(1) in pool.tick(60)
    # One idle connection is kept for any length of time.
    assert Close(2) not in pool.tick(1000)


@pytest.mark.parametrize(
    ('deadline', 'waiting', 'cause'),
    [
        (0, 0, RefusalCause.DEADLINE),
        (0.001, 1, RefusalCause.OVERLOADED),
        (100, 6, RefusalCause.OVERLOADED),
    ],
)
def test_request_that_cannot_be_served_is_refused_at_once(
    deadline, waiting, cause
):
    pool = make_pool()
    lease_all(pool)
    for number in range(waiting):
        pool.enqueue(entry(10 + number), 0)
    actions = pool.enqueue(entry(3, deadline), 0)
    assert [(one.request_id, one.cause) for one in actions] == [(3, cause)]
    assert pool.waiting == waiting


@pytest.mark.parametrize(
    ('limit_s', 'expected'),
    [
        (0.3, [RefusalCause.OVERLOADED]),
        (0.9, [RefusalCause.OVERLOADED]),
        (2, []),
    ],
)
def test_wait_must_leave_time_for_the_statement(limit_s, expected):
    """Refuses a request whose wait leaves no time for the statement.

    Under overload such requests were granted a connection so late that their
    deadline passed before the statement was done.
    """
    pool = make_pool()
    lease_all(pool)
    now = 0
    for number in range(60):
        now += 1
        pool.give_back(1, now)
        pool.enqueue(entry(100 + number, now + 5), now)
    actions = pool.enqueue(entry(3, now + limit_s), now)
    assert [one.cause for one in actions] == expected


def test_waiting_request_is_refused_at_its_deadline():
    pool = make_pool()
    lease_all(pool)
    pool.enqueue(entry(3, 2), 0)
    assert pool.next_tick_at() == 2
    refused = pool.tick(2)
    assert [one.cause for one in refused] == [RefusalCause.DEADLINE]


def test_failure_to_open_refuses_requests_and_backs_off():
    pool = make_pool()
    pool.enqueue(entry(1), 0)
    pool.enqueue(entry(2), 0)
    assert not pool.open_failed(1, 0)
    refused = pool.open_failed(2, 0)
    assert {one.cause for one in refused} == {RefusalCause.UNREACHABLE}
    pause = refused[0].retry_after_s
    again = pool.enqueue(entry(3), pause / 2)
    assert again == [Refuse(3, RefusalCause.UNREACHABLE, pause / 2)]
    assert kinds(pool.enqueue(entry(4), pause)) == [Open]


def test_concurrent_attempts_to_open_are_limited():
    pool = make_pool(limit=8)
    actions = [one for n in range(6) for one in pool.enqueue(entry(n), 0)]
    assert kinds(actions) == [Open] * 2
    assert kinds(pool.opened(1, 0)) == [Grant, Open]


def test_lower_limit_closes_idle_then_returned_connections():
    pool = make_pool()
    lease_all(pool)
    pool.give_back(1, 0)
    assert pool.change_limit(0, 1) == [Close(1)]
    assert pool.give_back(2, 2) == [Close(2)]
    refused = pool.enqueue(entry(3), 3)
    assert refused[0].cause is RefusalCause.OVERLOADED


def test_leaving_pool_refuses_until_it_rejoins():
    pool = make_pool()
    lease_all(pool)
    pool.enqueue(entry(3), 0)
    assert pool.leave(1) == [Refuse(3, RefusalCause.LEAVING, 0)]
    assert pool.enqueue(entry(4), 1) == [Refuse(4, RefusalCause.LEAVING, 0)]
    assert pool.give_back(1, 2) == [Close(1)]
    pool.rejoin()
    assert kinds(pool.enqueue(entry(5), 3)) == []
    assert pool.closed(1, 3) == [Open(3, 'x')]


def test_idle_connection_is_closed_for_another_login():
    pool = make_pool()
    lease_all(pool)
    pool.give_back(1, 0)
    pool.give_back(2, 0)
    assert pool.enqueue(entry(3, login='y'), 1) == [Close(1)]
    assert pool.closed(1, 1) == [Open(3, 'y')]
    assert pool.opened(3, 1) == [Grant(3, 3)]


def open_all(pool, *logins):
    """Open one idle connection of each login, in turn used at 0, 1, 2, ..."""
    for now, login in enumerate(logins):
        (action,) = pool.enqueue(entry(100 + now, login=login), now)
        number = action.connection_id
        assert pool.opened(number, now) == [Grant(100 + now, number)]
        pool.give_back(number, now)


def test_least_recently_used_connection_is_evicted():
    pool = make_pool(limit=3)
    open_all(pool, 'x', 'y', 'z')
    pool.enqueue(entry(1, login='x'), 3)
    pool.give_back(1, 3)
    assert pool.enqueue(entry(2, login='w'), 4) == [Close(2)]
    # One close is enough for one request, whatever else is reported meanwhile.
    assert pool.tick(4) == []
    assert pool.closed(2, 4) == [Open(4, 'w')]


def test_connection_that_a_queued_request_needs_is_evicted_last():
    pool = make_pool(limit=2, max_held=3, max_opening=1)
    open_all(pool, 'x', 'y', 'z')
    # Both connections that may be in use are; v and x wait.
    pool.enqueue(entry(1, login='y'), 3)
    pool.enqueue(entry(2, login='z'), 3)
    pool.enqueue(entry(3, login='v', team='v'), 3)
    pool.enqueue(entry(4, login='x', team='x'), 3)
    assert pool.give_back(2, 4) == [Close(2)]
    assert pool.give_back(3, 4) == [Grant(4, 1)]


def test_returned_connection_goes_to_the_next_login_in_turn():
    """Guards against a login that keeps every connection that it returns.

    Its next request was granted the returned connection at once, so that
    requests of other logins waited for as long as it had any queued.
    """
    pool = make_pool(limit=1)
    pool.enqueue(entry(1, login='hot', team='hot'), 0)
    pool.opened(1, 0)
    for number in (2, 3, 4):
        pool.enqueue(entry(number, login='hot', team='hot'), 0)
    pool.enqueue(entry(5, login='small', team='small'), 0)
    # One more request of the same weight may go first, and no other.
    assert pool.give_back(1, 1) == [Grant(2, 1)]
    assert pool.give_back(1, 2) == [Close(1)]
    assert pool.closed(1, 2) == [Open(2, 'small')]
    assert pool.opened(2, 2) == [Grant(5, 2)]
    assert pool.give_back(2, 3) == [Close(2)]
    assert pool.closed(2, 3) == [Open(3, 'hot')]


def test_spare_connection_of_a_waiting_login_is_evicted_at_once():
    """Guards against a request that waits although a connection is unused."""
    pool = make_pool(limit=2, max_held=2)
    open_all(pool, 'x')
    pool.enqueue(entry(1, login='x'), 1)
    (opening,) = pool.enqueue(entry(2, login='x'), 1)
    pool.opened(opening.connection_id, 1)
    pool.enqueue(entry(3, login='y', team='y'), 1)
    pool.enqueue(entry(4, login='x', team='x'), 1)
    assert pool.give_back(1, 2) == [Grant(4, 1)]
    assert pool.give_back(2, 2) == [Close(2)]


def test_idle_connections_of_logins_are_held_beyond_the_limit():
    pool = make_pool(limit=1, max_held=3, login_idle_s=30, idle_s=3)
    open_all(pool, 'x', 'y', 'z')
    assert pool.held == 3
    assert pool.enqueue(entry(1, login='x'), 3) == [Grant(1, 1)]
    # Only one may be in use, although those of y and z are idle.
    assert pool.enqueue(entry(2, login='y'), 3) == []
    assert pool.give_back(1, 3) == [Grant(2, 2)]
    pool.give_back(2, 3)
    assert pool.tick(4.9) == []
    closed = [one for one in pool.tick(40) if isinstance(one, Close)]
    assert len(closed) == 2


def test_request_is_refused_if_only_other_logins_have_connections():
    """Guards against a wait until the deadline for a dead endpoint.

    Idle connections of other organisations made the endpoint look alive.
    """
    pool = make_pool(limit=3)
    open_all(pool, 'x')
    assert pool.enqueue(entry(1, login='y'), 1) == [Open(2, 'y')]
    refused = pool.open_failed(2, 1)
    assert [(one.request_id, one.cause) for one in refused] == [
        (1, RefusalCause.UNREACHABLE)
    ]
    refused = pool.enqueue(entry(2, login='y'), 1)
    assert [one.cause for one in refused] == [RefusalCause.UNREACHABLE]
    assert pool.enqueue(entry(3, login='x'), 1) == [Grant(3, 1)]


def test_eviction_is_unaffected_by_cancelled_requests():
    pool = make_pool(limit=1)
    open_all(pool, 'x')
    assert pool.enqueue(entry(1, login='y'), 1) == [Close(1)]
    pool.cancel(1)
    assert pool.enqueue(entry(2, login='z'), 1) == []
    assert pool.closed(1, 1) == [Open(2, 'z')]
    # The connection of z is not granted to y, who asks before it is open.
    pool.cancel(2)
    assert pool.enqueue(entry(3, login='y'), 1) == []
    assert pool.opened(2, 1) == [Close(2)]


def measure_borrows(count):
    """Return the least time of 300 borrows by ``count`` logins in turn."""
    best = float('inf')
    for _ in range(4):
        pool = make_pool(limit=7, max_held=9)
        for number in range(count):
            _borrow(pool, number, str(number))
        began = time.perf_counter()
        for number in range(300):
            _borrow(pool, number, str(number % count))
        best = min(best, time.perf_counter() - began)
    return best


def _borrow(pool, number, login):
    pending = pool.enqueue(entry(number, login=login, team=login), 0)
    while pending:
        action = pending.pop()
        if isinstance(action, Open):
            pending += pool.opened(action.connection_id, 0)
        elif isinstance(action, Close):
            pending += pool.closed(action.connection_id, 0)
        elif isinstance(action, Grant):
            pending += pool.give_back(action.connection_id, 0)
    assert not pool.waiting


def test_cost_of_a_borrow_is_independent_of_the_number_of_logins():
    """Guards against state that is kept for every organisation ever served.

    The queue kept each team that had ever queued while it was short, and went
    through all of them for each request.
    """
    assert measure_borrows(4000) < 4 * measure_borrows(40)


class PoolMachine(RuleBasedStateMachine):
    """Drives a pool with reports in any order and checks its invariants."""

    options = OPTIONS

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.pool = EndpointPool('a', 3, self.options, random.Random(0))
        self.logins = {}
        self.asked = 0
        self.waiting, self.leased = set(), {}
        self.tasks = {Open: [], Close: [], Probe: []}
        self.closed_ids = set()

    def apply(self, actions):
        for action in actions:
            if isinstance(action, Grant):
                self.waiting.remove(action.request_id)
                assert action.connection_id not in self.leased
                assert action.connection_id not in self.closed_ids
                self.leased[action.connection_id] = action.request_id
                assert (
                    self.pool.find_login(action.connection_id)
                    == self.logins[action.request_id]
                )
            elif isinstance(action, Refuse):
                self.waiting.remove(action.request_id)
            else:
                self.tasks[type(action)].append(action.connection_id)
            if isinstance(action, Open):
                most = max(self.pool.limit, self.options.max_held)
                assert self.pool.held <= most
            if isinstance(action, Close):
                self.closed_ids.add(action.connection_id)

    def pick(self, kind, data):
        waiting = self.tasks[kind]
        index = data.draw(st.integers(0, len(waiting) - 1))
        return waiting.pop(index)

    @rule(wait=st.floats(0.001, 10), login=st.sampled_from('xy'))
    def enqueue(self, wait, login):
        self.asked += 1
        self.waiting.add(self.asked)
        team = 't{0}'.format(self.asked % 3)
        self.logins[self.asked] = login
        asked = entry(self.asked, self.now + wait, login, team)
        self.apply(self.pool.enqueue(asked, self.now))

    @rule(seconds=st.floats(0, 3))
    def pass_time(self, seconds):
        self.now += seconds
        self.apply(self.pool.tick(self.now))

    @precondition(lambda self: self.tasks[Open])
    @rule(data=st.data(), works=st.booleans())
    def finish_open(self, data, works):
        report = self.pool.opened if works else self.pool.open_failed
        self.apply(report(self.pick(Open, data), self.now))

    @precondition(lambda self: self.tasks[Close])
    @rule(data=st.data())
    def finish_close(self, data):
        self.apply(self.pool.closed(self.pick(Close, data), self.now))

    @precondition(lambda self: self.tasks[Probe])
    @rule(data=st.data(), alive=st.booleans())
    def finish_probe(self, data, alive):
        number = self.pick(Probe, data)
        self.apply(self.pool.probed(number, self.now, is_alive=alive))

    @precondition(lambda self: self.leased)
    @rule(data=st.data(), how=st.sampled_from(('clean', 'dirty', 'lost')))
    def end_lease(self, data, how):
        number = data.draw(st.sampled_from(sorted(self.leased)))
        self.leased.pop(number)
        if how == 'clean':
            self.apply(self.pool.give_back(number, self.now))
        else:
            lost = how == 'lost'
            self.apply(self.pool.discard(number, self.now, is_lost=lost))

    @rule(limit=st.integers(1, 4))
    def change_limit(self, limit):
        self.apply(self.pool.change_limit(limit, self.now))

    @invariant()
    def counts_agree(self):
        open_or_closing = len(self.leased) + sum(map(len, self.tasks.values()))
        assert open_or_closing <= self.pool.held
        assert self.pool.waiting == len(self.waiting) <= 6
        assert self.pool.in_use == len(self.leased)

    @invariant()
    def no_request_is_forgotten(self):
        if self.waiting:
            assert self.pool.next_tick_at() < float('inf')


class SharedPoolMachine(PoolMachine):
    """The same with idle connections beyond the limit."""

    options = PoolOptions(queue_length=6, max_held=5, login_idle_s=20)


TestPoolMachine = PoolMachine.TestCase
TestSharedPoolMachine = SharedPoolMachine.TestCase
TestPoolMachine.settings = TestSharedPoolMachine.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
