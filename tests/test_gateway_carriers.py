"""Statements for endpoints with few connections run through carriers."""

import anyio
import pytest

from catkincrank.errors import EndpointError
from catkincrank.gateway import remotelink
from catkincrank.gateway.carriers import Carriers, ConnectionShare
from catkincrank.gateway.carrierservice import CarrierService
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.linkpools import LinkPools, LinkRequest
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.links import LinkClosedError
from catkincrank.metrics import Metrics
from tests import virtualtime
from tests.gatewaypath import BOUNDED, RequestPath

# Members of a zone beyond its carriers that may take their place.
SUBSTITUTES = 4
ZONES = ('k-a', 'k-b', 'b-a', 'b-b', 'p-a', 'p-b')
REGIONS = {zone: zone[0] for zone in ZONES}
FLEET = {
    'vm{0}'.format(number): MemberRecord(
        'vm{0}'.format(number),
        'incarnation',
        '10.0.0.{0}'.format(number),
        1,
        ZONES[number % len(ZONES)],
    )
    for number in range(63)
}


def _entry(zone, endpoint_id='i-1'):
    return EndpointEntry(endpoint_id, 'svc', '10.0.1.1', 80, zone, 3)


def _carriers(connections=32, fleet=FLEET):
    found = {name: Carriers(one, REGIONS) for name, one in fleet.items()}
    for one in found.values():
        one.configure({'svc': connections}, fleet)
    return found


@pytest.mark.parametrize(
    ('members', 'connections', 'is_scarce'),
    [
        (8, 23, False),
        (7, 30, False),
        (63, 32, True),
        (74, 107, True),
        # One connection for each process, and two.
        (16, 33, True),
        (16, 34, False),
        (1, 3, False),
    ],
)
def test_only_scarce_connections_use_carriers(members, connections, is_scarce):
    fleet = {
        'vm{0}'.format(number): MemberRecord(
            'vm{0}'.format(number), 'incarnation', '', 1, 'k-a'
        )
        for number in range(members)
    }
    carriers = _carriers(connections, fleet)
    shares = [one.share(_entry('k-a')) for one in carriers.values()]
    assert any(share.is_contended for share in shares) is is_scarce


def test_endpoint_is_reached_before_the_members_are_known():
    """Guards against sessions that crash just after a start.

    The configuration arrives before the table of members.
    """
    one = Carriers(FLEET['vm0'], REGIONS)
    one.configure({'svc': 32}, {})
    assert one.find(_entry('k-a'), 0) is None
    assert one.share(_entry('k-a')).limit > 0


@pytest.mark.parametrize('zone', ZONES)
def test_carriers_are_in_the_zone_and_stay_within_the_limits(zone):
    entry = _entry(zone)
    carriers = _carriers()
    chosen = {one.find(entry, 0) for one in carriers.values()} - {None}
    assert {member.zone for member in chosen} == {zone}
    assert len(chosen) == 4
    for name, one in carriers.items():
        is_carrier = FLEET[name] in chosen
        assert (one.find(entry, 0) is None) is is_carrier
    shares = [
        one.share(entry)
        for name, one in carriers.items()
        if FLEET[name] in chosen
    ]
    assert sum(share.max_open for share in shares) <= 30
    # The endpoint has three slots and queues eight statements for each.
    assert sum(share.limit for share in shares) <= 27


def test_processes_spread_over_the_carriers():
    entry = _entry('k-a')
    found = [one.find(entry, 0) for one in _carriers().values()]
    counts = [found.count(one) for one in set(found) - {None}]
    assert max(counts) < 4 * min(counts)


@pytest.mark.parametrize(
    ('zone', 'expected'),
    [('k-c', {'k-a', 'k-b'}), ('x', set(ZONES))],
)
def test_endpoint_in_a_zone_without_members_gets_the_nearest_carriers(
    zone, expected
):
    regions = {**REGIONS, 'k-c': 'k'}
    one = Carriers(FLEET['vm0'], regions)
    one.configure({'svc': 32}, FLEET)
    assert {each.zone for each in one._list_carriers(_entry(zone))} <= expected


def test_failed_carriers_are_avoided_temporarily():
    entry = _entry('k-a')
    carriers = _carriers()['vm1']
    seen = []
    while True:
        carrier = carriers.find(entry, 0)
        if carrier is None:
            break
        seen.append(carrier)
        carriers.avoid(carrier, 0, 'test')
    assert len(seen) == len(set(seen)) == 4 + SUBSTITUTES
    assert {one.name for one in seen[:4]} == {
        one.name for one in carriers._list_carriers(entry)
    }
    assert carriers.find(entry, 5) == seen[0]


def test_few_members_connect_while_all_carriers_are_avoided():
    """Guards against a fleet whose processes all connect to an endpoint.

    With 298 processes before endpoints with 46 connections, carriers were slow
    for a moment. The others connected themselves, 36,270 times in 14 s, which
    occupied the endpoints' slots and kept the carriers slow.
    """
    entry = _entry('k-a')
    fleet = _carriers()
    for one in fleet.values():
        for carrier in one._list_carriers(entry):
            one.avoid(carrier, 0, 'test')
    direct = {name for name, one in fleet.items() if one.find(entry, 0) is None}
    asked = {one.find(entry, 0) for one in fleet.values()} - {None}
    assert len(direct) == SUBSTITUTES
    assert {member.name for member in asked} <= direct


def test_rare_requests_that_time_out_do_not_count_as_silence():
    """Guards against carriers avoided for one late reply.

    A process that sends a carrier few requests has had no reply for seconds.
    """
    entry = _entry('k-a')
    one = _carriers()['vm1']
    carrier = one.find(entry, 0)
    one.record_reply(carrier)
    for sent_at in (10, 20):
        one.record_timeout(carrier, sent_at, sent_at + 0.35)
        assert one.find(entry, sent_at + 0.35) == carrier
    one.record_timeout(carrier, 30, 30.35)
    assert one.find(entry, 30.35) != carrier


def test_carrier_that_replies_is_not_avoided_for_a_slow_endpoint():
    """Guards against time-outs of slow endpoints counting against carriers.

    Under overload, VMs avoided carriers that still replied. All VMs then
    connected directly, and endpoints reset 2,225 connections over their limit.
    """
    entry = _entry('k-a')
    one = _carriers()['vm1']
    carrier = one.find(entry, 0)
    for moment in range(20):
        one.record_reply(carrier)
        one.record_timeout(carrier, moment / 2, moment / 2 + 0.4)
        assert one.find(entry, moment / 2 + 0.4) == carrier
    one.record_timeout(carrier, 10.2, 11)
    assert one.find(entry, 11) != carrier


class _CarrierLink:
    """A link to a carrier that runs in the process of the test."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.session = fleet.carrier_services[name].open()
        self.message = None
        self.has_ended = False

    async def send(self, message):
        if self.name in self.fleet.dead:
            raise LinkClosedError('reset')
        self.message = message

    async def receive(self):
        await anyio.sleep(0.001)
        answer = await self.session.answer(self.message)
        if self.name in self.fleet.dying:
            self.fleet.dead.add(self.name)
            raise LinkClosedError('reset')
        return answer

    async def close(self):
        self.session.close()


class CarriedRequestPath(RequestPath):
    """A gateway's request path through the carriers of 21 members.

    Attributes:
        carrier_services: The serving side of each member.
        dead: Members that refuse links and messages.
        dying: Members that run the next statement and die before they reply.
    """

    def __init__(self, tasks, monkeypatch):
        super().__init__(tasks)
        self.carrier_services = {}
        self.dead = set()
        self.dying = set()
        fleet = {
            name: MemberRecord(name, 'incarnation', name, 1, 'zone')
            for name in ('test', *('c{0}'.format(one) for one in range(20)))
        }
        for name in fleet:
            pools = LinkPools(self.driver, name, tasks)
            pools.configure(
                self.groups.roster.find, lambda _: ConnectionShare(3, 3)
            )
            tasks.start_soon(pools.run)
            self.carrier_services[name] = CarrierService(
                self.groups, pools, Metrics()
            )
        self.link_provider.configure(
            self.groups.roster.find, {'svc': 10}, fleet, is_new=False
        )
        monkeypatch.setattr(remotelink, 'dial', self._dial)

    async def _dial(self, host, *_args):
        if host in self.dead:
            raise LinkClosedError('refused')
        return _CarrierLink(self, host)

    @property
    def carrier(self):
        entry = self.group.list_entries()[0]
        found = self.link_provider._carriers.find(entry, anyio.current_time())
        return found and found.name


def _run_scenario(monkeypatch, scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            path = CarriedRequestPath(tasks, monkeypatch)
            path.grant()
            tasks.start_soon(path.link_provider.run)
            await scenario(path)
            tasks.cancel_scope.cancel()
        return path

    return virtualtime.run(run)


def _verdicts(replies):
    return [reply.refusal and reply.refusal.failure for reply in replies]


@pytest.mark.parametrize(
    'texts',
    [
        (b'WRITE k v', b'READ k'),
        (b'BEGIN', b'READ k', b'WRITE k v', b'COMMIT'),
        (b'BEGIN', b'WRITE k v', b'ROLLBACK', b'READ k'),
        (b'SET z 1', b'READ k', b'WRITE k v'),
        (b'PREPARE p READ q', b'EXECUTE p 1', b'CLOSE p', b'READ k'),
        (b'PREPARE p WRITE q', b'BEGIN', b'EXECUTE p 1', b'COMMIT'),
    ],
)
def test_carried_sessions_keep_their_state(texts, monkeypatch):
    async def scenario(path):
        session = path.open('strong')
        replies = await path.run_script(session, *texts)
        assert _verdicts(replies) == [None] * len(texts)
        assert path.link_provider.direct_pools.list_pools() == []
        other_session = path.open('strong')
        await path.run_script(other_session, b'READ k')
        assert path.runs[-1].values == {}

    path = _run_scenario(monkeypatch, scenario)
    for run in path.runs[:-1]:
        assert run.values == ({b'z': b'1'} if b'SET z 1' in texts else {})


def test_carried_transaction_stays_on_one_connection(monkeypatch):
    async def scenario(path):
        one, two = path.open('strong'), path.open('strong')
        for text in (b'BEGIN', b'WRITE k v', b'READ k', b'COMMIT'):
            await path.run_script(one, text)
            await path.run_script(two, text)

    path = _run_scenario(monkeypatch, scenario)
    links = [run.link for run in path.runs]
    assert len(set(links[::2])) == len(set(links[1::2])) == 1
    assert links[0] is not links[1]
    assert not any(
        one.active_sessions for one in path.carrier_services.values()
    )


@pytest.mark.parametrize(
    ('fault', 'text', 'expected'),
    [
        ('dead', b'WRITE k v', Failure.IN_DOUBT),
        ('dying', b'WRITE k v', Failure.IN_DOUBT),
        ('dying', b'READ k', None),
        ('leaving', b'WRITE k v', None),
        ('leaving', b'READ k', None),
        ('lost', b'WRITE k v', Failure.IN_DOUBT),
        ('lost', b'READ k', None),
        ('silent', b'WRITE k v', Failure.IN_DOUBT),
    ],
)
def test_carrier_fault_has_expected_outcome(fault, text, expected, monkeypatch):
    async def scenario(path):
        session = path.open('strong')
        await path.run_script(session, b'READ k')
        before = len(path.runs)
        carrier = path.carrier
        if fault == 'leaving':
            path.carrier_services[carrier].is_leaving = True
        elif fault == 'lost':
            path.group.newest_primary.lost_answers = 1
        elif fault == 'silent':
            path.group.newest_primary.is_up = False
        else:
            getattr(path, fault).add(carrier)
        replies = await path.run_script(session, text)
        assert _verdicts(replies) == [expected]
        assert sum(text[:1] == run.text[:1] for run in path.runs[before:]) <= (
            2 if text[:1] == b'R' else 1
        )

    _run_scenario(monkeypatch, scenario)


def test_process_connects_directly_without_usable_carriers(monkeypatch):
    async def scenario(path):
        path.dead.update(path.carrier_services)
        session = path.open('bounded')
        path.evidence.record_answer(
            path.groups.roster.find('a'),
            path.group.newest_primary.position,
            0,
            0,
        )
        with anyio.fail_after(30):
            while _verdicts(await path.run_script(session, b'READ k')) != [
                None
            ]:
                await anyio.sleep(0.1)
        assert path.link_provider.direct_pools.list_pools()

    _run_scenario(monkeypatch, scenario)


def test_statement_for_an_unregistered_endpoint_is_not_sent(monkeypatch):
    async def scenario(path):
        entry = path.group.list_entries()[0]
        link_request = LinkRequest(BOUNDED.name, 1, anyio.current_time() + 1)
        borrowed = await path.link_provider.borrow(entry, link_request)
        # For longer than an endpoint is used without its registration.
        path.groups.roster.drop(entry.endpoint_id, anyio.current_time() - 5)
        with pytest.raises(EndpointError) as caught:
            await borrowed.link.begin(is_read_only=True, after=None)
        assert not caught.value.was_sent

    _run_scenario(monkeypatch, scenario)


def test_many_processes_open_few_connections(monkeypatch):
    """Guards against a new connection for most statements.

    When processes passed the scarce connections around instead of using
    carriers, 63 processes with occasional statements, and endpoints that accept
    32 connections each, opened 15,000 connections in 34 s.
    """

    async def scenario(path):
        session = path.open('strong')
        for _ in range(200):
            await path.run_script(session, b'READ k')
            await anyio.sleep(0.3)

    path = _run_scenario(monkeypatch, scenario)
    assert path.driver.opened <= 5


def test_idle_transactions_do_not_block_other_statements(monkeypatch):
    """Callers that are idle in transactions occupy connections.

    Other statements must still get the remaining ones.
    """

    async def scenario(path):
        for each in path.carrier_services.values():
            each._pools.configure(
                path.groups.roster.find, lambda _: ConnectionShare(1, 3)
            )
        idle_sessions = [path.open('strong') for _ in range(2)]
        for one in idle_sessions:
            replies = await path.run_script(one, b'BEGIN', b'WRITE k v')
            assert _verdicts(replies) == [None, None]
        replies = await path.run_script(path.open('strong'), b'READ k')
        assert _verdicts(replies) == [None]
        replies = await path.run_script(
            path.open('strong'), b'BEGIN', b'READ k'
        )
        assert _verdicts(replies) == [None, None]
        replies = await path.run_script(path.open('strong'), b'READ k')
        assert _verdicts(replies) == [Failure.OVERLOADED]

    _run_scenario(monkeypatch, scenario)


def test_full_queue_at_the_carrier_refuses_statements_at_once(monkeypatch):
    """More statements arrive than the endpoint can serve.

    Those that the carrier cannot queue must be refused without a wait.
    """

    async def scenario(path):
        for each in path.carrier_services.values():
            each._pools.configure(
                path.groups.roster.find, lambda _: ConnectionShare(1, 1)
            )
        path.group.newest_primary.work_s = 0.3
        took = []

        async def ask():
            began = anyio.current_time()
            session = path.open('strong')
            replies = await path.run_script(session, b'READ k')
            took.append((_verdicts(replies)[0], anyio.current_time() - began))

        for _ in range(20):
            await path.run_script(path.open('strong'), b'READ k')
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(ask)
        print(took)
        refused = [one for one in took if one[0] is Failure.OVERLOADED]
        assert len(refused) >= 5
        assert max(length for _, length in refused[:5]) < 0.1

    _run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize(
    ('database', 'expected'),
    [('bounded', None), ('strong', Failure.OVERLOADED)],
)
def test_read_moves_to_another_replica_if_one_is_full(
    database, expected, monkeypatch
):
    async def scenario(path):
        full = 'a' if database == 'strong' else 'b'
        for each in path.carrier_services.values():
            each._pools.configure(
                path.groups.roster.find,
                lambda entry: ConnectionShare(
                    0 if entry.endpoint_id == full else 3, 3
                ),
            )
        path.evidence.add_sample(anyio.current_time(), Position(1, 0))
        path.group.instances['c'].work_s = 0.05
        began = anyio.current_time()
        for _ in range(5):
            session = path.open(database)
            replies = await path.run_script(session, b'READ k')
            assert _verdicts(replies) == [expected]
        assert anyio.current_time() < began + 1

    _run_scenario(monkeypatch, scenario)
