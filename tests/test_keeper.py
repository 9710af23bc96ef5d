import dataclasses

import anyio
import pytest

from catkincrank.endpoint import Credential, EndpointAddress, drivers
from catkincrank.feed import Feed
from catkincrank.feedclient import FeedClient, KeeperAddress
from catkincrank.instance import Role
from catkincrank.keeper import KeeperOptions, serve
from catkincrank.messages import Hello, SettingsUpdate
from catkincrank.settings import Endpoint, Service, Team
from catkincrank.watch import Watch, WatchListener, WatchTarget
from tests import virtualtime
from tests.fakedriver import FakeDriver, FakeInstance

GROUP = 'team/ledger'
TEAM = Team(
    services={
        'ledger': Service(
            endpoints=tuple(
                Endpoint(name=name, zone='z', host='127.0.0.1', port=1)
                for name in 'abc'
            ),
            driver='fake',
        ),
    },
)
HELLO = Hello('proxy', 'z', 'proxy', 'p1')


class StatusRecorder(WatchListener):
    def __init__(self):
        self.seen = []
        self.failures = []

    def on_status(self, group, observation):
        self.seen.append((anyio.current_time(), observation))

    def on_failure(self, group, endpoint, reason):
        self.failures.append((anyio.current_time(), reason))


def make_instances():
    FakeDriver.instances = {name: FakeInstance(name) for name in 'abc'}
    drivers.register('fake')(FakeDriver)
    return FakeDriver.instances


async def run_watch(seconds, change=None, expedite=False):
    instance = make_instances()['a']
    recorder = StatusRecorder()
    watch = Watch(
        WatchTarget(
            GROUP,
            EndpointAddress('a', '127.0.0.1', 1),
            Credential('u', 'p', 'd'),
        ),
        FakeDriver(),
        'keeper',
        recorder,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        await anyio.sleep(1)
        if change:
            change(instance)
        if expedite:
            watch.expedite()
        await anyio.sleep(seconds)
        tasks.cancel_scope.cancel()
    return instance, recorder


@pytest.mark.parametrize(
    ('expedite', 'least', 'most'),
    [(False, 5, 6), (True, 50, 80)],
)
def test_watch_reads_often_only_while_urgent(expedite, least, most):
    _, recorder = virtualtime.run(run_watch, 1, None, expedite)
    assert least <= len(recorder.seen) <= most
    assert all(at >= seen.taken_at for at, seen in recorder.seen)


def test_watch_reconnects_when_a_connection_stops_answering():
    def silence(instance):
        instance.silent.add(instance.connection)

    instance, recorder = virtualtime.run(run_watch, 3, silence)
    assert instance.connects == 2
    assert len(recorder.failures) == 1
    assert recorder.seen[-1][0] > 3.5


@pytest.mark.parametrize(
    ('behaviour', 'most_attempts'),
    [('down', 60), ('frozen', 12)],
)
def test_watch_limits_attempts_to_a_failed_instance(behaviour, most_attempts):
    def change(instance):
        instance.behaviour = behaviour

    _, recorder = virtualtime.run(run_watch, 10, change)
    assert 5 <= len(recorder.failures) <= most_attempts


async def start_keeper(tasks, name, **options):
    return await tasks.start(
        serve,
        KeeperOptions(name, 'z', teams={'team': TEAM}, **options),
    )


async def wait_until(condition):
    with anyio.fail_after(30):
        while not condition():
            await anyio.sleep(0.01)


def address(keeper):
    return KeeperAddress(keeper.options.name, '127.0.0.1', keeper.port)


def test_proxy_receives_updates_from_a_reachable_keeper():
    async def scenario():
        instances = make_instances()
        feed = Feed()
        async with anyio.create_task_group() as tasks:
            near = await start_keeper(tasks, 'near')
            dead = KeeperAddress('dead', '127.0.0.1', 1)
            client = FeedClient(HELLO, (dead, address(near)), feed)
            client.subscription.add(GROUP)
            tasks.start_soon(client.run)
            await wait_until(lambda: len(feed.observations(GROUP)) == 3)
            assert client.connected_to == 'near'
            status = instances['b'].status
            instances['b'].status = dataclasses.replace(
                status,
                role=Role.PRIMARY,
            )
            client.subscription.expedite(GROUP)
            await wait_until(lambda: feed.primary(GROUP) is not None)
            now = anyio.current_time()
            assert feed.primary(GROUP).taken_at <= now
            assert client.silence_s(now) < 30
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_new_supervision_uses_a_new_ballot_name():
    async def scenario():
        make_instances()
        async with anyio.create_task_group() as tasks:
            keeper = await start_keeper(tasks, 'near')
            supervisor = keeper.supervisor
            first = supervisor.supervisions[GROUP].options.keeper
            keeper.apply_team('team', TEAM)
            assert supervisor.supervisions[GROUP].options.keeper == first
            keeper.apply_team('team', None)
            assert supervisor.supervisions == {}
            keeper.apply_team('team', TEAM)
            assert supervisor.supervisions[GROUP].options.keeper != first
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_extension_and_client_handlers_exchange_settings():
    updates = []

    async def scenario():
        make_instances()
        update = SettingsUpdate('team', 2, b'{}', 'c')

        async def extend(keeper):
            @keeper.dispatcher.handle(SettingsUpdate)
            async def answer(peer, message):
                await peer.link.send(message)

        async with anyio.create_task_group() as tasks:
            keeper = await start_keeper(tasks, 'near', extensions=(extend,))
            client = FeedClient(HELLO, (address(keeper),), Feed())

            @client.on_open
            async def offer(link):
                await link.send(update)

            @client.dispatcher.handle(SettingsUpdate)
            async def keep(peer, message):
                updates.append(message)

            tasks.start_soon(client.run)
            await wait_until(lambda: updates)
            tasks.cancel_scope.cancel()
        assert updates == [update]

    anyio.run(scenario)
