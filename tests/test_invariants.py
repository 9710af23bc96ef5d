import pytest

from catkincrank.history import LogMark
from catkincrank.invariants import INVARIANTS, check_history
from catkincrank.records import (
    DrainBegan,
    EffectFound,
    LeavingChanged,
    ProcessChanged,
    ProcessState,
    RecordedHistory,
    RequestAnswered,
    RequestSubmitted,
    SettingsAccepted,
    SettingsInForce,
    StatementPlace,
    StatementRan,
    TermBegan,
)
from catkincrank.verdict import Verdict

RAN, NOT_RUN = Verdict.RAN, Verdict.NOT_RUN
MAYBE = Verdict.MAY_HAVE_RUN


def submit(name, at=0, **fields):
    return RequestSubmitted(at, name, **{'session': 's', **fields})


def write(name, at=0, version=1, **fields):
    return submit(name, at, item='x', version=version, **fields)


def answer(name, at=1, verdict=RAN, **fields):
    return RequestAnswered(at, name, verdict, **fields)


def run(at, transaction, place, connection='c1'):
    return StatementRan(at, 'a', connection, transaction, place)


def apply_settings(at, version, change='c', process='p'):
    return SettingsInForce(at, process, 't', version, change)


def accept_settings(at, version, change='c'):
    return SettingsAccepted(at, 't', version, change)


def change_state(at, state, process='p'):
    return ProcessChanged(at, process, state)


FIRST, INNER = StatementPlace.FIRST, StatementPlace.INNER
LAST, ALONE = StatementPlace.LAST, StatementPlace.ALONE
SURVIVING_WRITE = [write('w'), answer('w'), EffectFound('w', 'x', 1)]
KEY_FIELDS = {'key': 'k', 'is_idempotent': False}
UNPROTECTED_ANSWER = answer('w', mark=LogMark(1, 50), outlives_primary=False)

VIOLATING = [
    (
        'session_consistency',
        [*SURVIVING_WRITE, submit('r', 2, item='x'), answer('r', 3, version=0)],
    ),
    (
        'session_consistency',
        [
            *SURVIVING_WRITE,
            submit('r', 3, item='x', session='other', max_staleness_s=1),
            answer('r', 4, version=0),
        ],
    ),
    (
        'no_acknowledgement_by_replaced_primary',
        [write('w'), answer('w', mark=LogMark(1, 50))],
    ),
    (
        'no_acknowledgement_by_replaced_primary',
        [write('w'), UNPROTECTED_ANSWER, TermBegan(0.5, 'g', 2, 40)],
    ),
    (
        'transactions_not_mixed',
        [
            run(0, 't1', FIRST),
            run(1, 't2', ALONE),
            run(2, 't1', LAST),
        ],
    ),
    (
        'transactions_not_mixed',
        [run(0, 't1', FIRST), run(9, 't2', FIRST)],
    ),
    ('whole_answer_to_own_request', [submit('r'), answer('r', echo='q')]),
    ('whole_answer_to_own_request', [submit('r'), answer('r'), answer('r')]),
    (
        'whole_answer_to_own_request',
        [submit('r'), answer('r', is_complete=False)],
    ),
    ('whole_answer_to_own_request', [answer('r')]),
    (
        'not_run_did_not_run',
        [
            write('w'),
            answer('w', verdict=NOT_RUN),
            EffectFound('w', 'x', 1),
        ],
    ),
    (
        'non_idempotent_runs_at_most_once',
        [
            write('w1', **KEY_FIELDS),
            write('w2', version=2, **KEY_FIELDS),
            EffectFound('w1', 'x', 1, 'k'),
            EffectFound('w2', 'x', 2, 'k'),
        ],
    ),
    (
        'non_idempotent_runs_at_most_once',
        [
            write('w', is_idempotent=False),
            EffectFound('w', 'x', 1),
            EffectFound('w', 'x', 2),
        ],
    ),
    (
        'leaving_endpoint_gets_no_work',
        [LeavingChanged(0, 'a', True), run(6, 't', FIRST)],
    ),
    (
        'drain_cuts_nothing',
        [
            submit('r', proxy='p'),
            DrainBegan(1, 'p'),
            answer('r', verdict=MAYBE, is_disconnected=True),
        ],
    ),
    ('drain_cuts_nothing', [submit('r', proxy='p'), DrainBegan(1, 'p')]),
    (
        'settings_in_force_never_revert',
        [
            accept_settings(0, 1),
            accept_settings(1, 2),
            apply_settings(2, 2),
            apply_settings(3, 1),
        ],
    ),
    (
        'settings_in_force_never_revert',
        [
            accept_settings(0, 1),
            apply_settings(0, 1),
            accept_settings(1, 2),
            apply_settings(13, 2),
        ],
    ),
    (
        'settings_in_force_never_revert',
        [
            accept_settings(0, 2, 'c'),
            accept_settings(1, 2, 'd'),
            apply_settings(2, 2, 'c'),
        ],
    ),
    (
        'settings_in_force_never_revert',
        [accept_settings(0, 1, 'c'), apply_settings(1, 1, 'd')],
    ),
]

VALID = [
    [*SURVIVING_WRITE, submit('r', 2, item='x'), answer('r', 3, version=1)],
    # Read before the write was acknowledged.
    [*SURVIVING_WRITE, submit('r', 0.5, item='x'), answer('r', 3, version=0)],
    # Another session's write, recent enough for the accepted staleness.
    [
        *SURVIVING_WRITE,
        submit('r', 1.5, item='x', session='other', max_staleness_s=1),
        answer('r', 3, version=0),
    ],
    # Losses of unacknowledged writes, or that the policy permits.
    [write('w'), answer('w', verdict=MAYBE), TermBegan(0.5, 'g', 2, 40)],
    [write('w'), UNPROTECTED_ANSWER, TermBegan(1.5, 'g', 2, 40)],
    [write('w'), UNPROTECTED_ANSWER, TermBegan(0.5, 'g', 2, 50)],
    # The second submission found the row that the first one wrote.
    [
        write('w1', **KEY_FIELDS),
        write('w2', **KEY_FIELDS),
        answer('w2'),
        EffectFound('w1', 'x', 1, 'k'),
    ],
    [
        run(0, 't1', FIRST),
        run(1, 't1', LAST),
        run(2, 't2', ALONE),
    ],
    [run(0, 't1', FIRST), run(1, 't2', FIRST, 'c2')],
    [
        LeavingChanged(0, 'a', True),
        run(4, 't', FIRST),
        run(9, 't', LAST),
    ],
    [
        LeavingChanged(0, 'a', True),
        LeavingChanged(5, 'a', False),
        run(9, 't', ALONE),
    ],
    # Killed, not drained.
    [
        submit('r', proxy='p'),
        DrainBegan(1, 'p'),
        change_state(2, ProcessState.KILLED),
    ],
    [
        accept_settings(0, 1),
        apply_settings(0, 1),
        accept_settings(1, 2),
        apply_settings(11, 2),
        apply_settings(13, 2),
    ],
    # Isolated, and in time after it rejoined.
    [
        accept_settings(0, 1),
        apply_settings(0, 1),
        change_state(1, ProcessState.ISOLATED),
        accept_settings(2, 2),
        change_state(50, ProcessState.REJOINED),
        apply_settings(60, 2),
        change_state(80, ProcessState.STOPPED),
    ],
]


@pytest.mark.parametrize(('invariant', 'records'), VIOLATING)
def test_violation_is_found_for_its_invariant_only(invariant, records):
    found = check_history(RecordedHistory(records))
    assert [name for name, broken in found.items() if broken] == [invariant]
    assert all(violation.explanation for violation in found[invariant])


@pytest.mark.parametrize('records', VALID)
def test_valid_history_has_no_violation(records):
    found = check_history(RecordedHistory(records))
    assert not [violation for broken in found.values() for violation in broken]


def test_every_invariant_has_a_violating_history():
    assert {name for name, _ in VIOLATING} == set(INVARIANTS.names())
    assert len(INVARIANTS.names()) == 9
