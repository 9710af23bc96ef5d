import random
from collections import Counter

import pytest

from catkincrank.fairqueue import FairQueue, QueueEntry


def fill(queue, plan):
    """Push ``team x count`` pairs in turn; return what gave way."""
    numbers = iter(range(10_000))
    return [
        queue.push(QueueEntry(next(numbers), team, 100, weight))
        for team, count, weight in plan
        for _ in range(count)
    ]


@pytest.mark.parametrize(
    ('plan', 'served', 'expected'),
    [
        ([('a', 50, 1), ('b', 3, 1)], 6, {'a': 3, 'b': 3}),
        ([('a', 50, 1), ('b', 50, 3)], 20, {'a': 5, 'b': 15}),
        ([('a', 50, 1)], 5, {'a': 5}),
        ([('a', 9, 1), ('b', 9, 1), ('c', 9, 1)], 9, dict.fromkeys('abc', 3)),
    ],
)
def test_serves_by_weight(plan, served, expected):
    queue = FairQueue(200)
    fill(queue, plan)
    teams = Counter(queue.pop().team for _ in range(served))
    assert teams == expected


def test_idle_team_saves_nothing_up():
    queue = FairQueue(200)
    fill(queue, [('a', 40, 1)])
    for _ in range(20):
        queue.pop()
    fill(queue, [('b', 40, 1)])
    teams = Counter(queue.pop().team for _ in range(10))
    assert teams == {'a': 5, 'b': 5}


def test_one_request_at_a_time_is_no_way_round_the_weights():
    queue = FairQueue(200)
    fill(queue, [('a', 90, 3), ('b', 1, 1)])
    served = Counter()
    for number in range(1000, 1040):
        team = queue.pop().team
        served[team] += 1
        if team == 'b':
            queue.push(QueueEntry(number, 'b', 100))
    assert served == {'a': 30, 'b': 10}


def test_burst_gives_way_when_full():
    queue = FairQueue(10)
    gone = fill(queue, [('a', 12, 1), ('b', 4, 1)])
    assert [entry.team for entry in gone if entry] == ['a'] * 6
    # The newest of the burst go, so that who waited longest is served.
    waiting = [e.request_id for e in queue.list_entries() if e.team == 'a']
    assert waiting == list(range(6))
    assert len(queue) == 10


@pytest.mark.parametrize('seed', range(5))
def test_bookkeeping(seed):
    source = random.Random(seed)
    queue, waiting = FairQueue(20), {}
    for number in range(400):
        entry = QueueEntry(number, source.choice('abc'), source.random())
        if source.random() < 0.6:
            waiting[number] = entry
            gone = [queue.push(entry)]
        elif source.random() < 0.5:
            gone = [queue.pop()]
        elif source.random() < 0.5:
            gone = [queue.remove(source.choice([*waiting, -1]))]
        else:
            now = source.random() / 4
            gone = queue.expire(now)
            assert {e.request_id for e in gone} == {
                key for key, e in waiting.items() if e.deadline <= now
            }
        for one in filter(None, gone):
            waiting.pop(one.request_id)
        assert {e.request_id for e in queue.list_entries()} == set(waiting)
        assert len(queue) == len(waiting) <= 20


def test_wait_counts_what_is_served_before():
    queue = FairQueue(100)
    fill(queue, [('a', 30, 1)])
    assert queue.wait_of('a', 1) == 30
    assert queue.wait_of('b', 1) == 1
    assert queue.wait_of('b', 2) == 0


def test_pop_by_login():
    queue = FairQueue(10)
    queue.push(QueueEntry(1, 'a', 9, login='x'))
    queue.push(QueueEntry(2, 'b', 9, login='y'))
    assert queue.pop(frozenset('z')) is None
    assert queue.pop(frozenset('y')).request_id == 2
