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


def ask(name, at=0, **fields):
    return RequestSubmitted(at, name, **{'session': 's', **fields})


def write(name, at=0, version=1, **fields):
    return ask(name, at, item='x', version=version, **fields)


def answer(name, at=1, verdict=RAN, **fields):
    return RequestAnswered(at, name, verdict, **fields)


def run(at, transaction, place, connection='c1'):
    return StatementRan(at, 'a', connection, transaction, place)


def use(at, version, change='c', process='p'):
    return SettingsInForce(at, process, 't', version, change)


def accept(at, version, change='c'):
    return SettingsAccepted(at, 't', version, change)


def change(at, state, process='p'):
    return ProcessChanged(at, process, state)


FIRST, INNER = StatementPlace.FIRST, StatementPlace.INNER
LAST, ALONE = StatementPlace.LAST, StatementPlace.ALONE
DONE = [write('w'), answer('w'), EffectFound('w', 'x', 1)]
KEYED = {'key': 'k', 'is_idempotent': False}
LOST = answer('w', mark=LogMark(1, 50), outlives_primary=False)

BROKEN = [
    (
        'session_consistency',
        [*DONE, ask('r', 2, item='x'), answer('r', 3, version=0)],
    ),
    (
        'session_consistency',
        [
            *DONE,
            ask('r', 3, item='x', session='other', max_staleness_s=1),
            answer('r', 4, version=0),
        ],
    ),
    (
        'no_acknowledgement_by_replaced_primary',
        [write('w'), answer('w', mark=LogMark(1, 50))],
    ),
    (
        'no_acknowledgement_by_replaced_primary',
        [write('w'), LOST, TermBegan(0.5, 'g', 2, 40)],
    ),
    (
        'transactions_not_mixed',
        [run(0, 't1', FIRST), run(1, 't2', ALONE), run(2, 't1', LAST)],
    ),
    ('transactions_not_mixed', [run(0, 't1', FIRST), run(9, 't2', FIRST)]),
    ('whole_answer_to_own_request', [ask('r'), answer('r', echo='q')]),
    ('whole_answer_to_own_request', [ask('r'), answer('r'), answer('r')]),
    ('whole_answer_to_own_request', [ask('r'), answer('r', is_complete=False)]),
    ('whole_answer_to_own_request', [answer('r')]),
    (
        'not_run_did_not_run',
        [write('w'), answer('w', verdict=NOT_RUN), EffectFound('w', 'x', 1)],
    ),
    (
        'non_idempotent_runs_at_most_once',
        [
            write('w1', **KEYED),
            write('w2', version=2, **KEYED),
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
            ask('r', proxy='p'),
            DrainBegan(1, 'p'),
            answer('r', verdict=MAYBE, is_disconnected=True),
        ],
    ),
    ('drain_cuts_nothing', [ask('r', proxy='p'), DrainBegan(1, 'p')]),
    (
        'settings_in_force_never_revert',
        [accept(0, 1), accept(1, 2), use(2, 2), use(3, 1)],
    ),
    (
        'settings_in_force_never_revert',
        [accept(0, 1), use(0, 1), accept(1, 2), use(13, 2)],
    ),
    (
        'settings_in_force_never_revert',
        [accept(0, 2, 'c'), accept(1, 2, 'd'), use(2, 2, 'c')],
    ),
    ('settings_in_force_never_revert', [accept(0, 1, 'c'), use(1, 1, 'd')]),
]

KEPT = [
    [*DONE, ask('r', 2, item='x'), answer('r', 3, version=1)],
    # Read before the write was acknowledged.
    [*DONE, ask('r', 0.5, item='x'), answer('r', 3, version=0)],
    # Another session's write, young enough to be missed.
    [
        *DONE,
        ask('r', 1.5, item='x', session='other', max_staleness_s=1),
        answer('r', 3, version=0),
    ],
    # Unacknowledged or excused losses.
    [write('w'), answer('w', verdict=MAYBE), TermBegan(0.5, 'g', 2, 40)],
    [write('w'), LOST, TermBegan(1.5, 'g', 2, 40)],
    [write('w'), LOST, TermBegan(0.5, 'g', 2, 50)],
    # A second submission met the first one's row.
    [
        write('w1', **KEYED),
        write('w2', **KEYED),
        answer('w2'),
        EffectFound('w1', 'x', 1, 'k'),
    ],
    [run(0, 't1', FIRST), run(1, 't1', LAST), run(2, 't2', ALONE)],
    [run(0, 't1', FIRST), run(1, 't2', FIRST, 'c2')],
    [LeavingChanged(0, 'a', True), run(4, 't', FIRST), run(9, 't', LAST)],
    [
        LeavingChanged(0, 'a', True),
        LeavingChanged(5, 'a', False),
        run(9, 't', ALONE),
    ],
    # Killed, not drained.
    [
        ask('r', proxy='p'),
        DrainBegan(1, 'p'),
        change(2, ProcessState.KILLED),
    ],
    [accept(0, 1), use(0, 1), accept(1, 2), use(11, 2), use(13, 2)],
    # Cut off, and in time after that.
    [
        accept(0, 1),
        use(0, 1),
        change(1, ProcessState.ISOLATED),
        accept(2, 2),
        change(50, ProcessState.REJOINED),
        use(60, 2),
        change(80, ProcessState.STOPPED),
    ],
]


@pytest.mark.parametrize(('invariant', 'records'), BROKEN)
def test_finds(invariant, records):
    found = check_history(RecordedHistory(records))
    assert [name for name, broken in found.items() if broken] == [invariant]
    assert all(one.explanation for one in found[invariant])


@pytest.mark.parametrize('records', KEPT)
def test_accepts(records):
    found = check_history(RecordedHistory(records))
    assert not [one for broken in found.values() for one in broken]


def test_every_invariant_is_shown_to_fail():
    assert {name for name, _ in BROKEN} == set(INVARIANTS.names())
    assert len(INVARIANTS.names()) == 9
