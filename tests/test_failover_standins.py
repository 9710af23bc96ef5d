"""Keepers replace the primary of a stand-in group over real sockets."""

import anyio
import pytest

from catkincrank import endpoints  # noqa: F401
from catkincrank.instance import Role
from catkincrank.keeper import KeeperOptions, PeerAddress, serve
from catkincrank.keeperdump import dump_keeper
from catkincrank.standins.group import StandinGroup
from catkincrank.stores.memory import MemoryStore
from tests.deployment import GROUP, make_team

LIMIT_S = 40


async def start_keepers(tasks, group, store):
    """Start three keepers in three zones, with the others as their peers."""
    team = make_team(group)
    started = []
    for number in range(3):
        name = 'k{0}'.format(number)
        options = KeeperOptions(
            name,
            'z{0}'.format(number),
            store=store,
            teams={'sawari': team},
        )
        started.append(await tasks.start(serve, options))
    for keeper in started:
        keeper.fleet.set_peers(
            PeerAddress(
                other.options.name,
                other.options.zone,
                '127.0.0.1',
                other.port,
            )
            for other in started
            if other is not keeper
        )
    return started


async def wait_until(condition):
    with anyio.fail_after(LIMIT_S):
        while not condition():
            await anyio.sleep(0.02)


def has_rejoined(group):
    statuses = {found.name: found for found in group.instances()}
    primary = group.primary
    return primary and all(
        found.role is Role.REPLICA and found.follows == primary
        for name, found in statuses.items()
        if name != primary
    )


@pytest.mark.parametrize('store_is_down', [False, True])
@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_failed_primary_is_replaced_and_rejoins(fault, store_is_down):
    async def scenario():
        store = MemoryStore('{0}-{1}'.format(fault, store_is_down))
        store.shared.is_down = store_is_down
        async with StandinGroup() as group, anyio.create_task_group() as tasks:
            keepers = await start_keepers(tasks, group, store)
            await wait_until(
                lambda: all(
                    len(keeper.feed.observations(GROUP)) == 3
                    for keeper in keepers
                ),
            )
            dump = dump_keeper(keepers[0])
            assert dump['duties'][GROUP]['rank'] is not None
            assert dump['supervised'][GROUP]['trouble'] == ''
            assert set(dump['peers']) == {'k1', 'k2'}
            getattr(group, fault)('a')
            await wait_until(lambda: group.primary in ('b', 'c'))
            if fault == 'kill':
                await group.restart('a')
            else:
                group.resume('a')
            await wait_until(lambda: has_rejoined(group))
            names = [
                event.name
                for keeper in keepers
                for event in keeper.journal.list_events(GROUP)
            ]
            assert names.count('promotion') == 1
            assert 'suspicion' in names
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
