"""The platform's store returns from a copy that is some seconds old."""

import anyio
import pytest

from catkincrank.gateway.roster import EndpointEntry, Roster
from tests import virtualtime
from tests.gatewayfleet import Fleet
from tests.test_gateway_failover import _check_promotions

# The letter wants full service 2 s after the store's return. A store that is
# away for longer, and a holder that is lost with it, wait for more.
RETURN_LIMIT_S = 2.0
LOST_HOLDER_LIMIT_S = 6.0
# A holder of the earlier era that nobody knows may extend grants for 6.5 s,
# and a replacement takes a few seconds after that.
REPLACEMENT_LIMIT_S = 14.0
AWAY_S = 0.5


async def _restore(fleet, lost_s, away_s=AWAY_S):
    fleet.rows.is_down = True
    await anyio.sleep(away_s)
    fleet.rows.restore(lost_s + away_s)
    fleet.rows.is_down = False


def _run(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            fleet.start('x', 'y', 'z')
            tasks.start_soon(fleet.watch)
            await fleet.wait_for_grants('a')
            while not fleet.nodes[fleet.lease_holder].lease.is_settled:
                await anyio.sleep(0.1)
            await anyio.sleep(10)
            await scenario(fleet)
            tasks.cancel_scope.cancel()
        return fleet

    fleet = virtualtime.run(run)
    _check_promotions(fleet)
    return fleet


async def _wait_for_confirmed(fleet, endpoint, limit_s):
    """Wait until every gateway is granted ``endpoint`` in the new era."""
    began = anyio.current_time()

    def is_done():
        return all(
            node.fleet_state.era == fleet.rows.era
            and node.fleet_state.is_confirmed('svc')
            and node.granted == endpoint
            for node in fleet.nodes.values()
        )

    while not is_done():
        await anyio.sleep(0.05)
        assert anyio.current_time() < began + limit_s, fleet.granted


@pytest.mark.parametrize('away_s', [0, 0.5, 2, 4])
@pytest.mark.parametrize('lost_s', [0.1, 1, 3, 8])
def test_service_goes_on_over_a_restoration(lost_s, away_s):
    async def scenario(fleet):
        await _restore(fleet, lost_s, away_s)
        await _wait_for_confirmed(fleet, 'a', RETURN_LIMIT_S)
        await anyio.sleep(10)
        assert set(fleet.granted.values()) == {'a'}
        assert fleet.nodes[fleet.lease_holder].lease.is_settled

    assert not _run(scenario).promotions


def test_grants_do_not_lapse_over_a_short_restoration():
    async def scenario(fleet):
        await _restore(fleet, 3)
        for _ in range(1000):
            await anyio.sleep(0.01)
            assert set(fleet.granted.values()) == {'a'}

    assert not _run(scenario).promotions


@pytest.mark.parametrize('lost_s', [0.1, 1, 3, 25])
def test_a_holder_lost_with_the_store_is_replaced(lost_s):
    async def scenario(fleet):
        fleet.kill(fleet.lease_holder)
        await _restore(fleet, lost_s)
        await _wait_for_confirmed(fleet, 'a', LOST_HOLDER_LIMIT_S)

    assert not _run(scenario).promotions


def test_tokens_rise_over_a_lost_takeover():
    """The copy lacks the takeover, so its version is given out again."""

    async def scenario(fleet):
        tokens = [fleet.nodes[fleet.lease_holder].lease.token]
        for lost_s in (3, 30, 1, 30):
            before = fleet.lease_holder
            fleet.kill(before)
            await anyio.sleep(6)
            fleet.start(before)
            tokens.append(fleet.nodes[fleet.lease_holder].lease.token)
            await _restore(fleet, lost_s)
            await _wait_for_confirmed(fleet, 'a', LOST_HOLDER_LIMIT_S)
            tokens.append(fleet.nodes[fleet.lease_holder].lease.token)
            await anyio.sleep(8)
        assert tokens == sorted(tokens)
        assert len(set(tokens)) == len(tokens)

    assert not _run(scenario).promotions


async def _leave_running(_fleet):
    """Change nothing."""


async def _lose_holder(fleet):
    fleet.kill(fleet.lease_holder)


async def _lose_other(fleet):
    fleet.kill(next(name for name in fleet.nodes if name != fleet.lease_holder))


async def _restart_all(fleet):
    names = tuple(fleet.nodes)
    for name in names:
        fleet.kill(name)
    fleet.start(*names)


async def _turn_away_holder(fleet):
    fleet.rows.rejected_clients = {fleet.lease_holder}


@pytest.mark.parametrize('lost_s', [1, 4, 9])
@pytest.mark.parametrize(
    ('fault', 'limit_s'),
    [
        (_leave_running, RETURN_LIMIT_S),
        (_lose_holder, LOST_HOLDER_LIMIT_S),
        (_lose_other, RETURN_LIMIT_S),
        (_turn_away_holder, REPLACEMENT_LIMIT_S),
        (_restart_all, REPLACEMENT_LIMIT_S),
    ],
)
def test_a_lost_promotion_is_not_undone(fault, limit_s, lost_s):
    """The copy names the primary from before a promotion."""

    async def scenario(fleet):
        fleet.group.instances['a'].is_up = False
        began = anyio.current_time()
        while set(fleet.granted.values()) - {'b', 'c'}:
            await anyio.sleep(0.05)
        successor = fleet.group.newest_primary.endpoint_id
        took_s = anyio.current_time() - began
        fleet.group.instances['a'].is_up = True
        await fault(fleet)
        await _restore(fleet, lost_s + took_s)
        if fault is _restart_all:
            await anyio.sleep(limit_s)
        else:
            await _wait_for_confirmed(fleet, successor, limit_s)
        await anyio.sleep(10)
        granted = set(fleet.granted.values())
        assert granted == {fleet.group.newest_primary.endpoint_id}

    _run(scenario)


@pytest.mark.parametrize('fault', [_leave_running, _lose_holder, _restart_all])
@pytest.mark.parametrize('at_s', [0.2 * step for step in range(1, 14)])
def test_a_restoration_during_a_promotion_leaves_one_primary(at_s, fault):
    async def scenario(fleet):
        fleet.group.promote_s = 1
        fleet.group.instances['a'].is_up = False
        await anyio.sleep(at_s)
        fleet.group.instances['a'].is_up = True
        await fault(fleet)
        await _restore(fleet, at_s + 0.2)
        await anyio.sleep(REPLACEMENT_LIMIT_S + 10)
        granted = set(fleet.granted.values())
        assert granted == {fleet.group.newest_primary.endpoint_id}

    _run(scenario)


@pytest.mark.parametrize('late_s', [0.3 * step for step in range(1, 12)])
def test_a_delayed_write_has_no_effect_after_a_restoration(late_s):
    """The restored store gives out the versions in the write's conditions."""

    async def scenario(fleet):
        rows = fleet.rows
        rows.late_s = late_s
        delayed = []

        def should_delay(bodies):
            is_wanted = (
                any(key.startswith('group/') for key in bodies)
                and len(delayed) < 2
            )
            if is_wanted:
                delayed.append(bodies)
            return is_wanted

        rows.should_delay = should_delay
        fleet.group.instances['a'].is_up = False
        await anyio.sleep(1)
        await _restore(fleet, 5)
        await anyio.sleep(REPLACEMENT_LIMIT_S + 10)
        assert delayed
        granted = set(fleet.granted.values())
        assert granted == {fleet.group.newest_primary.endpoint_id}

    _run(scenario)


def test_restorations_in_quick_succession_leave_grants_in_place():
    async def scenario(fleet):
        for _ in range(4):
            await _restore(fleet, 2, 0.2)
            await anyio.sleep(0.9)
        await _wait_for_confirmed(fleet, 'a', RETURN_LIMIT_S)

    assert not _run(scenario).promotions


def test_a_gateway_that_missed_the_restoration_learns_of_it_from_peers():
    async def scenario(fleet):
        other = next(name for name in fleet.nodes if name != fleet.lease_holder)
        fleet.rows.rejected_clients = {other}
        await _restore(fleet, 3)
        await anyio.sleep(2)
        assert fleet.nodes[other].fleet_state.era == 1
        assert fleet.granted[other] == 'a'

    assert not _run(scenario).promotions


def _entry(sequence, born_ms=7, *, is_draining=False):
    return EndpointEntry(
        'i-1',
        'svc',
        '10.0.0.1',
        80,
        'z',
        3,
        is_draining=is_draining,
        born_ms=born_ms,
        sequence=sequence,
    )


@pytest.mark.parametrize(
    ('known', 'has_left', 'found', 'era', 'is_outdated'),
    [
        # Leaving when the copy was older.
        (_entry(9, is_draining=True), False, _entry(5), 1, True),
        # Gone when the copy was older.
        (_entry(9), True, _entry(9), 1, True),
        (_entry(9), True, _entry(5), 1, True),
        # It runs and has written again.
        (_entry(9), True, _entry(10), 1, False),
        (_entry(9), False, _entry(9), 1, False),
        # Started again under its identifier.
        (_entry(9), True, _entry(1, born_ms=8), 1, False),
        (_entry(1, born_ms=8), False, _entry(9), 1, True),
        # Without a restoration the store is right.
        (_entry(9), True, _entry(5), 0, False),
        # Another writer gives no number.
        (_entry(0), True, _entry(0), 1, False),
    ],
)
def test_a_restored_registration_is_used_only_if_it_is_current(
    known, has_left, found, era, is_outdated
):
    roster = Roster()
    roster.put(known, 0)
    if has_left:
        roster.drop(known.endpoint_id, 1, 0)
    assert roster.is_outdated(found, era) is is_outdated


def test_a_registration_that_the_copy_lacks_is_used_once_it_is_back():
    roster = Roster()
    roster.put(_entry(9), 0)
    roster.drop('i-1', 1, 1)
    assert not roster.is_outdated(_entry(9), 1)


async def _restart_primary(fleet):
    """The primary has no log and is a replica; the others stay replicas."""
    fleet.group.restart(fleet.group.instances['a'], 2)


async def _restart_all_endpoints(fleet):
    for one in fleet.group.instances.values():
        fleet.group.restart(one, 2)


async def _restart_promoted(fleet):
    """The newest primary has no log; the one before still claims its term."""
    fleet.group.promote('b')
    fleet.group.instances['c'].term = 2
    fleet.group.restart(fleet.group.instances['b'], 2)


async def _demote_primary(fleet):
    """It has the longest log, but the platform ignores its promotion."""
    primary = fleet.group.instances['a']
    for replica in ('b', 'c'):
        fleet.group.instances[replica].lag_s = 100
    fleet.group.commit(primary)
    primary.is_primary = False


@pytest.mark.parametrize(
    ('fault', 'limit_s'),
    [
        (_restart_primary, REPLACEMENT_LIMIT_S),
        (_restart_all_endpoints, REPLACEMENT_LIMIT_S),
        (_restart_promoted, REPLACEMENT_LIMIT_S),
        # Three promotions are waited for, 3 s each.
        (_demote_primary, REPLACEMENT_LIMIT_S + 10),
    ],
)
def test_a_group_without_a_row_and_a_primary_comes_back(fault, limit_s):
    """Guards against a group that stays down (seed 3034 of the soak).

    The copy lacks the group's row, no process remembers it, and no endpoint
    leads its newest term.
    """

    async def scenario(fleet):
        fleet.rows.is_down = True
        await _restart_all(fleet)
        await fault(fleet)
        fleet.rows.restore(30)
        fleet.rows.is_down = False
        await anyio.sleep(limit_s)
        granted = set(fleet.granted.values())
        assert granted == {fleet.group.newest_primary.endpoint_id}
        assert fleet.group.newest_primary.is_primary

    assert _run(scenario).promotions


def test_an_endpoint_that_may_be_the_primary_is_waited_for():
    """Without a row, an endpoint that does not answer may lead the group."""

    async def scenario(fleet):
        fleet.rows.is_down = True
        await _restart_all(fleet)
        fleet.group.instances['a'].is_up = False
        fleet.rows.restore(30)
        fleet.rows.is_down = False
        await anyio.sleep(30)
        assert not any(fleet.granted.values())
        fleet.group.instances['a'].is_up = True
        await _wait_for_confirmed(fleet, 'a', RETURN_LIMIT_S)

    assert not _run(scenario).promotions
