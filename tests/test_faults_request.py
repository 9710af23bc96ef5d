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
    """Return a reproducible seed that differs between test cases."""
    return zlib.crc32(':'.join(names).encode()) % 1000


def run(fault, step, seed, **changes):
    return virtualtime.run(run_case, FaultCase(fault, step, seed, **changes))


@pytest.mark.parametrize(
    'case', CASES, ids=lambda one: one.fault + ':' + one.step
)
def test_fault_at_step_violates_no_invariant(case):
    seed = make_seed(case.fault, case.step)
    outcome = run(case.fault, case.step, seed)
    assert outcome.violations == {}
    assert outcome.was_injected


def test_restart_during_key_insertion_violates_no_invariant():
    """The instance restarts while a request key is being inserted."""
    outcome = run('primary_restarted', 'begin', 0)
    assert outcome.violations == {}
    assert outcome.was_injected


@pytest.mark.parametrize(
    'fault', ['proxy_paused', 'cut_primary_off_with_proxy']
)
@pytest.mark.parametrize('step', ['commit_answered', 'acknowledgement'])
def test_bounded_acknowledgement_violates_no_invariant(fault, step):
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
def test_two_faults_violate_no_invariant(fault, second, step, seed):
    assert run(fault, step, seed, second=second).violations == {}


def always_confirm(self, group, mark, feed, now):
    return WriteStatus.CONFIRMED


def return_dirty_connection(self, lease, *, is_lost=False):
    if lease.is_open:
        lease.is_open = False
        lease.member.runner.give_back(lease.connection_id)


def always_resubmit(request, failure):
    return failure.verdict is not Verdict.RAN


MUTATIONS = [
    (
        'no_acknowledgement_by_replaced_primary',
        (ReplicaAcknowledgement, 'check', always_confirm),
        ('primary_killed', 'answer'),
    ),
    (
        'session_consistency',
        ('catkincrank.routing._holds_mark', lambda *args: True),
        ('replicas_lag', 'arrive'),
    ),
    (
        'non_idempotent_runs_at_most_once',
        ('catkincrank.writing.may_resubmit', always_resubmit),
        ('primary_restarted', 'commit_answered'),
    ),
    (
        'not_run_did_not_run',
        (Progress, 'verdict', property(lambda self: Verdict.NOT_RUN)),
        ('cut_primary_from_replicas', 'acknowledgement'),
    ),
    (
        'transactions_not_mixed',
        (Leases, 'discard', return_dirty_connection),
        ('caller_cancels', 'execute'),
    ),
]


@pytest.mark.parametrize(('invariant', 'mutation', 'case'), MUTATIONS)
def test_mutated_decision_violates_its_invariant(
    monkeypatch, invariant, mutation, case
):
    """Checks the fault matrix itself: each mutation breaks one decision.

    The invariant that relies on it must be violated for at least one seed.
    """
    monkeypatch.setattr(*mutation)
    found = set()
    for seed in range(8):
        found.update(run(*case, seed).violations)
        if invariant in found:
            return
    pytest.fail('{0} is not among {1}'.format(invariant, found))
