"""Violations are found in given records, and a short soak has none."""

import signal
import socket
from types import SimpleNamespace

import anyio
import pytest

from benchmarks.soak import program, testbed
from benchmarks.soak.history import (
    Attempt,
    Cut,
    History,
    Outcome,
    Span,
    VersionSeen,
)
from benchmarks.soak.invariants import find_violations, invariants
from benchmarks.soak.plan import draw_plan, kinds
from benchmarks.soak.run import SoakSize, run_seed
from catkincrank.gateway.position import Position
from catkincrank.standins.memoryendpoints import PrimaryChange

LINK = object()
OTHER_LINK = object()
PROGRAM = ('vm-0', 1)
BOUNDED = 'bounded_staleness'
OWN = 'read_your_writes'


def make_attempt(number, text=b'READ k', sent_at=1.0, **fields):
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


def make_run(number, text=b'READ k', position=(1, 5), **fields):
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


def make_history(attempts, runs, **more):
    return History(
        attempts={one.request_id: one for one in attempts},
        runs=runs,
        **more,
    )


WRITTEN = make_attempt(1, b'WRITE k v', sent_at=1)
WRITE_RUN = make_run(1, b'WRITE k v', (1, 6))


def read_after(age_s, session=2, consistency='primary', position=(1, 5)):
    """Return a history with a commit and a read ``age_s`` later."""
    sent_at = WRITTEN.answered_at + age_s
    read = make_attempt(
        2, sent_at=sent_at, session=session, consistency=consistency
    )
    late = make_run(2, position=position, at=sent_at + 0.05)
    return make_history([WRITTEN, read], [WRITE_RUN, late])


def in_transaction(*statements, ends=Outcome.DONE, **fields):
    """Return a history with one transaction, and a run for each statement."""
    texts = (*statements, b'COMMIT')
    attempts = [
        make_attempt(number, text, transaction=1)
        for number, text in enumerate(texts)
    ]
    attempts[-1].outcome = ends
    runs = [
        make_run(number, text, transaction=1, **fields)
        for number, text in enumerate(texts)
    ]
    return make_history(attempts, runs)


def with_fields(history, **changes):
    for name, found in changes.items():
        setattr(history, name, found)
    return history


def moved_to_other_link():
    history = in_transaction(b'WRITE k v', b'WRITE k v')
    history.runs[1].link = OTHER_LINK
    return history


def retried_first_statement():
    history = in_transaction(b'READ k', b'WRITE k v')
    lost = make_run(0, transaction=1, link=OTHER_LINK)
    history.runs.insert(0, lost)
    return history


def mixed_transactions_on_one_link():
    history = in_transaction(b'WRITE k v')
    history.attempts[b'9'] = make_attempt(9, session=7, transaction=4)
    history.runs.insert(1, make_run(9, transaction=1))
    return history


CUT = Cut(make_attempt(1, outcome=Outcome.UNANSWERED), at=1.5)
QUICK_CUT = Cut(CUT.attempt, at=1.1)
PLANNED = Span('gateway stopped', 'vm-0', 0.5, 3, is_planned=True)
UNPLANNED = Span('store down', 'all', 0.5, 3, is_planned=False)


@pytest.mark.parametrize(
    ('name', 'history'),
    [
        ('asked', make_history([], [make_run(1)])),
        (
            'asked',
            make_history([make_attempt(1)], [make_run(1, b'READ other')]),
        ),
        ('once', make_history([WRITTEN], [WRITE_RUN, WRITE_RUN])),
        (
            'refused',
            make_history(
                [make_attempt(1, b'WRITE k v', outcome=Outcome.NOT_RUN)],
                [WRITE_RUN],
            ),
        ),
        ('refused', in_transaction(b'WRITE k v', ends=Outcome.NOT_RUN)),
        ('whole', make_history([make_attempt(1)], [])),
        ('stale', read_after(0)),
        ('stale', read_after(1.6, consistency=BOUNDED)),
        ('stale', read_after(0, session=1, consistency=OWN)),
        (
            'one primary',
            make_history(
                [WRITTEN],
                [WRITE_RUN],
                primary_changes=[PrimaryChange(1.01, 2, Position(1, 9))],
            ),
        ),
        (
            'durable',
            make_history(
                [WRITTEN],
                [WRITE_RUN],
                primary_changes=[PrimaryChange(1.2, 2, Position(1, 5))],
                is_durable=True,
            ),
        ),
        ('one connection', moved_to_other_link()),
        ('pinned', mixed_transactions_on_one_link()),
        (
            'pinned',
            make_history([make_attempt(1)], [make_run(1, transaction=3)]),
        ),
        (
            'values',
            make_history([make_attempt(1)], [make_run(1, values={b'a': b'b'})]),
        ),
        ('drain', make_history([CUT.attempt], [], cuts=[CUT], spans=[PLANNED])),
        (
            'drain',
            make_history(
                [CUT.attempt], [make_run(1)], cuts=[QUICK_CUT], spans=[PLANNED]
            ),
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
def test_violation_is_found(name, history):
    assert name in {text.partition(':')[0] for text in find_violations(history)}


@pytest.mark.parametrize(
    'history',
    [
        read_after(0, position=(1, 6)),
        read_after(1.4, consistency=BOUNDED),
        read_after(0, session=2, consistency=OWN),
        in_transaction(b'READ k', b'WRITE k v'),
        make_history(
            [WRITTEN],
            [WRITE_RUN],
            primary_changes=[PrimaryChange(1.2, 2, Position(1, 6))],
        ),
        with_fields(
            read_after(0),
            primary_changes=[PrimaryChange(1.2, 2, Position(1, 5))],
        ),
        make_history([CUT.attempt], [], cuts=[QUICK_CUT], spans=[PLANNED]),
        make_history([CUT.attempt], [], cuts=[CUT], spans=[PLANNED, UNPLANNED]),
        make_history([CUT.attempt], [], cuts=[CUT]),
        retried_first_statement(),
    ],
)
def test_allowed_history_gives_no_violation(history):
    assert find_violations(history) == []


def test_at_least_ten_invariants_are_checked():
    assert len(invariants.names()) >= 10


def test_plans_repeat_by_seed_and_cover_every_kind():
    plans = [draw_plan(seed, 12) for seed in range(100)]
    assert plans == [draw_plan(seed, 12) for seed in range(100)]
    assert {one.kind for plan in plans for one in plan} == set(kinds.names())


SMALL = SoakSize(6, 3, 8)


@pytest.mark.timeout(300)
@pytest.mark.parametrize(
    ('seed', 'size'),
    [
        (1, SMALL),
        # Repeats a first statement without an answer on another connection,
        # which is allowed.
        (22, SMALL),
        # Guards against a group in which every endpoint considered itself the
        # primary, which left the group without one.
        (44, SoakSize()),
        # Guards a write in doubt while the failover duty moved to another
        # gateway.
        (114, SMALL),
        # Guards against a planned stop that cuts requests of callers that never
        # pause.
        (37001, SoakSize()),
    ],
)
def test_short_soak_keeps_every_invariant(seed, size, tmp_path):
    history = anyio.run(run_seed, seed, size, tmp_path)
    assert find_violations(history) == []
    assert any(one.outcome is Outcome.DONE for one in history.attempts.values())


def test_gateway_whose_ports_were_taken_is_started_again(tmp_path, monkeypatch):
    """Guards against a soak that waits for a process that has ended.

    Ports are free when they are chosen, but another process may bind them
    before the gateway does.
    """
    find_ports = program.find_ports
    with socket.socket() as taken:
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        first = taken.getsockname()[1]
        choices = [(first, *find_ports()[:3])]
        monkeypatch.setattr(
            program,
            'find_ports',
            lambda: choices.pop() if choices else find_ports(),
        )
        monkeypatch.setattr(testbed, '_START_TIMEOUT_S', 20)

        async def start():
            bed = testbed.Testbed(1, tmp_path, 1, 0)
            async with anyio.create_task_group() as tasks:
                try:
                    await bed.start(tasks)
                finally:
                    await bed.programs[0].stop(signal.SIGKILL)
                tasks.cancel_scope.cancel()
            return bed.programs[0].incarnation

        assert anyio.run(start) == 2
