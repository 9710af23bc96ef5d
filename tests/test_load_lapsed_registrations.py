"""Load pattern: registrations of running endpoints lapse in a store outage."""

import dataclasses

import anyio
import pytest

from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry, Roster
from tests import virtualtime
from tests.gatewaypath import RequestPath


def _run(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            path = RequestPath(tasks)
            path.grant('a')
            found = await scenario(path)
            tasks.cancel_scope.cancel()
        return found

    return virtualtime.run(run)


async def _call_for(path, database, text, length_s):
    """Run a statement ten times a second; return when each one failed."""
    failed_at = []
    began = anyio.current_time()
    while anyio.current_time() < began + length_s:
        path.evidence.add_sample(anyio.current_time(), Position(1, 0))
        reply = await path.run_statement(path.open(database), text)
        if reply.refusal is not None:
            failed_at.append(anyio.current_time() - began)
        await anyio.sleep(0.1)
    return failed_at


def _lapse(path, *names):
    for name in names:
        path.groups.roster.drop(name, anyio.current_time())


@pytest.mark.parametrize(
    ('database', 'text'),
    [('strong', b'WRITE k v'), ('strong', b'READ k'), ('bounded', b'READ k')],
)
def test_running_endpoints_are_used_while_their_registrations_lapse(
    database, text
):
    """Guards against refusals while the store loses endpoints' heartbeats.

    Endpoints whose registrations had lapsed got no statements, although they
    answered; their registrations were back seconds later.
    """

    async def scenario(path):
        await _call_for(path, database, text, 1)
        _lapse(path, 'a', 'b', 'c')
        failed_at = await _call_for(path, database, text, 4)
        for entry in path.group.list_entries():
            path.groups.roster.put(entry)
        return failed_at + await _call_for(path, database, text, 1)

    assert not _run(scenario)


def test_endpoint_that_stays_unregistered_gets_no_statements():
    """An endpoint that is gone for good must be free of work within 7 s."""

    async def scenario(path):
        await _call_for(path, 'strong', b'WRITE k v', 1)
        _lapse(path, 'a')
        lapsed_at = anyio.current_time()
        await _call_for(path, 'strong', b'WRITE k v', 9)
        return max(run.at for run in path.runs) - lapsed_at

    assert 4 < _run(scenario) < 6


def test_lapsed_endpoint_that_stopped_answering_gets_no_statements():
    """A crashed endpoint does not become usable when its registration ends."""

    async def scenario(path):
        await _call_for(path, 'bounded', b'READ k', 1)
        path.runs.clear()
        await anyio.sleep(2)
        _lapse(path, 'b', 'c')
        await _call_for(path, 'bounded', b'READ k', 1)
        return {run.endpoint_id for run in path.runs}

    assert _run(scenario) == {'a'}


_ENTRY = EndpointEntry('i-1', 'svc', '10.0.0.1', 80, 'z', 3)


@pytest.mark.parametrize(
    ('entry', 'registered', 'since', 'is_listed'),
    [
        (_ENTRY, None, 0, True),
        (_ENTRY, None, 2, False),
        (dataclasses.replace(_ENTRY, is_draining=True), None, 0, False),
        (_ENTRY, dataclasses.replace(_ENTRY, endpoint_id='i-2'), 0, False),
        (_ENTRY, dataclasses.replace(_ENTRY, born_ms=5), 0, False),
        (
            _ENTRY,
            EndpointEntry('i-2', 'svc', '10.0.0.2', 80, 'z', 3),
            0,
            True,
        ),
    ],
)
def test_lapsed_entries_end_with_leave_age_or_a_successor(
    entry, registered, since, is_listed
):
    roster = Roster()
    roster.put(entry)
    roster.drop(entry.endpoint_id, 1)
    if registered is not None:
        roster.put(registered)
    assert bool(roster.list_lapsed(since)) is is_listed
