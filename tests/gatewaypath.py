"""A gateway's request path over stand-in endpoints, for tests."""

import anyio

from catkincrank.gateway.carriers import ConnectionShare
from catkincrank.gateway.catalog import Catalog, Consistency, Route, Service
from catkincrank.gateway.choice import Latencies
from catkincrank.gateway.evidence import Grant
from catkincrank.gateway.execution import Execution
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.forwarding import Forwarder
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.placement import Placement
from catkincrank.gateway.primaryprover import PrimaryProver
from catkincrank.gateway.requestlog import LineBudget, RequestLog
from catkincrank.gateway.session import Session
from catkincrank.gateway.sessionserver import SessionServer
from catkincrank.gateway.transactions import Transactions
from catkincrank.metrics import Metrics
from catkincrank.platform.callers import LineCodec, parse_statement
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup
from catkincrank.standins.memorylink import MemoryDriver

STRONG = Route('s', 'strong', 'svc', Consistency.STRONG, 0, 0.8, 0.3, 1)
BOUNDED = Route('b', 'bounded', 'svc', Consistency.BOUNDED, 1.5, 0.8, 0.3, 1)
SESSION = Route('o', 'own', 'svc', Consistency.SESSION, 2.5, 0.8, 0.3, 1)
ROUTES = {route.database: route for route in (STRONG, BOUNDED, SESSION)}
CATALOG = Catalog(1, ROUTES, {'svc': Service('svc', 9, 0)}, 3)


class RequestPath:
    """One gateway's request path to a group of three endpoints."""

    def __init__(self, tasks):
        self.group = MemoryEndpointGroup('svc', ('a', 'b', 'c'))
        self.runs = []
        self.driver = MemoryDriver({'svc': self.group}, self.runs)
        self.groups = Groups()
        self.groups.accept(CATALOG)
        for entry in self.group.list_entries():
            self.groups.roster.put(entry)
        own_member = MemberRecord('test', 'incarnation', '127.0.0.1', 1, 'zone')
        self.link_provider = LinkProvider(self.driver, own_member, {}, tasks)
        self.pools = self.link_provider.direct_pools
        self.pools.configure(
            self.groups.roster.find, lambda _: ConnectionShare(3, 3)
        )
        latencies = Latencies('zone', {})
        forwarder = Forwarder(self.groups, latencies)
        placement = Placement(self.groups, self.link_provider, latencies)
        self.session_server = SessionServer(
            self.groups,
            Execution(self.groups, placement, forwarder, Metrics()),
            Transactions(placement, forwarder),
            RequestLog(Metrics(), LineBudget()),
            LineCodec,
        )
        self._prover = PrimaryProver(self.groups, self.link_provider, Metrics())
        tasks.start_soon(self._prover.run)
        tasks.start_soon(self.pools.run)
        self._request_count = 0

    @property
    def evidence(self):
        return self.groups.evidence('svc')

    def grant(self, name='a', term=1, length_s=3600, bases=()):
        now = anyio.current_time()
        self.evidence.apply_grant(Grant(name, term, now + length_s, bases), now)
        self.groups.notify_waiters()

    def count_proofs(self):
        """Return how many rounds of questions proved the primary."""
        return self._prover._proofs.labels('proved')._value.get()

    def open(self, database):
        return Session(database, 'user')

    async def run_statement(self, session, text):
        self._request_count += 1
        statement = parse_statement(b'%d' % self._request_count, text)
        return await self.session_server._answer(session, statement)

    async def run_script(self, session, *texts):
        return [await self.run_statement(session, text) for text in texts]
