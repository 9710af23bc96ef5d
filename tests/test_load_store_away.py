"""Load pattern: the store is away for long while the primaries run."""

import anyio
import pytest

from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.primaryproof import ProofState, find_objection
from catkincrank.gateway.reply import Failure
from tests import virtualtime
from tests.gatewaypath import RequestPath

OUTAGE_S = 20
POSITIONS = {'a': Position(2, 9), 'b': Position(2, 7), 'c': Position(2, 8)}


def _state(number, *, is_primary=False, term=2, promised=0, log_term=2):
    return EndpointState(is_primary, term, Position(log_term, number), promised)


def _states(**changed):
    return {
        'a': _state(9, is_primary=True),
        'b': _state(7),
        'c': _state(8),
        **changed,
    }


@pytest.mark.parametrize(
    ('states', 'objection'),
    [
        (_states(), ''),
        # A lagging replica still reports the term before.
        (_states(b=_state(7, term=1)), ''),
        (_states(b=_state(7, promised=2)), ''),
        (_states(b=None), 'b did not answer'),
        (_states(a=None), 'a did not answer'),
        (_states(a=_state(9)), 'a is no longer the primary'),
        (
            _states(a=_state(9, is_primary=True, term=3)),
            'a is no longer the primary',
        ),
        (_states(b=_state(7, is_primary=True, term=3)), 'b knows a later term'),
        # A promotion that was called but has not taken effect at b, which has
        # been informed of its term.
        (_states(b=_state(7, promised=3)), 'b knows a later term'),
        # A replica that follows a newer primary.
        (_states(c=_state(8, term=3)), 'c knows a later term'),
        (_states(c=_state(9, log_term=3)), 'c knows a later term'),
        # A promoted endpoint that was restarted may have forgotten it.
        (_states(b=_state(3)), 'b was restarted without its log'),
        (_states(b=_state(0, term=0, log_term=0)), 'b was restarted without'),
        ({'a': _state(9, is_primary=True)}, 'endpoints of the group are not'),
        ({'b': _state(7), 'c': _state(8)}, 'endpoints of the group are not'),
    ],
)
def test_proof_needs_every_endpoint_to_know_no_later_term(states, objection):
    found = find_objection('a', 2, states, POSITIONS)
    assert found.startswith(objection)
    assert bool(found) is bool(objection)


def test_repeated_failures_are_counted_from_the_first():
    state = ProofState()
    state.record_failure('b did not answer', 5)
    state.record_failure('c did not answer', 7)
    assert state.failing_s(8) == 3
    state.record_success(8)
    assert state.failing_s(9) == 0


def _run(scenario):
    """Run ``scenario(path)`` from the moment at which the last grant ends."""

    async def run():
        async with anyio.create_task_group() as tasks:
            path = RequestPath(tasks)
            path.grant('a', length_s=1)
            for database in ('strong', 'bounded', 'own'):
                await path.run_statement(path.open(database), b'READ k')
            path.evidence.proof.is_allowed = True
            await anyio.sleep(1)
            found = await scenario(path)
            tasks.cancel_scope.cancel()
        return found

    return virtualtime.run(run)


def _outcome(reply):
    return reply.refusal.failure if reply.refusal else 'ok'


async def _time_statement(path, session, *texts):
    began = anyio.current_time()
    replies = await path.run_script(session, *texts)
    return [_outcome(one) for one in replies], anyio.current_time() - began


SCRIPTS = [
    ('strong', (b'READ k',)),
    ('strong', (b'WRITE k v',)),
    ('strong', (b'BEGIN', b'READ k', b'WRITE k v', b'COMMIT')),
    ('own', (b'WRITE k v', b'READ k')),
    ('bounded', (b'READ k',)),
    ('bounded', (b'BEGIN READ', b'READ k', b'COMMIT')),
]


@pytest.mark.parametrize(('database', 'texts'), SCRIPTS)
def test_statements_are_served_for_as_long_as_the_store_is_away(
    database, texts
):
    """Guards against an outage of the store that stops a healthy group.

    Grants ended 2.5 s after the last reading, and with the lease holder lost
    nobody extended them: half of all statements were refused for seconds while
    every endpoint ran.
    """

    async def scenario(path):
        outcomes = set()
        longest_s = 0
        began = anyio.current_time()
        while anyio.current_time() < began + OUTAGE_S:
            found, took_s = await _time_statement(
                path, path.open(database), *texts
            )
            outcomes.update(found)
            longest_s = max(longest_s, took_s)
            await anyio.sleep(0.3)
        return outcomes, longest_s

    outcomes, longest_s = _run(scenario)
    assert outcomes == {'ok'}
    assert longest_s < 0.6


@pytest.mark.parametrize('lost', ['b', 'c'])
@pytest.mark.parametrize(('database', 'texts'), SCRIPTS)
def test_statements_are_refused_soon_if_an_endpoint_is_missing(
    database, texts, lost
):
    """Without an answer of every endpoint, one may have been promoted."""

    async def scenario(path):
        path.group.instances[lost].is_up = False
        await anyio.sleep(3)
        await _time_statement(path, path.open(database), *texts)
        path.runs.clear()
        return await _time_statement(path, path.open(database), *texts)

    outcomes, took_s = _run(scenario)
    assert Failure.OVERLOADED in outcomes
    # A statement is refused after 0.1 s, which spreads its caller's retries.
    assert took_s < 0.15 * len(texts)


@pytest.mark.parametrize(('database', 'texts'), SCRIPTS)
def test_second_outage_is_not_judged_by_failures_of_the_first(database, texts):
    """Guards against refusals by a proof that failed before the last grant."""

    async def scenario(path):
        path.group.instances['b'].is_up = False
        await _time_statement(path, path.open(database), *texts)
        path.group.instances['b'].is_up = True
        path.grant('a', length_s=1)
        path.evidence.proof.is_allowed = True
        await anyio.sleep(30)
        # A round of questions takes longer than a refused statement is held.
        for instance in path.group.instances.values():
            instance.work_s = 0.11
        return (await _time_statement(path, path.open(database), *texts))[0]

    assert set(_run(scenario)) == {'ok'}


@pytest.mark.parametrize(
    'texts',
    [(b'WRITE k v',), (b'BEGIN', b'WRITE k v', b'COMMIT')],
)
@pytest.mark.parametrize('delay_s', [0, 0.05, 0.1])
def test_commit_is_not_acknowledged_once_another_endpoint_leads(texts, delay_s):
    """The old primary still accepts writes while it is cut off."""

    async def scenario(path):
        session = path.open('strong')
        await _time_statement(path, session, *texts)
        path.runs.clear()
        acknowledged = []

        async def write():
            outcomes, _ = await _time_statement(path, session, *texts)
            acknowledged.append(outcomes[-1])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await anyio.sleep(delay_s)
            path.group.promote('b')
            changed_at = anyio.current_time()
        written = [run for run in path.runs if run.text.split()[0] != b'READ']
        return acknowledged[0], any(run.at > changed_at for run in written)

    outcome, ran_after = _run(scenario)
    refusals = {Failure.IN_DOUBT, Failure.OVERLOADED, Failure.ABORTED}
    assert outcome in refusals | {'ok'}
    assert not (outcome == 'ok' and ran_after)


@pytest.mark.parametrize('database', ['strong', 'own', 'bounded'])
def test_reads_that_miss_a_newer_primary_are_not_answered(database):
    """A promotion ends all proofs of the primary before it."""

    async def scenario(path):
        await _time_statement(path, path.open(database), b'READ k')
        path.group.promote('b')
        path.group.commit(path.group.instances['b'])
        # Longer than any read may be behind.
        await anyio.sleep(3)
        path.runs.clear()
        outcomes, _ = await _time_statement(
            path, path.open(database), b'READ k'
        )
        return outcomes, len(path.runs)

    assert _run(scenario) == ([Failure.OVERLOADED], 0)


def test_no_proof_is_asked_for_once_a_replacement_has_begun():
    async def scenario(path):
        path.evidence.proof.is_allowed = False
        outcomes, _ = await _time_statement(
            path, path.open('strong'), b'WRITE k v'
        )
        return outcomes, path.evidence.proof.proved_at

    assert _run(scenario) == ([Failure.OVERLOADED], float('-inf'))


def test_proofs_end_when_the_last_reading_is_a_minute_old():
    """A process without readings may not know a new endpoint."""

    async def scenario(path):
        await anyio.sleep(61)
        return (await _time_statement(path, path.open('strong'), b'READ k'))[0]

    assert _run(scenario) == [Failure.OVERLOADED]


def test_answer_taken_without_a_grant_is_a_sample_only_after_a_proof():
    """Its endpoint may have been replaced before it answered."""

    async def scenario(path):
        evidence = path.evidence
        evidence._samples.clear()
        now = anyio.current_time()
        entry = path.groups.roster.find('a')
        evidence.record_answer(entry, Position(1, 5), now - 0.1, now)
        before = evidence.find_covering_position(now - 0.1)
        evidence.record_proof(now - 0.2, Position(1, 4))
        between = evidence.find_covering_position(now - 0.1)
        evidence.record_proof(now, Position(1, 6))
        return before, between, evidence.find_covering_position(now - 0.1)

    assert _run(scenario) == (None, None, Position(1, 5))


def test_writes_during_a_round_do_not_make_it_fail():
    """Guards against a busy group that seems restarted.

    Positions in answers that arrived during a round were ahead of the states
    that endpoints had reported at its start.
    """

    async def scenario(path):
        evidence = path.evidence

        async def learn_positions():
            for number in range(1, 200):
                now = anyio.current_time()
                for entry in path.groups.roster.list_entries():
                    evidence.record_answer(entry, Position(1, number), now, now)
                await anyio.sleep(0.001)

        async with anyio.create_task_group() as tasks:
            path.groups.request_proof('svc', anyio.current_time())
            await anyio.sleep(0)
            tasks.start_soon(learn_positions)
            await anyio.sleep(0.1)
            return path.count_proofs()

    assert _run(scenario) == 1


def test_many_waiting_statements_share_a_round_of_questions():
    async def scenario(path):
        async with anyio.create_task_group() as tasks:
            for _ in range(100):
                tasks.start_soon(
                    _time_statement, path, path.open('strong'), b'READ k'
                )
        return path.count_proofs(), len(path.runs)

    rounds, runs = _run(scenario)
    assert rounds == 1
    assert runs >= 100
