import itertools

import anyio
import pytest

from tests import virtualtime
from tests.gatewayfleet import Fleet

# The goal of issue 10: 2 s and the promotion in the median, 6 s at most.
GAP_LIMIT_S = 6.0


def _run(scenario):
    """Run ``scenario(fleet)`` on a fleet of three that serves endpoint a."""

    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            fleet.start('x', 'y', 'z')
            tasks.start_soon(fleet.watch)
            await fleet.settle('a')
            while not fleet.nodes[fleet.holder].tenure.is_settled:
                await anyio.sleep(0.1)
            await scenario(fleet)
            tasks.cancel_scope.cancel()
        return fleet

    return virtualtime.run(run)


def _check_promotions(fleet):
    """No two holders share a token, and tokens only grow."""
    holders = {}
    for call in fleet.promotions:
        assert holders.setdefault(call.token, call.holder) == call.holder
    for one, two in itertools.pairwise(fleet.promotions):
        assert one.token <= two.token
    assert not fleet.conflicts
    assert not fleet.stale


def test_nothing_is_promoted_while_all_is_well():
    async def scenario(fleet):
        await anyio.sleep(60)
        assert set(fleet.granted.values()) == {'a'}

    fleet = _run(scenario)
    assert not fleet.promotions
    assert not fleet.conflicts


def test_a_primary_that_has_too_many_connections_is_alive():
    """After a power loss, dead connections counted and looked like death."""

    async def scenario(fleet):
        for node in fleet.nodes.values():
            node.driver.is_refusing = True
            await node.supervision._inspector.close()
        for _ in range(50):
            await anyio.sleep(0.1)
            assert set(fleet.granted.values()) == {'a'}

    assert not _run(scenario).promotions


def test_calls_to_the_store_stay_few():
    async def scenario(fleet):
        fleet.rows.calls = 0
        await anyio.sleep(60)

    # A beat and a reading of the holder each 0.8 s, and some slack.
    assert _run(scenario).rows.calls < 60 * 3


def _count_calls_of_start(names):
    """Return the calls to the store per gateway until all grant."""

    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            for name in names:
                fleet.start(name)
                # VMs are not equally fast.
                await anyio.sleep(0.5 / len(names))
            await fleet.settle('a')
            await anyio.sleep(5)
            tasks.cancel_scope.cancel()
        return fleet.rows.calls / len(names)

    return virtualtime.run(run)


def test_calls_of_a_start_grow_with_the_fleet_and_no_faster():
    """A start of 63 gateways cost each of them a call for each other's row."""
    few = _count_calls_of_start(['x{0}'.format(one) for one in range(8)])
    many = _count_calls_of_start(['x{0}'.format(one) for one in range(64)])
    assert many < 2 * few, (few, many)


async def _lose_primary(fleet):
    fleet.group.instances['a'].is_up = False


async def _lose_primary_and_holder(fleet):
    fleet.group.instances['a'].is_up = False
    fleet.kill(fleet.holder)


async def _lose_primary_and_another(fleet):
    fleet.group.instances['a'].is_up = False
    other = next(name for name in fleet.nodes if name != fleet.holder)
    fleet.kill(other)


async def _lose_primary_as_the_store_blinks(fleet):
    fleet.group.instances['a'].is_up = False
    fleet.rows.is_down = True
    await anyio.sleep(2)
    fleet.rows.is_down = False


async def _lose_primary_and_answers(fleet):
    fleet.group.instances['a'].is_up = False
    fleet.rows.lost_answers = 4


async def _turn_holder_away(fleet):
    fleet.rows.rejected_clients = {fleet.holder}
    fleet.group.instances['a'].is_up = False


async def _cut_holder(fleet):
    fleet.cut = {fleet.holder}
    fleet.rows.rejected_clients = {fleet.holder}
    fleet.group.instances['a'].is_up = False


async def _forget_history(fleet):
    fleet.group.instances['a'].is_up = False
    fleet.rows.horizon = fleet.rows.version + 1


@pytest.mark.parametrize(
    ('trouble', 'limit_s'),
    [
        (_lose_primary, GAP_LIMIT_S),
        (_lose_primary_and_another, GAP_LIMIT_S),
        (_lose_primary_as_the_store_blinks, GAP_LIMIT_S),
        (_lose_primary_and_answers, GAP_LIMIT_S),
        (_forget_history, GAP_LIMIT_S),
        # A lost holder is waited for; see design-platform.md.
        (_lose_primary_and_holder, 14),
        (_turn_holder_away, 14),
        (_cut_holder, 14),
    ],
)
def test_a_lost_primary_is_replaced_by_one(trouble, limit_s):
    async def scenario(fleet):
        await trouble(fleet)
        began = anyio.current_time()
        reachable = set(fleet.nodes) - fleet.cut
        while {fleet.granted[name] for name in reachable} - {'b', 'c'}:
            await anyio.sleep(0.05)
            assert anyio.current_time() < began + limit_s, fleet.granted
        await anyio.sleep(5)

    fleet = _run(scenario)
    assert len({call.endpoint_id for call in fleet.promotions}) == 1
    _check_promotions(fleet)


def test_a_leaving_primary_hands_over_without_loss():
    async def scenario(fleet):
        for _ in range(3):
            fleet.group.commit(fleet.group.leader)
        for name in ('b', 'c'):
            fleet.group.instances[name].lag_s = 0.2
        for node in fleet.nodes.values():
            for entry in fleet.group.list_entries():
                if entry.endpoint_id == 'a':
                    draining = type(entry)(
                        entry.endpoint_id,
                        entry.service,
                        entry.host,
                        entry.port,
                        entry.zone,
                        entry.slots,
                        is_draining=True,
                    )
                    node.groups.roster.put(draining)
        began = anyio.current_time()
        while set(fleet.granted.values()) - {'b', 'c'}:
            await anyio.sleep(0.02)
            assert anyio.current_time() < began + GAP_LIMIT_S
        assert len(fleet.group.leader.log) == 3

    _check_promotions(_run(scenario))


def test_replaced_primaries_that_nobody_demoted_take_over():
    """Found by seed 44 of the soak: each endpoint took itself for one."""

    async def scenario(fleet):
        for name in ('b', 'c'):
            fleet.group.instances[name].is_primary = True
            fleet.group.instances[name].term = 0
        await _lose_primary(fleet)
        began = anyio.current_time()
        while set(fleet.granted.values()) - {'b', 'c'}:
            await anyio.sleep(0.05)
            assert anyio.current_time() < began + GAP_LIMIT_S, fleet.granted

    _check_promotions(_run(scenario))


def test_a_primary_without_a_successor_leads_again_when_it_answers():
    """The platform does nothing when its present primary is promoted."""

    async def scenario(fleet):
        for name in ('a', 'b', 'c'):
            fleet.group.instances[name].is_up = False
        await anyio.sleep(5)
        assert set(fleet.granted.values()) == {None}
        fleet.group.instances['a'].is_up = True
        await fleet.settle('a', GAP_LIMIT_S)

    fleet = _run(scenario)
    assert not fleet.promotions
    _check_promotions(fleet)


def test_a_primary_is_not_kept_once_another_may_have_been_promoted():
    async def scenario(fleet):
        fleet.group.promote_s = 30
        await _lose_primary(fleet)
        await anyio.sleep(4)
        assert fleet.promotions
        for name in ('b', 'c'):
            fleet.group.instances[name].is_up = False
        fleet.group.instances['a'].is_up = True
        for _ in range(100):
            await anyio.sleep(0.1)
            assert 'a' not in set(fleet.granted.values())

    _check_promotions(_run(scenario))


@pytest.mark.parametrize('outage_s', [1, 4, 5])
def test_grants_outlast_an_outage_of_the_store(outage_s):
    async def scenario(fleet):
        fleet.rows.is_down = True
        ends_at = anyio.current_time() + outage_s
        while anyio.current_time() < ends_at:
            await anyio.sleep(0.1)
            assert set(fleet.granted.values()) == {'a'}
        fleet.rows.is_down = False
        await anyio.sleep(10)
        assert set(fleet.granted.values()) == {'a'}

    assert not _run(scenario).promotions


def test_a_gateway_that_the_store_turns_away_keeps_its_grants():
    async def scenario(fleet):
        away = next(name for name in fleet.nodes if name != fleet.holder)
        fleet.rows.rejected_clients = {away}
        for _ in range(200):
            await anyio.sleep(0.1)
            assert fleet.granted[away] == 'a'

    assert not _run(scenario).promotions


def test_a_gateway_that_is_cut_off_loses_its_grants():
    async def scenario(fleet):
        away = next(name for name in fleet.nodes if name != fleet.holder)
        fleet.cut = {away}
        fleet.rows.rejected_clients = {away}
        await anyio.sleep(3)
        assert fleet.granted[away] is None
        fleet.cut = set()
        fleet.rows.rejected_clients = set()
        await fleet.settle('a', 5)

    assert not _run(scenario).promotions


def test_a_holder_that_starts_again_holds_the_duty_again():
    async def scenario(fleet):
        name = fleet.holder
        fleet.kill(name)
        await anyio.sleep(1)
        fleet.start(name)
        await anyio.sleep(6)
        assert fleet.holder == name
        assert fleet.nodes[name].tenure.is_settled

    _check_promotions(_run(scenario))


def test_gateways_that_all_start_again_serve_soon():
    async def scenario(fleet):
        for name in tuple(fleet.nodes):
            fleet.kill(name)
        await anyio.sleep(1)
        fleet.start('x', 'y', 'z')
        assert await fleet.settle('a') < 1

    assert not _run(scenario).promotions


@pytest.mark.parametrize('late_s', [0.2 * step for step in range(1, 16)])
def test_a_late_write_does_not_bring_a_replaced_primary_back(late_s):
    """Found by deploy/days/late-answers.toml on kitakaze-jetfuel: ONE.

    The write that named the successor got no answer; the successor fell
    silent, another one was promoted, and then the write was done.
    """

    async def scenario(fleet):
        rows = fleet.rows
        rows.late_s = late_s
        seen = []

        def is_late(bodies):
            named = any(
                body and b'"primary":"a"' not in body and b'"term"' in body
                for body in bodies.values()
            )
            if named and not seen:
                seen.append(anyio.current_time())
                fleet.group.leader.is_up = False
                return True
            return False

        rows.is_late = is_late
        fleet.group.instances['a'].is_up = False
        await anyio.sleep(20)
        assert seen

    _check_promotions(_run(scenario))
