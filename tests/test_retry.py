import random

import pytest

from catkincrank.retry import Backoff, GiveUp, Retry, RetryBudget, plan_retry
from catkincrank.verdict import Verdict


def plan(verdict=Verdict.NOT_RUN, attempt=1, deadline=60, budget=None):
    return plan_retry(
        verdict,
        attempt,
        10,
        deadline,
        budget=budget or RetryBudget(),
        backoff=Backoff(),
        source=random.Random(attempt),
    )


@pytest.mark.parametrize('verdict', [Verdict.RAN, Verdict.MAY_HAVE_RUN])
def test_only_not_run_is_retried(verdict):
    assert plan(verdict) == GiveUp('it may have run', None)


@pytest.mark.parametrize('attempt', [1, 2, 5, 10, 1000])
def test_delay_is_bounded(attempt):
    answer = plan(attempt=attempt)
    assert isinstance(answer, Retry)
    assert 10.005 <= answer.at <= 10 + min(1, 0.02 * 2 ** (attempt - 1))


def test_gives_up_at_once_before_a_deadline():
    answer = plan(attempt=10, deadline=10.004)
    assert isinstance(answer, GiveUp)
    assert answer.retry_after_s > 0


def test_budget_ends_a_storm():
    budget = RetryBudget(ratio=0.2, reserve=5)
    answers = [plan(budget=budget) for _ in range(50)]
    assert sum(isinstance(one, Retry) for one in answers) == 5
    for _ in range(100):
        budget.record_request()
        plan(budget=budget)
    assert budget.balance < 1


def test_jitter_spreads():
    source = random.Random(1)
    delays = [Backoff().delay(8, source) for _ in range(100)]
    assert max(delays) - min(delays) > 0.5
