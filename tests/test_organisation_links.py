"""Statements run on links of their organisation only."""

import dataclasses
import random
import statistics

import anyio
import pytest

from catkincrank.envelope import decode_message, encode_message
from catkincrank.errors import EndpointError
from catkincrank.gateway import remotelink
from catkincrank.gateway.carriermessages import (
    CarriedOrganisation,
    CarryRequest,
    Destination,
)
from catkincrank.gateway.carriers import ConnectionShare
from catkincrank.gateway.catalog import Organisation
from catkincrank.gateway.linkaffinity import LinkAffinity
from catkincrank.gateway.linkcounter import LinkCounter
from catkincrank.gateway.linkpools import LinkPools, LinkRequest
from catkincrank.gateway.placement import PlacementRequest
from catkincrank.gateway.reply import Failure
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.session import Session
from catkincrank.gateway.statement import Prepared
from catkincrank.links import LinkClosedError
from catkincrank.metrics import Metrics
from catkincrank.platform.endpoints import LineLink
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup
from catkincrank.standins.memorylink import MemoryDriver
from tests import test_gateway_carriers as carried
from tests import virtualtime
from tests.gatewaypath import CATALOG, ROUTES, RequestPath

OPENING_S = 0.012
WORK_S = 0.02
ENTRIES = [
    EndpointEntry('i-{0}'.format(one), 'svc', '10.0.1.1', 80, 'z', 3)
    for one in range(3)
]
NAMES = ('x', 'y', 'old', 'new', *map('o{0}'.format, range(100)))
# Every name is the digest of a key of its organisation.
CATALOG_WITH_KEYS = dataclasses.replace(
    CATALOG,
    version=CATALOG.version + 1,
    routes={
        database: dataclasses.replace(route, is_public=True)
        for database, route in ROUTES.items()
    },
    organisations={name: Organisation(name, 1, 1) for name in NAMES},
    keys={name.encode(): name for name in NAMES},
)


class SlowDriver(MemoryDriver):
    """Opens links as slowly as an endpoint does, up to its limit."""

    def __init__(self, group, limit=100):
        super().__init__({'svc': group}, [])
        self.limit = limit
        self.held = 0
        self.most_held = 0

    async def connect(self, entry, name):
        self.held += 1
        self.most_held = max(self.held, self.most_held)
        await anyio.sleep(OPENING_S)
        link = await super().connect(entry, name)
        link.close = self._close
        return link

    async def _close(self):
        await anyio.sleep(0.001)
        self.held -= 1


def run_pools(scenario, share):
    """Run ``scenario`` with pools of links to one endpoint."""

    async def run():
        group = MemoryEndpointGroup('svc', ('a',))
        (entry,) = group.list_entries()
        driver = SlowDriver(group)
        async with anyio.create_task_group() as tasks:
            pools = LinkPools(driver, 'vm', tasks)
            pools.configure({'a': entry}.get, lambda _: share)
            tasks.start_soon(pools.run)
            outcome = await scenario(pools, entry, driver)
            tasks.cancel_scope.cancel()
        return outcome

    return virtualtime.run(run)


async def use(pools, entry, organisation, work_s=WORK_S):
    """Hold a link of an organisation; return the time until it was lent."""
    began = anyio.current_time()
    asked = LinkRequest('r', 1, began + 2, organisation)
    borrowed = await pools.borrow(entry, asked)
    took_s = anyio.current_time() - began
    assert borrowed.link.name == (organisation or 'vm')
    await anyio.sleep(work_s)
    borrowed.give_back()
    return took_s


@pytest.mark.parametrize('max_held', [1, 2])
def test_link_of_another_organisation_costs_one_close_and_one_open(max_held):
    """Guards against an eviction that waits for the maintenance of the pool."""

    async def scenario(pools, entry, driver):
        waits = [await use(pools, entry, name) for name in ('x', 'y', 'z', 'z')]
        assert driver.most_held <= max_held
        return waits

    waits = run_pools(scenario, ConnectionShare(1, 1, max_held=max_held))
    assert max(waits) <= OPENING_S + 0.002
    assert waits[-1] == 0


def test_hot_organisation_does_not_delay_the_others():
    """One organisation has 8 times its usual load; the others notice little.

    Seven organisations load the pool by half. The burst of one asks for twice
    what the pool can serve.
    """

    async def scenario(pools, entry, driver, factor):
        source = random.Random(7)
        waits = {}

        async def ask(name):
            try:
                took_s = await use(pools, entry, name)
            except Exception:
                took_s = 2
            waits.setdefault(name, []).append(took_s)

        async def call(name, rate):
            while anyio.current_time() < 10:
                await anyio.sleep(source.expovariate(rate))
                tasks.start_soon(ask, name)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, 'hot', 40 * factor)
            for number in range(6):
                tasks.start_soon(call, 'o{0}'.format(number), 10)
        waits.pop('hot')
        assert driver.most_held <= 6
        return [one for each in waits.values() for one in each]

    share = ConnectionShare(4, 4, max_held=6)
    usual, loaded = [
        run_pools(
            lambda pools, entry, driver, by=factor: scenario(
                pools, entry, driver, by
            ),
            share,
        )
        for factor in (1, 8)
    ]
    print(statistics.mean(usual), statistics.mean(loaded), max(loaded))
    assert statistics.mean(loaded) < statistics.mean(usual) + 2 * WORK_S
    assert max(loaded) < 0.3


def check_names(path, organisations):
    """Check the name of each link that ran a statement.

    Args:
        path: The request path.
        organisations: Organisation of the caller by identifier of the request.
    """
    assert path.runs
    for run in path.runs:
        assert run.link.name == organisations[run.request_id], run.text


def open_session(path, organisation, database='strong'):
    """Open a session with the key of an organisation, or without a key."""
    path.groups.accept(CATALOG_WITH_KEYS)
    return Session(database, organisation.encode(), organisation)


async def run_session(path, organisations, organisation, *texts):
    """Run a script; record its requests; return the failures."""
    session = open_session(path, organisation)
    failures = []
    for text in texts:
        number = path._request_count + 1
        organisations[b'%d' % number] = organisation
        reply = await path.run_statement(session, text)
        failures.append(reply.refusal and reply.refusal.failure)
    return failures


def test_links_are_counted_by_event():
    """Guards against operators who cannot tell reuse from opening."""
    metrics = Metrics()
    counter = LinkCounter(metrics)

    async def scenario(pools, entry, _driver):
        pools._count_event = counter.count
        for name in ('x', 'x', 'y', 'x'):
            await use(pools, entry, name)

    run_pools(scenario, ConnectionShare(1, 1))
    metrics.load()
    sample = metrics._registry.get_sample_value
    events = ('opened', 'reused', 'evicted')
    counts = [
        sample('catkincrank_links_total', {'event': event}) for event in events
    ]
    assert counts == [3, 1, 2]


def test_silent_carrier_does_not_delay_links_to_others(monkeypatch):
    """Guards against one time-out that holds up every organisation.

    The connections to all carriers of an endpoint were opened two at a time.
    """

    async def scenario(path):
        found = use_three_carriers(path)
        first = min(found)
        silent = found[first]
        dial = path._dial

        async def dial_slowly(host, *rest):
            if host == silent.name:
                await anyio.sleep(0.4)
                raise LinkClosedError('no answer')
            return await dial(host, *rest)

        monkeypatch.setattr(remotelink, 'dial', dial_slowly)
        others = [name for name, one in found.items() if one != silent]
        assert others
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(run_session, path, {}, first, b'READ k')
            await anyio.sleep(0.01)
            began = anyio.current_time()
            for name in others[:3]:
                failures = await run_session(path, {}, name, b'READ k')
                assert failures == [None]
            assert anyio.current_time() < began + 0.1

    carried._run_scenario(monkeypatch, scenario)


SCRIPTS = (
    (b'READ k',),
    (b'WRITE k v', b'READ k'),
    (b'BEGIN', b'WRITE k v', b'READ k', b'COMMIT'),
    (b'SET z 1', b'PREPARE p READ q', b'EXECUTE p 1'),
)


def use_three_carriers(path):
    """Let the endpoints accept enough connections for three carriers.

    Returns:
        The first carrier of each of some organisations, for endpoint ``a``.
    """
    for one in path.group.list_entries():
        path.groups.roster.put(dataclasses.replace(one, slots=3))
    path.link_provider.configure(
        path.groups.roster.find,
        {'svc': 20},
        path.link_provider._carriers._members,
        is_new=False,
    )
    entry = path.groups.roster.find('a')
    found = {
        name: path.link_provider._find_carrier(entry, name)
        for name in map('o{0}'.format, range(20))
    }
    return {name: one for name, one in found.items() if one is not None}


def set_shares(path, share):
    for service in path.carrier_services.values():
        service._pools.configure(path.groups.roster.find, lambda _: share)


@pytest.mark.parametrize('script', SCRIPTS)
@pytest.mark.parametrize('is_carried', [False, True])
def test_each_statement_runs_on_a_link_of_its_organisation(
    script, is_carried, monkeypatch
):
    async def scenario(path):
        organisations = {}
        for organisation in ('x', 'y', 'x'):
            failures = await run_session(
                path, organisations, organisation, *script
            )
            assert failures == [None] * len(script)
        check_names(path, organisations)
        assert path.driver.opened == 2

    if is_carried:
        carried._run_scenario(monkeypatch, scenario)
        return

    async def run():
        async with anyio.create_task_group() as tasks:
            path = RequestPath(tasks)
            path.grant()
            await scenario(path)
            tasks.cancel_scope.cancel()

    virtualtime.run(run)


@pytest.mark.parametrize('seed', range(6))
def test_no_fault_makes_a_statement_run_for_another_organisation(
    seed, monkeypatch
):
    """Carriers die and leave, links are evicted while requests wait.

    Five organisations share pools of one or two links.
    """

    async def scenario(path):
        source = random.Random(seed)
        use_three_carriers(path)
        set_shares(path, ConnectionShare(1, 2, max_held=2))
        organisations = {}
        done = []

        async def call(organisation):
            for _ in range(8):
                script = source.choice(SCRIPTS)
                done.extend(
                    await run_session(
                        path, organisations, organisation, *script
                    )
                )
                await anyio.sleep(source.random() / 20)

        async def disturb():
            for _ in range(6):
                await anyio.sleep(source.random() / 4)
                name = path.carrier or 'c0'
                fault = source.choice(('dead', 'dying', 'leaving', 'lost'))
                if fault == 'lost':
                    path.group.newest_primary.lost_answers = 2
                elif fault == 'leaving':
                    path.carrier_services[name].is_leaving = True
                else:
                    getattr(path, fault).add(name)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(disturb)
            for number in range(10):
                tasks.start_soon(call, 'o{0}'.format(number % 5))
        check_names(path, organisations)
        assert done.count(None) > len(done) / 3

    carried._run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize('fault', ['dead', 'dying'])
def test_lost_carrier_is_followed_by_a_link_of_the_organisation(
    fault, monkeypatch
):
    async def scenario(path):
        organisations = {}
        found = use_three_carriers(path)
        for name, first in list(found.items())[:3]:
            await run_session(path, organisations, name, b'READ k')
            getattr(path, fault).add(first.name)
            failures = await run_session(path, organisations, name, b'READ k')
            assert failures == [None]
            assert found[name] != use_three_carriers(path).get(name)
        check_names(path, organisations)

    carried._run_scenario(monkeypatch, scenario)


def test_renamed_organisation_gets_new_links(monkeypatch):
    """A transaction that began under the old name runs nothing under the new.

    It is rolled back at the endpoint.
    """

    async def scenario(path):
        organisations = {}
        session = open_session(path, 'old')
        organisations = {b'1': 'old', b'2': 'old'}
        for text in (b'BEGIN', b'WRITE k v'):
            await path.run_statement(session, text)
        link = session.transaction.borrowed.link
        link.apply_link_request(LinkRequest('r', 1, 9, 'new'))
        position = path.group.newest_primary.position
        reply = await path.run_statement(session, b'COMMIT')
        assert reply.refusal.failure is Failure.ABORTED
        assert path.group.newest_primary.position == position
        assert not any(
            service.active_sessions
            for service in path.carrier_services.values()
        )
        for name in ('new', 'old'):
            failures = await run_session(path, organisations, name, b'READ k')
            assert failures == [None]
        check_names(path, organisations)

    carried._run_scenario(monkeypatch, scenario)


def make_request(destination, organised, prepared=None):
    return CarryRequest(
        'read',
        b'id',
        b'READ k',
        0.7,
        destination,
        None,
        (),
        prepared,
        'r',
        2,
        organised,
    )


def test_carrier_refuses_an_organisation_without_a_name(monkeypatch):
    """Guards against a malformed request that runs on the carrier's own link.

    Its name would be taken for that of no organisation.
    """

    async def scenario(path):
        entry = path.group.list_entries()[0]
        session = path.carrier_services['c0'].open()
        destination = Destination.of_entry(entry)
        answer = await session.answer(
            make_request(destination, CarriedOrganisation(''))
        )
        assert answer.error
        assert not answer.was_sent
        assert not path.runs

    carried._run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize(
    ('prepared', 'encoded'),
    [
        (
            None,
            '00000000110000000000000001000100010013000000000000000000010008003333'
            '333f020000001d0000002a0000001d000000120000001d00000032000000000000'
            '000000000000000000000000001500000007000000000000000000000011000000'
            '120000007265616400000000696400000000000052454144206b00000000000000'
            '0002007200000000000000',
        ),
        (
            Prepared(is_write=False, shape=b'select'),
            '00000000140000000000000001000100010013000000000000000000010008003333'
            '333f020000001d0000002a0000001d000000120000001d00000032000000000000'
            '000000000000000000000000001500000007000000140000000100010'
            '01d000000120000007265616400000000696400000000000052454144206b0000000'
            '00000000002000000000000000000010000003200000073656c65637400007200000'
            '000000000',
        ),
    ],
)
def test_request_without_an_organisation_is_encoded_as_before(
    prepared, encoded
):
    """Guards against larger messages where there are no organisations.

    A field of its own would add 8 bytes to each carried statement.
    """
    message = make_request(None, None, prepared)
    assert encode_message(message).hex() == encoded
    organised = make_request(None, CarriedOrganisation('x', prepared))
    decoded = decode_message(encode_message(organised))
    assert (decoded.organisation, decoded.wanted) == ('x', prepared)
    assert decoded.route == 'r'


class _Stream:
    """A connection to an endpoint that accepts every name."""

    def __init__(self):
        self.sent = b''

    async def send(self, payload):
        self.sent += payload

    async def receive(self, _size):
        return b'READY I 1.0\r\n'


@pytest.mark.parametrize(
    ('name', 'is_sent'),
    [
        ('o-1', True),
        ('', False),
        ('a b', False),
        ('a\r\nQ', False),
        ('ä', False),
    ],
)
def test_only_a_name_that_is_one_field_is_sent(name, is_sent):
    """Guards against a name from another process that injects a request.

    One that cannot be encoded would end the process.
    """
    stream = _Stream()
    link = LineLink(stream, 'i-0')
    if is_sent:
        anyio.run(link.start, 'svc', name)
        assert stream.sent == b'STARTUP svc o-1 i-0\r\n'
        return
    with pytest.raises(EndpointError) as caught:
        anyio.run(link.start, 'svc', name)
    assert not (caught.value.was_sent or stream.sent)


def test_all_processes_use_the_same_carriers_of_an_organisation():
    entry = carried._entry('k-a')
    carriers = carried._carriers()
    listed = carriers['vm1']._list_carriers(entry)
    firsts = set()
    for organisation in map('o{0}'.format, range(40)):
        chosen = {
            load: {
                name: one.find_shared(entry, organisation, 0, lambda _: load)
                for name, one in carriers.items()
            }
            for load in (False, True)
        }
        first, second = [
            set(each.values()) - {None} for each in chosen.values()
        ]
        assert len(first) == 1
        # The first carrier itself connects directly, however busy it is.
        (found,) = first
        assert chosen[False][found.name] is chosen[True][found.name] is None
        assert len(second) == 1
        firsts |= first
        one = carriers['vm1']
        one.avoid(found, 0, 'test')
        next_found = one.find_shared(entry, organisation, 0, lambda _: False)
        assert next_found in second | {None}
        one._avoided_until.clear()
    assert firsts == set(listed)


def test_shares_leave_room_for_a_carrier_that_takes_another_place():
    """The endpoint counts a failed carrier's connections for 3 s."""
    entry = carried._entry('k-a')
    for connections in (20, 32, 46, 56, 107):
        shares = [
            one.share(entry)
            for one in carried._carriers(connections).values()
            if one._is_own(one._list_carriers(entry))
        ]
        held = sum(max(one.limit, one.max_held) for one in shares)
        assert held <= connections - 2
        extra = [one for one in shares if one.max_held > one.limit]
        assert not extra or held + shares[0].limit <= connections - 2


@pytest.mark.parametrize(
    ('uses', 'now', 'expected'),
    [
        ([], 0, set()),
        ([('x', 'i-0', 1)], 5, {'i-0'}),
        ([('x', 'i-0', 1)], 7, set()),
        ([('y', 'i-0', 1)], 5, set()),
        ([('x', 'i-0', 1), ('x', 'i-1', 2)], 5, {'i-0', 'i-1'}),
    ],
)
def test_links_are_likely_open_where_they_were_used_lately(uses, now, expected):
    affinity = LinkAffinity()
    for use in uses:
        affinity.record_use(*use)
    common = LinkAffinity().list_likely('x', ENTRIES, '', now)
    assert len(common) == 1
    assert affinity.list_likely('x', ENTRIES, '', now) == expected | common
    for primary in common:
        found = affinity.list_likely('x', ENTRIES, primary, now)
        assert primary not in found


def test_uses_of_many_organisations_are_forgotten():
    affinity = LinkAffinity()
    for number in range(6000):
        affinity.record_use(str(number), 'i-0', number)
    assert len(affinity._uses) < 5000


def test_reads_of_small_organisations_keep_to_one_replica_unless_it_is_slow():
    """A preference of 12 ms must give way to load."""

    async def scenario(path):
        path.group.instances['a'].work_s = 0.02
        path.evidence.add_sample(
            anyio.current_time(), path.group.newest_primary.position
        )
        seen = {}
        for organisation in map('o{0}'.format, range(8)):
            session = open_session(path, organisation, 'bounded')
            for _ in range(6):
                await path.run_statement(session, b'READ k')
                await anyio.sleep(0.01)
            seen[organisation] = {run.endpoint_id for run in path.runs}
            path.runs.clear()
        assert all(len(each) == 1 for each in seen.values())
        (busy,) = seen['o0']
        path.group.instances[busy].work_s = 0.2
        session = open_session(path, 'o0', 'bounded')
        for _ in range(8):
            await path.run_statement(session, b'READ k')
        assert {run.endpoint_id for run in path.runs} - {busy}

    async def run():
        async with anyio.create_task_group() as tasks:
            path = RequestPath(tasks)
            path.grant()
            await scenario(path)
            tasks.cancel_scope.cancel()

    virtualtime.run(run)


def test_priority_of_the_organisation_adds_to_that_of_the_route():
    async def run():
        async with anyio.create_task_group() as tasks:
            path = RequestPath(tasks)
            path.groups.accept(
                dataclasses.replace(
                    CATALOG,
                    version=2,
                    organisations={'x': Organisation('x', 5, 5, 2)},
                )
            )
            placement = path.session_server._execution._placement
            found = [
                placement._find_priority(
                    PlacementRequest(
                        ROUTES['strong'], None, 0, 1, False, organisation
                    )
                )
                for organisation in ('', 'x', 'unknown')
            ]
            tasks.cancel_scope.cancel()
        return found

    assert virtualtime.run(run) == [1, 3, 1]
    weights = [
        LinkRequest('r', priority, 0, 'x').weight for priority in range(5)
    ]
    assert weights == [8, 4, 2, 1, 0.5]
