"""Load pattern: a group stays without a usable primary for many seconds."""

import anyio
import pytest

from catkincrank.gateway.evidence import GroupEvidence
from catkincrank.gateway.reply import Failure
from tests import virtualtime
from tests.gatewaypath import RequestPath


def _run(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            path = RequestPath(tasks)
            found = await scenario(path)
            tasks.cancel_scope.cancel()
        return found

    return virtualtime.run(run)


async def _unregister(path):
    path.grant('a')
    path.groups.roster.drop('a', anyio.current_time() - 60)


async def _expire(path):
    path.grant('a', length_s=0)


async def _grant_unregistered(path):
    """As when a new lease holder reads the record of a lost primary."""
    await _unregister(path)
    for _ in range(4):
        await anyio.sleep(0.5)
        path.grant('a')


@pytest.mark.parametrize(
    'lose_primary', [_unregister, _expire, _grant_unregistered]
)
@pytest.mark.parametrize(
    ('database', 'text'),
    [('strong', b'WRITE k v'), ('strong', b'READ k'), ('bounded', b'READ k')],
)
def test_statements_are_not_held_once_the_primary_is_missing_for_long(
    lose_primary, database, text
):
    """Guards against holding statements that cannot be served.

    Renewed grants for a primary whose registration was gone restarted the time
    after which statements are refused early, so each was held for its whole
    time limit.
    """

    async def scenario(path):
        await lose_primary(path)
        holds = []
        for _ in range(30):
            began = anyio.current_time()
            reply = await path.run_statement(path.open(database), text)
            assert reply.refusal.failure is Failure.OVERLOADED
            assert b'no usable primary' in reply.refusal.detail
            holds.append(anyio.current_time() - began)
            await anyio.sleep(0.1)
        return holds

    holds = _run(scenario)
    # A failover that ends in time is waited for.
    assert holds[0] > 0.7
    assert max(holds[-10:]) < 0.16


@pytest.mark.parametrize(
    ('uses', 'missing_s'),
    [
        ([], 0),
        ([(1, False)], 9),
        ([(1, False), (1.5, False)], 9),
        ([(1, False), (2, True)], 0),
        ([(1, False), (2, True), (3, False)], 7),
        # No statement came in between, so it may have been usable.
        ([(1, False), (8, False)], 2),
    ],
)
def test_primary_is_missing_since_the_first_of_the_last_misses(uses, missing_s):
    evidence = GroupEvidence()
    for at, is_usable in uses:
        evidence.record_use(is_usable=is_usable, now=at)
    assert evidence.missing_s(10) == missing_s
