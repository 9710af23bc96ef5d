import random

import pytest

from catkincrank.quota import (
    ShareGrant,
    ShareGranter,
    ShareHolder,
    ShareRequest,
    ShareRules,
)
from catkincrank.settings import Limits

RULES = ShareRules(guaranteed=1, lendable=8, lease_s=6)


@pytest.mark.parametrize(
    ('connections', 'control', 'proxies', 'expected'),
    [
        (20, 4, 8, (1, 8)),
        (30, 4, 8, (1, 18)),
        (100, 4, 8, (6, 48)),
        (10, 2, 8, (1, 0)),
        (10, 4, 8, (0, 6)),
        (2, 4, 8, (0, 0)),
    ],
)
def test_shares_stay_within_the_connection_limit(
    connections, control, proxies, expected
):
    limits = Limits(connections, control, proxies=proxies)
    rules = ShareRules.from_limits(limits)
    assert (rules.guaranteed, rules.lendable) == expected
    total = rules.guaranteed * proxies + rules.lendable + control
    assert total <= max(connections, control)


def ready_granter():
    return ShareGranter(RULES, -100)


def lend(granter, proxy, wanted, held=0, now=0):
    request = ShareRequest(proxy, wanted, held, now)
    return granter.answer(request, now, now).count


def test_new_granter_waits_until_earlier_grants_expire():
    granter = ShareGranter(RULES, 0)
    assert lend(granter, 'p', 4, now=6) == 0
    assert lend(granter, 'p', 4, now=6.1) == 4


def test_grant_needs_lock_seen_held_after_the_request():
    granter = ready_granter()
    request = ShareRequest('p', 4, 0, 5)
    assert granter.answer(request, locked_at=4.9, received_at=5).count == 0


def test_lent_connections_are_divided_evenly():
    granter = ready_granter()
    assert lend(granter, 'p', 8) == 8
    assert lend(granter, 'q', 8) == 0
    # At its next renewal the first proxy returns the share of the other.
    assert lend(granter, 'p', 8, held=8, now=1) == 4
    assert lend(granter, 'q', 8, now=1) == 0
    assert lend(granter, 'p', 8, held=4, now=2) == 4
    assert lend(granter, 'q', 8, now=2) == 4


def test_outdated_request_changes_nothing():
    granter = ready_granter()
    assert lend(granter, 'p', 8, now=2) == 8
    assert lend(granter, 'p', 0, now=1) == 0
    assert granter.lent == 8


def test_expired_loan_is_lent_again_after_termination():
    granter = ready_granter()
    lend(granter, 'p', 8)
    assert not granter.expire(6)
    assert [one.proxy for one in granter.expire(6.1)] == ['p']
    assert lend(granter, 'q', 8, now=6.1) == 0
    granter.record_termination('p', 6.1)
    assert lend(granter, 'q', 8, now=6.2) == 8


def test_holder_lowers_its_limit_before_the_grant_expires():
    holder = ShareHolder('p', RULES)
    holder.apply_grant(ShareGrant(3, 6, 10))
    limits = [holder.limit(now) for now in (10, 14.9, 15, 20)]
    assert limits == [4, 4, 1, 1]
    assert not holder.must_close(15.9)
    assert holder.must_close(16)


class Fleet:
    """Proxies and competing granters; messages are delayed, reordered, lost."""

    def __init__(self, seed):
        self.source = random.Random(seed)
        self.now = 0.0
        self.holders = [ShareHolder(f'p{n}', RULES) for n in range(4)]
        self.held = [0] * 4
        self.offsets = [self.source.uniform(-50, 50) for _ in range(4)]
        self.granters = [ShareGranter(RULES, 0)]
        self.requests, self.replies = [], []
        self.peak = 0

    def clock(self, number):
        return self.now + self.offsets[number]

    def step(self):
        self.now += self.source.uniform(0, 0.2)
        act = self.source.choice(
            [
                self.make_request,
                self.answer,
                self.receive_reply,
                self.receive_reply,
                self.open_more,
            ],
        )
        act()
        if self.source.random() < 0.005:
            # The lock is lost without the earlier granter noticing.
            self.granters.append(ShareGranter(RULES, self.now))
        self.enforce_limits()

    def make_request(self):
        number = self.source.randrange(4)
        needed = self.source.choice((0, 2, 9, 9))
        request = self.holders[number].make_request(
            needed, self.held[number], self.clock(number)
        )
        self.requests.append((number, request))

    def answer(self):
        if not self.requests:
            return
        pick = self.source.randrange(len(self.requests))
        number, request = self.requests.pop(pick)
        is_owner = self.source.random() < 0.8
        granter = self.granters[-1 if is_owner else 0]
        # Only the lock holder sees the lock held after the request.
        holds_lock = granter is self.granters[-1]
        locked_at = self.now if holds_lock else self.now - 0.1
        for lapsed in granter.expire(self.now) if holds_lock else ():
            self.held[int(lapsed.proxy[1:])] = 0
            granter.record_termination(lapsed.proxy, self.now)
        grant = granter.answer(request, locked_at, self.now)
        if self.source.random() < 0.9:
            self.replies.append((number, grant))

    def receive_reply(self):
        if self.replies:
            pick = self.source.randrange(len(self.replies))
            number, grant = self.replies.pop(pick)
            self.holders[number].apply_grant(grant)

    def open_more(self):
        number = self.source.randrange(4)
        limit = self.holders[number].limit(self.clock(number))
        if self.held[number] < limit:
            self.held[number] = limit
        self.peak = max(self.peak, sum(self.held))

    def enforce_limits(self):
        for number, holder in enumerate(self.holders):
            clock = self.clock(number)
            if self.source.random() < 0.1:
                self.held[number] = min(self.held[number], holder.limit(clock))
            if holder.must_close(clock):
                self.held[number] = min(self.held[number], RULES.guaranteed)
        lent = sum(max(0, held - RULES.guaranteed) for held in self.held)
        assert lent <= RULES.lendable


@pytest.mark.parametrize('seed', range(20))
def test_lent_connections_never_exceed_the_limit(seed):
    fleet = Fleet(seed)
    for _ in range(1500):
        fleet.step()
    assert fleet.peak > RULES.lendable
