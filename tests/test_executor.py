from functools import partial

import anyio
import pytest

from catkincrank.endpoint import StatementError
from catkincrank.history import LogMark
from catkincrank.statement import classify
from catkincrank.verdict import RequestError
from tests import virtualtime
from tests.memorygroup import GROUP, IDLE, OPEN, open_session, serve_group

PAY_SQL = 'pay 1'
RAN, NOT_RUN, MAYBE = 'ran', 'not run', 'may have run'


async def submit(executor, session, *texts):
    """Run statements; return the error's verdict or the last command tag."""
    try:
        for sql in texts:
            answer = await executor.run(session, classify(sql))
    except RequestError as error:
        return error.verdict.value
    except StatementError as error:
        return error.sqlstate
    return answer.command


def run_scenario(scenario, **limits):
    """Run a scenario with a group and an executor in virtual time."""

    async def run():
        async with serve_group(**limits) as (group, executor):
            await scenario(group, executor)

    virtualtime.run(run)


@pytest.mark.parametrize(
    ('fault', 'outcome', 'effects'),
    [
        ({}, 'UPDATE 1', 1),
        ({'connect': 'refuse'}, 'UPDATE 1', 1),
        ({'begin': 'refuse'}, 'UPDATE 1', 1),
        ({'begin': 'lose'}, 'UPDATE 1', 1),
        ({'begin': 'read-only'}, 'UPDATE 1', 1),
        ({'begin': 'hang'}, NOT_RUN, 0),
        ({'pay': 'lose'}, 'UPDATE 1', 1),
        ({'pay': 'read-only'}, 'UPDATE 1', 1),
        ({'pay': 'hang'}, NOT_RUN, 0),
        ({'commit': 'refuse'}, 'UPDATE 1', 1),
        ({'commit': 'read-only'}, 'UPDATE 1', 1),
        ({'commit': 'lose'}, MAYBE, 0),
        ({'commit': 'lose-before'}, MAYBE, 0),
        ({'commit': 'lose-after'}, MAYBE, 1),
        ({'commit': 'hang'}, MAYBE, 0),
    ],
)
@pytest.mark.parametrize('key', ['', 'k1'])
def test_write_under_fault_gives_expected_outcome(fault, outcome, effects, key):
    """With a request key, only a hanging commit has an unknown outcome."""
    if key and 'commit' in fault and fault['commit'] != 'hang':
        outcome, effects = 'UPDATE 1', 1

    async def scenario(group, executor):
        group.faults = dict(fault)
        session = open_session(request_key=key, deadline='5s')
        assert await submit(executor, session, PAY_SQL) == outcome
        assert len(group.effects) == effects
        await anyio.sleep(1)
        assert all(one.status is IDLE for one in group.open)
        if outcome == 'UPDATE 1':
            assert session.mark == LogMark(1, group.position)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('step', 'key', 'outcome', 'effects'),
    [
        ('begin', '', 'UPDATE 1', 1),
        ('pay', '', 'UPDATE 1', 1),
        ('commit', '', MAYBE, 0),
        ('commit', 'k1', 'UPDATE 1', 1),
    ],
)
def test_write_leaves_hanging_primary_once_it_is_replaced(
    step, key, outcome, effects
):
    async def scenario(group, executor):
        group.faults = {step: 'hang'}
        session = open_session(request_key=key)

        async def replace_primary():
            await anyio.sleep(3)
            group.promote('b')

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(replace_primary)
            assert await submit(executor, session, PAY_SQL) == outcome
        assert anyio.current_time() < 4
        assert len(group.effects) == effects

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('staleness', 'endpoint', 'ends_after'),
    [('0', 'b', 2), ('own_writes', 'bc', 0)],
)
def test_strict_read_waits_until_the_primary_is_confirmed(
    staleness, endpoint, ends_after
):
    """A replaced primary still answers before its successor is observed."""

    async def scenario(group, executor):
        await anyio.sleep(1)
        session = open_session(max_staleness=staleness)

        async def replace_primary():
            await anyio.sleep(2)
            group.promote('b')
            await anyio.sleep(0.5)
            group.publish()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(replace_primary)
            began = anyio.current_time()
            assert await submit(executor, session, 'select 1') == 'SELECT 1'
            assert anyio.current_time() - began >= ends_after
            assert group.steps[-1][1] in endpoint
            tasks.cancel_scope.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('reports_status', 'ends_at'), [(False, 3.25), (True, 30)]
)
def test_read_leaves_an_instance_that_stops_reporting_its_status(
    reports_status, ends_at
):
    """A read that gets no answer moves on once its instance falls silent.

    While the instance reports its status, the read may only be slow.
    """

    async def scenario(group, executor):
        group.faults = {'select': 'hang'}
        session = open_session()

        async def publish():
            while True:
                await anyio.sleep(0.25)
                silent = {group.steps[-1][1]} if not reports_status else set()
                group.publish(*(set('abc') - silent))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(publish)
            outcome = await submit(executor, session, 'select 1')
            assert outcome == (NOT_RUN if reports_status else 'SELECT 1')
            assert anyio.current_time() == pytest.approx(ends_at, abs=0.5)
            tasks.cancel_scope.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('followers', 'outcome'),
    [(('b',), MAYBE), (('b', 'c'), NOT_RUN)],
)
def test_outcome_is_unknown_until_a_majority_stores_the_new_term(
    followers, outcome
):
    """Until a majority stores the new term, the old commit may survive."""

    async def scenario(group, executor):
        group.faults = {'commit': 'lose-before'}
        session = open_session(request_key='k1', deadline='5s')

        async def replace_primary():
            while ('commit', 'a') not in group.steps:
                await anyio.sleep(0.0001)
            group.promote('b', *followers)
            group.faults['pay'] = 'hang'

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(replace_primary)
            assert await submit(executor, session, PAY_SQL) == outcome

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('fault', 'verdict'),
    [
        ({'begin': 'lose'}, NOT_RUN),
        ({'pay': 'lose'}, NOT_RUN),
        ({'commit': 'lose-after'}, MAYBE),
    ],
)
def test_non_idempotent_write_is_sent_once(fault, verdict):
    async def scenario(group, executor):
        group.faults = dict(fault)
        session = open_session(idempotent='off')
        assert await submit(executor, session, PAY_SQL) == verdict
        assert sum(step == 'begin' for step, _ in group.steps) == 1

    run_scenario(scenario)


@pytest.mark.parametrize('key', ['', 'k1'])
@pytest.mark.parametrize(
    ('step', 'fault', 'outcome', 'effects'),
    [
        ('begin', 'lose', 'COMMIT', 2),
        ('pay', 'lose', 'COMMIT', 2),
        ('pay', 'read-only', 'COMMIT', 2),
        ('pay', 'hang', NOT_RUN, 0),
        ('add', 'read-only', NOT_RUN, 0),
        ('add', 'lose', NOT_RUN, 0),
        ('add', 'hang', NOT_RUN, 0),
        ('commit', 'refuse', NOT_RUN, 0),
        ('commit', 'lose-before', MAYBE, 0),
        ('commit', 'lose-after', MAYBE, 2),
        ('commit', 'hang', MAYBE, 0),
    ],
)
def test_transaction_under_fault_gives_expected_outcome(
    step, fault, outcome, effects, key
):
    """With a request key, a commit that lost its answer is looked up."""
    if key and outcome == MAYBE and fault != 'hang':
        outcome = 'COMMIT' if effects else NOT_RUN

    async def scenario(group, executor):
        group.faults = {step: fault}
        session = open_session(request_key=key, deadline='5s')
        texts = ('begin', PAY_SQL, 'add 2', 'commit')
        assert await submit(executor, session, *texts) == outcome
        assert len(group.effects) == effects
        assert await submit(executor, session, 'rollback') == 'ROLLBACK'
        assert session.status is IDLE
        await anyio.sleep(1)
        assert all(one.status is IDLE for one in group.open)

    run_scenario(scenario)


def test_failed_transaction_commits_nothing():
    async def scenario(group, executor):
        session = open_session()
        group.faults = {'add': 'syntax'}
        assert (
            await submit(executor, session, 'begin', PAY_SQL, 'add 2')
            == '42601'
        )
        assert await submit(executor, session, PAY_SQL) == '25P02'
        assert await submit(executor, session, 'commit') == 'ROLLBACK'
        assert group.effects == []

    run_scenario(scenario)


@pytest.mark.parametrize('begin', ['', 'begin'])
def test_second_submission_with_same_key_has_no_effect(begin):
    async def scenario(group, executor):
        group.has_table = False
        texts = [begin, PAY_SQL, 'commit'] if begin else [PAY_SQL]
        for outcome in (texts[-1] == PAY_SQL and 'UPDATE 1' or 'COMMIT', RAN):
            session = open_session(request_key='k1')
            if not begin:
                outcome = 'UPDATE 1'
            assert await submit(executor, session, *texts) == outcome
            await executor.close(session)
        assert group.effects == [PAY_SQL]
        session = open_session(request_key='k1')
        assert await submit(executor, session, 'pay 2') == NOT_RUN

    run_scenario(scenario)


async def _replace_primary(group, executor, session):
    group.is_acknowledging = False
    async with anyio.create_task_group() as tasks:
        outcomes = []

        async def pay():
            outcomes.append(await submit(executor, session, PAY_SQL))

        tasks.start_soon(pay)
        await anyio.sleep(1)
        group.position -= 1
        group.effects.clear()
        group.keys.clear()
        group.is_acknowledging = True
        group.promote('b')
    return outcomes[0]


@pytest.mark.parametrize(
    ('key', 'outcome', 'effects'),
    [('', MAYBE, 0), ('k1', 'UPDATE 1', 1)],
)
def test_unacknowledged_commit_on_replaced_primary_is_repeated_only_with_key(
    key, outcome, effects
):
    async def scenario(group, executor):
        session = open_session(request_key=key)
        began = anyio.current_time()
        assert await _replace_primary(group, executor, session) == outcome
        assert anyio.current_time() - began < 2
        assert len(group.effects) == effects

    run_scenario(scenario)


def test_read_after_lost_write_raises_history_lost():
    async def scenario(group, executor):
        session = open_session()
        await submit(executor, session, PAY_SQL)
        group.position -= 1
        group.promote('b')
        with pytest.raises(RequestError) as caught:
            await executor.run(session, classify('select 1'))
        assert caught.value.sqlstate == '72000'

    run_scenario(scenario)


def test_writes_wait_in_queue_for_a_primary():
    async def scenario(group, executor):
        sessions = [open_session(deadline='20s') for _ in range(4)]
        group.faults = {'connect': 'refuse'}
        group.primary = ''
        group.history = group.history.extend(2, group.position)
        group.publish()
        outcomes = []

        async def pay(session):
            outcomes.append(await submit(executor, session, PAY_SQL))

        async with anyio.create_task_group() as tasks:
            for session in sessions:
                tasks.start_soon(pay, session)
            await anyio.sleep(5)
            assert outcomes.count(NOT_RUN) == 1
            group.promote('c')
        assert outcomes.count('UPDATE 1') == 3
        assert len(group.effects) == 3

    run_scenario(scenario, queue_length=3)


def test_status_of_replicas_does_not_wake_waiting_writes():
    async def scenario(group, executor):
        group.primary = ''
        group.history = group.history.extend(2, group.position)
        group.publish()
        group_updates = executor.runners.primaries.group_updates
        woken = []
        view = group_updates.view_primary(GROUP)

        async def wait():
            await group_updates.await_primary_change(GROUP, view)
            woken.append(anyio.current_time())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            for _ in range(10):
                await anyio.sleep(0.01)
                group.publish('b')
            assert not woken
            group.promote('c')
            await anyio.sleep(0.01)
            assert woken

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('fault', 'outcome'),
    [
        ({'select': 'refuse'}, 'SELECT 1'),
        ({'select': 'lose'}, 'SELECT 1'),
        ({'select': 'hang'}, NOT_RUN),
        ({'connect': 'refuse'}, 'SELECT 1'),
    ],
)
def test_read_under_fault_gives_expected_outcome(fault, outcome):
    async def scenario(group, executor):
        group.faults = dict(fault)
        session = open_session(max_staleness='5s', deadline='2s')
        assert await submit(executor, session, 'select 1') == outcome

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('staleness', 'expected'),
    [('0', {'a'}), ('own_writes', {'b', 'c'})],
)
def test_reads_are_routed_by_staleness(staleness, expected):
    async def scenario(group, executor):
        session = open_session(max_staleness=staleness)
        await submit(executor, session, PAY_SQL)
        await submit(executor, session, 'select 1')
        used = {name for step, name in group.steps if step == 'select'}
        assert used <= expected

    run_scenario(scenario)


def test_failing_replica_is_ejected():
    async def scenario(group, executor):
        session = open_session(max_staleness='own_writes')
        for _ in range(3):
            group.faults = {'select': 'lose'}
            assert await submit(executor, session, 'select 1') == 'SELECT 1'
        group.steps.clear()
        for _ in range(3):
            assert await submit(executor, session, 'select 1') == 'SELECT 1'
        assert {name for _, name in group.steps} == {'c'}
        await anyio.sleep(10)
        assert await submit(executor, session, 'select 1') == 'SELECT 1'

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('texts', 'verdict'),
    [([PAY_SQL], NOT_RUN), (['begin', 'select 1', PAY_SQL], NOT_RUN)],
)
def test_cancelled_statement_frees_its_connection(texts, verdict):
    """A connection with a cancelled statement is closed, not reused.

    Statements are cancelled when their callers disconnect.
    """

    async def scenario(group, executor):
        session = open_session()
        group.faults = {'pay': 'hang'}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_later, session)
            began = anyio.current_time()
            assert await submit(executor, session, *texts) == verdict
            assert anyio.current_time() - began < 2
        await executor.close(session)
        await anyio.sleep(1)
        assert group.open == []
        assert await submit(executor, open_session(), PAY_SQL) == 'UPDATE 1'

    run_scenario(scenario)


def test_idle_transaction_releases_its_connection():
    async def scenario(group, executor):
        session = open_session()
        await submit(executor, session, 'begin', PAY_SQL)
        await anyio.sleep(29)
        assert not await executor.expire_transaction(session)
        await anyio.sleep(2)
        assert await executor.expire_transaction(session)
        assert all(one.status is IDLE for one in group.open)
        assert await submit(executor, session, 'add 2') == '25P02'
        assert await submit(executor, session, 'commit') == 'ROLLBACK'
        assert group.effects == []

    run_scenario(scenario)


async def _cancel_later(session):
    await anyio.sleep(1)
    session.cancel()


@pytest.mark.parametrize(
    ('texts', 'is_reset'),
    [
        (['begin', 'select 1', 'commit'], False),
        (['begin', 'create temp table t (a int)', 'commit'], True),
        (['set search_path = x', 'select 1'], True),
    ],
)
def test_session_state_does_not_leak_to_other_sessions(texts, is_reset):
    async def scenario(group, executor):
        session = open_session()
        await submit(executor, session, *texts)
        assert all(not one.state for one in group.open)
        assert ('discard' in {step for step, _ in group.steps}) is is_reset

    run_scenario(scenario)


def test_setting_is_replayed_on_each_connection():
    async def scenario(group, executor):
        session = open_session()
        sql = 'set search_path = x'
        await submit(executor, session, sql, PAY_SQL, 'select 1')
        assert sum(step == 'set' for step, _ in group.steps) == 3
        await submit(executor, session, 'reset all', PAY_SQL)
        assert sum(step == 'set' for step, _ in group.steps) == 3

    run_scenario(scenario)


def test_open_connections_stay_within_the_limit():
    async def scenario(group, executor):
        run = partial(submit, executor)
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(run, open_session(), PAY_SQL)
        assert len(group.effects) == 20
        assert len(group.open) <= 4

    run_scenario(scenario)


def test_token_ahead_of_history_is_rejected():
    async def scenario(group, executor):
        session = open_session()
        session.advance(LogMark(9, 1))
        with pytest.raises(RequestError) as caught:
            await executor.run(session, classify('select 1'))
        assert caught.value.sqlstate == '72001'
        assert session.group == GROUP
        assert session.status is not OPEN

    run_scenario(scenario)
