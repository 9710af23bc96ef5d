import random
from collections import Counter

import pytest

from catkincrank.fairqueue import FairQueue, QueueEntry


def fill(queue, plan):
    """Push ``count`` requests of each team; return the evicted entries."""
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
def test_teams_are_served_in_proportion_to_weight(plan, served, expected):
    queue = FairQueue(200)
    fill(queue, plan)
    teams = Counter(queue.pop().team for _ in range(served))
    assert teams == expected


def test_idle_team_accumulates_no_credit():
    queue = FairQueue(200)
    fill(queue, [('a', 40, 1)])
    for _ in range(20):
        queue.pop()
    fill(queue, [('b', 40, 1)])
    teams = Counter(queue.pop().team for _ in range(10))
    assert teams == {'a': 5, 'b': 5}


def test_queueing_one_request_at_a_time_gains_no_share():
    queue = FairQueue(200)
    fill(queue, [('a', 90, 3), ('b', 1, 1)])
    served = Counter()
    for number in range(1000, 1040):
        team = queue.pop().team
        served[team] += 1
        if team == 'b':
            queue.push(QueueEntry(number, 'b', 100))
    assert served == {'a': 30, 'b': 10}


def test_full_queue_evicts_newest_requests_of_burst():
    queue = FairQueue(10)
    removed = fill(queue, [('a', 12, 1), ('b', 4, 1)])
    assert [entry.team for entry in removed if entry] == ['a'] * 6
    # The newest requests of the burst are evicted; the oldest are served.
    waiting = [e.request_id for e in queue.list_entries() if e.team == 'a']
    assert waiting == list(range(6))
    assert len(queue) == 10


@pytest.mark.parametrize('seed', range(5))
def test_random_operations_match_a_simple_model(seed):
    source = random.Random(seed)
    queue, waiting = FairQueue(20), {}
    for number in range(400):
        entry = QueueEntry(number, source.choice('abc'), source.random())
        if source.random() < 0.6:
            waiting[number] = entry
            removed = [queue.push(entry)]
        elif source.random() < 0.5:
            removed = [queue.pop()]
        elif source.random() < 0.5:
            removed = [queue.remove(source.choice([*waiting, -1]))]
        else:
            now = source.random() / 4
            removed = queue.expire(now)
            assert {e.request_id for e in removed} == {
                key for key, e in waiting.items() if e.deadline <= now
            }
        for one in filter(None, removed):
            waiting.pop(one.request_id)
        assert {e.request_id for e in queue.list_entries()} == set(waiting)
        assert len(queue) == len(waiting) <= 20


def test_count_ahead_counts_requests_served_first():
    queue = FairQueue(100)
    fill(queue, [('a', 30, 1)])
    assert queue.count_ahead('a', 1) == 30
    assert queue.count_ahead('b', 1) == 1
    assert queue.count_ahead('b', 2) == 0


def test_pop_returns_only_given_logins():
    queue = FairQueue(10)
    queue.push(QueueEntry(1, 'a', 9, login='x'))
    queue.push(QueueEntry(2, 'b', 9, login='y'))
    assert queue.pop(frozenset('z')) is None
    assert queue.pop(frozenset('y')).request_id == 2
