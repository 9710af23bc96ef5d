"""The soak's checks find what is broken, and a short soak keeps promises."""

from types import SimpleNamespace

import anyio
import pytest

from benchmarks.soak.history import (
    Attempt,
    Cut,
    History,
    Outcome,
    Span,
    VersionSeen,
)
from benchmarks.soak.invariants import find_violations, soak_invariants
from benchmarks.soak.plan import draw_plan, kinds
from benchmarks.soak.run import SoakSize, run_seed
from catkincrank.gateway.position import Position
from catkincrank.standins.memoryendpoints import PrimaryChange

LINK = object()
OTHER_LINK = object()
PROGRAM = ('vm-0', 1)
BOUNDED = 'bounded_staleness'
OWN = 'read_your_writes'


def attempt(number, text=b'READ k', sent_at=1.0, **fields):
    found = Attempt(
        b'%d' % number,
        fields.pop('session', 1),
        fields.pop('consistency', 'primary'),
        text,
        sent_at,
        fields.pop('began_at', sent_at),
        fields.pop('transaction', 0),
        fields.pop('values', {}),
        PROGRAM,
        fields.pop('answered_at', sent_at + 0.1),
        fields.pop('outcome', Outcome.DONE),
        rows=1,
    )
    assert not fields
    return found


def run(number, text=b'READ k', position=(1, 5), **fields):
    return SimpleNamespace(
        request_id=b'%d' % number,
        text=text,
        at=fields.get('at', 1.05),
        position=Position(*position),
        term=fields.get('term', position[0]),
        transaction=fields.get('transaction', 0),
        link=fields.get('link', LINK),
        endpoint_id='i-a',
        was_primary=True,
        values=fields.get('values', {}),
    )


def make(attempts, runs, **more):
    return History(
        attempts={one.request_id: one for one in attempts},
        runs=runs,
        **more,
    )


WRITTEN = attempt(1, b'WRITE k v', sent_at=1)
WRITE_RUN = run(1, b'WRITE k v', (1, 6))


def read_after(age_s, session=2, consistency='primary', position=(1, 5)):
    """Return a history with a commit and a read ``age_s`` later."""
    sent_at = WRITTEN.answered_at + age_s
    read = attempt(2, sent_at=sent_at, session=session, consistency=consistency)
    late = run(2, position=position, at=sent_at + 0.05)
    return make([WRITTEN, read], [WRITE_RUN, late])


def in_transaction(*statements, ends=Outcome.DONE, **fields):
    """Return a history with one transaction, and a run for each statement."""
    texts = (*statements, b'COMMIT')
    attempts = [
        attempt(number, text, transaction=1)
        for number, text in enumerate(texts)
    ]
    attempts[-1].outcome = ends
    runs = [
        run(number, text, transaction=1, **fields)
        for number, text in enumerate(texts)
    ]
    return make(attempts, runs)


def alter(history, **changes):
    for name, found in changes.items():
        setattr(history, name, found)
    return history


def moved_to_other_link():
    history = in_transaction(b'WRITE k v', b'WRITE k v')
    history.runs[1].link = OTHER_LINK
    return history


def retried_first_statement():
    history = in_transaction(b'READ k', b'WRITE k v')
    lost = run(0, transaction=1, link=OTHER_LINK)
    history.runs.insert(0, lost)
    return history


def mixed_on_one_link():
    history = in_transaction(b'WRITE k v')
    history.attempts[b'9'] = attempt(9, session=7, transaction=4)
    history.runs.insert(1, run(9, transaction=1))
    return history


CUT = Cut(attempt(1, outcome=Outcome.UNANSWERED), at=1.5)
QUICK_CUT = Cut(CUT.attempt, at=1.1)
PLANNED = Span('gateway stopped', 'vm-0', 0.5, 3, is_planned=True)
UNPLANNED = Span('store down', 'all', 0.5, 3, is_planned=False)


@pytest.mark.parametrize(
    ('name', 'history'),
    [
        ('asked', make([], [run(1)])),
        ('asked', make([attempt(1)], [run(1, b'READ other')])),
        ('once', make([WRITTEN], [WRITE_RUN, WRITE_RUN])),
        (
            'refused',
            make(
                [attempt(1, b'WRITE k v', outcome=Outcome.NOT_RUN)],
                [WRITE_RUN],
            ),
        ),
        ('refused', in_transaction(b'WRITE k v', ends=Outcome.NOT_RUN)),
        ('whole', make([attempt(1)], [])),
        ('stale', read_after(0)),
        ('stale', read_after(1.6, consistency=BOUNDED)),
        ('stale', read_after(0, session=1, consistency=OWN)),
        (
            'one primary',
            make(
                [WRITTEN],
                [WRITE_RUN],
                primary_changes=[PrimaryChange(1.01, 2, Position(1, 9))],
            ),
        ),
        ('one connection', moved_to_other_link()),
        ('pinned', mixed_on_one_link()),
        ('pinned', make([attempt(1)], [run(1, transaction=3)])),
        ('values', make([attempt(1)], [run(1, values={b'a': b'b'})])),
        ('drain', make([CUT.attempt], [], cuts=[CUT], spans=[PLANNED])),
        (
            'drain',
            make([CUT.attempt], [run(1)], cuts=[QUICK_CUT], spans=[PLANNED]),
        ),
        (
            'versions',
            History(
                versions=[
                    VersionSeen(1, PROGRAM, 3),
                    VersionSeen(2, PROGRAM, 2),
                ],
            ),
        ),
        ('processes', History(faults=['vm-0 ended by itself: 1'])),
    ],
)
def test_broken_promises_are_found(name, history):
    assert name in {text.partition(':')[0] for text in find_violations(history)}


@pytest.mark.parametrize(
    'history',
    [
        read_after(0, position=(1, 6)),
        read_after(1.4, consistency=BOUNDED),
        read_after(0, session=2, consistency=OWN),
        in_transaction(b'READ k', b'WRITE k v'),
        make(
            [WRITTEN],
            [WRITE_RUN],
            primary_changes=[PrimaryChange(1.2, 2, Position(1, 6))],
        ),
        alter(
            read_after(0),
            primary_changes=[PrimaryChange(1.2, 2, Position(1, 5))],
        ),
        make([CUT.attempt], [], cuts=[QUICK_CUT], spans=[PLANNED]),
        make([CUT.attempt], [], cuts=[CUT], spans=[PLANNED, UNPLANNED]),
        make([CUT.attempt], [], cuts=[CUT]),
        retried_first_statement(),
    ],
)
def test_what_is_allowed_is_not_reported(history):
    assert find_violations(history) == []


def test_every_promise_has_a_check():
    assert len(soak_invariants.names()) >= 10


def test_plans_repeat_and_reach_every_kind():
    plans = [draw_plan(seed, 12) for seed in range(100)]
    assert plans == [draw_plan(seed, 12) for seed in range(100)]
    assert {one.kind for plan in plans for one in plan} == set(kinds.names())


SMALL = SoakSize(6, 3, 8)


@pytest.mark.timeout(300)
@pytest.mark.parametrize(
    ('seed', 'size'),
    [
        (1, SMALL),
        # A first statement without an answer ran again elsewhere: allowed.
        (22, SMALL),
        # Each endpoint took itself for the primary; nobody led any more.
        (44, SoakSize()),
        # A write was in doubt while the duty changed hands.
        (114, SMALL),
    ],
)
def test_short_soak(seed, size, tmp_path):
    history = anyio.run(run_seed, seed, size, tmp_path)
    assert find_violations(history) == []
    assert any(one.outcome is Outcome.DONE for one in history.attempts.values())
