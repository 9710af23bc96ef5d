import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkincrank.acknowledgement import WriteStatus
from catkincrank.acknowledgements.replica import ReplicaAcknowledgement
from catkincrank.leases import Leases
from catkincrank.request import Progress
from catkincrank.standins.faultmatrix import (
    STEPS,
    FaultCase,
    list_cases,
    run_case,
)
from catkincrank.standins.modelfaults import faults
from catkincrank.verdict import Verdict
from tests import virtualtime

CASES = list_cases(range(1))


def make_seed(*names):
    """Spread the cells over seeds, the same ones at each run."""
    return zlib.crc32(':'.join(names).encode()) % 1000


def run(fault, step, seed, **changes):
    return virtualtime.run(run_case, FaultCase(fault, step, seed, **changes))


@pytest.mark.parametrize(
    'case', CASES, ids=lambda one: one.fault + ':' + one.step
)
def test_cell(case):
    seed = make_seed(case.fault, case.step)
    outcome = run(case.fault, case.step, seed)
    assert outcome.violations == {}
    assert outcome.was_injected


def test_statement_of_an_ended_session_writes_nothing():
    """The instance restarts while a request's key is being inserted."""
    outcome = run('primary_restarted', 'begin', 0)
    assert outcome.violations == {}
    assert outcome.was_injected


@pytest.mark.parametrize(
    'fault', ['proxy_paused', 'cut_primary_off_with_proxy']
)
@pytest.mark.parametrize('step', ['commit_answered', 'acknowledgement'])
def test_bounded_acknowledgement(fault, step):
    seed = make_seed(fault, step)
    outcome = run(fault, step, seed, acknowledgement='bounded')
    assert outcome.violations == {}


@settings(derandomize=True, max_examples=15, deadline=None)
@given(
    fault=st.sampled_from(faults.names()),
    second=st.sampled_from(faults.names()),
    step=st.sampled_from(STEPS),
    seed=st.integers(0, 1000),
)
def test_pair(fault, second, step, seed):
    assert run(fault, step, seed, second=second).violations == {}


def confirm_all(self, group, mark, feed, now):
    return WriteStatus.CONFIRMED


def give_back_dirty(self, lease, *, is_lost=False):
    if lease.is_open:
        lease.is_open = False
        lease.member.runner.give_back(lease.connection_id)


def resubmit_all(request, failure):
    return failure.verdict is not Verdict.RAN


MUTATIONS = [
    (
        'no_acknowledgement_by_replaced_primary',
        (ReplicaAcknowledgement, 'check', confirm_all),
        ('primary_killed', 'answer'),
    ),
    (
        'session_consistency',
        ('catkincrank.routing._holds_mark', lambda *args: True),
        ('replicas_lag', 'arrive'),
    ),
    (
        'non_idempotent_runs_at_most_once',
        ('catkincrank.writing.may_resubmit', resubmit_all),
        ('primary_restarted', 'commit_answered'),
    ),
    (
        'not_run_did_not_run',
        (Progress, 'verdict', property(lambda self: Verdict.NOT_RUN)),
        ('cut_primary_from_replicas', 'acknowledgement'),
    ),
    (
        'transactions_not_mixed',
        (Leases, 'discard', give_back_dirty),
        ('caller_cancels', 'execute'),
    ),
]


@pytest.mark.parametrize(('invariant', 'mutation', 'cell'), MUTATIONS)
def test_mutated_decision_is_found(monkeypatch, invariant, mutation, cell):
    """Some seed of the cell shows the fault that the mutation makes."""
    monkeypatch.setattr(*mutation)
    found = set()
    for seed in range(8):
        found.update(run(*cell, seed).violations)
        if invariant in found:
            return
    pytest.fail('{0} is not among {1}'.format(invariant, found))
