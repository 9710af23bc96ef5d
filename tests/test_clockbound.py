import random

import pytest

from catkincrank.clockbound import ClockBound


@pytest.mark.parametrize('seed', range(5))
def test_translated_time_is_never_later_than_true_time(seed):
    source = random.Random(seed)
    offset = source.uniform(-1000, 1000)
    bound = ClockBound()
    now = 100.0
    tightest = float('inf')
    for _ in range(400):
        sent_at = now
        arrived_at = sent_at + source.expovariate(100)
        taken_at = arrived_at + source.uniform(-0.2, 0.2)
        now = max(arrived_at, taken_at) + source.expovariate(100)
        bound.record('p', sent_at, arrived_at + offset, now)
        translated = bound.translate(taken_at + offset, now)
        assert translated <= taken_at + 1e-6
        tightest = min(tightest, taken_at - translated)
    assert tightest < 0.005


def test_new_source_discards_bounds_of_the_old_one():
    bound = ClockBound()
    bound.record('p', 10, 5000, 11)
    bound.record('q', 12, 7, 13)
    assert bound.translate(8, 14) <= 13


def test_stopped_clock_discards_older_bounds():
    bound = ClockBound()
    bound.record('p', 10.0, 110.0, 10.1)
    bound.record('p', 11.0, 141.0, 11.1)
    assert bound.translate(141.05, 11.1) == pytest.approx(11.05, abs=0.01)
