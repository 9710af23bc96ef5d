"""Several gateways' failover parts over stand-ins, for tests."""

import anyio

from catkincrank.gateway.catalog import Catalog, Service
from catkincrank.gateway.endpointprobe import Inspector
from catkincrank.gateway.failoverlease import Tenure
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.fleetstate import Ledger
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkpools import LinkPools
from catkincrank.gateway.peermessages import (
    Nudge,
    ReachQuery,
    RevokeRequest,
    TableQuery,
)
from catkincrank.gateway.peers import PeerServer
from catkincrank.gateway.primarymonitor import Supervision
from catkincrank.gateway.relay import TableRelay
from catkincrank.gateway.replacement import Succession
from catkincrank.gateway.revocation import Revocation
from catkincrank.gateway.storetables import Readings, follow_fleet
from catkincrank.standins.linegroup import LineGroup, MemoryPromoter
from catkincrank.standins.linelink import MemoryDriver
from catkincrank.standins.memoryrows import MemoryRows, MemoryRowStore

CATALOG = Catalog(1, {}, {'svc': Service('svc', 9, 0)}, 3)
_PEER_S = 0.01


class MemoryPeers:
    """Asks gateways in this process; cut ones stay silent."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    async def ask(self, peer, message, timeout_s):
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(_PEER_S)
            node = self._fleet.nodes.get(peer.name)
            if node is None or {peer.name, self._name} & self._fleet.cut:
                await anyio.sleep(3600)
            return await node.server.answer(message)
        return None

    async def ask_all(self, peers, message, timeout_s):
        answers = {}

        async def ask(peer):
            answer = await self.ask(peer, message, timeout_s)
            if answer is not None:
                answers[peer.name] = answer

        async with anyio.create_task_group() as tasks:
            for peer in peers:
                tasks.start_soon(ask, peer)
        return answers


class Node:
    """What decides about primaries in one gateway."""

    def __init__(self, fleet, name, incarnation, tasks):
        self.name = name
        self.fleet = fleet
        self.groups = Groups()
        self.groups.accept(CATALOG)
        for entry in fleet.group.list_entries():
            self.groups.roster.put(entry)
        store = MemoryRowStore(fleet.rows, name)
        self.driver = MemoryDriver(fleet.by_service, [])
        self.pools = LinkPools(self.driver, name, tasks)
        self.ledger = Ledger(
            follow_fleet(store),
            self.groups,
            MemberRecord(name, incarnation, '127.0.0.1', 1, 'zone'),
        )
        # Only the parts that write the own row are used of the readings.
        self.readings = Readings.__new__(Readings)
        self.readings.store = store
        self.readings.ledger = self.ledger
        client = MemoryPeers(fleet, name)
        revocation = Revocation(store, self.ledger, client)
        inspector = Inspector(self.pools)
        self.tenure = Tenure(store, self.ledger, revocation)
        self.relay = TableRelay(
            (self.ledger.copy,), self.ledger, self.tenure, client
        )
        promoter = MemoryPromoter(fleet.by_service, name, fleet.promotions)
        self.supervision = Supervision(
            self.groups,
            self.ledger,
            self.tenure,
            inspector,
            Succession(
                store,
                self.ledger,
                self.groups,
                self.tenure,
                revocation,
                inspector,
                promoter,
                self.relay,
            ),
            client,
        )
        self.server = PeerServer()
        self.server.handle(RevokeRequest, revocation.answer)
        self.server.handle(TableQuery, self.relay.answer)
        self.server.handle(Nudge, self.relay.answer_nudge)
        self.server.handle(ReachQuery, self.supervision.answer)

    @property
    def granted(self):
        grant = self.groups.evidence('svc').find_grant(anyio.current_time())
        return grant and grant.endpoint_id

    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ledger.copy.run)
            tasks.start_soon(self.readings._register)
            tasks.start_soon(self.tenure.run)
            tasks.start_soon(self.supervision.run)
            tasks.start_soon(self.relay.run)


class Fleet:
    """Gateways before one group, with what the platform saw."""

    def __init__(self, tasks):
        self.rows = MemoryRows()
        self.group = LineGroup('svc', ('a', 'b', 'c'))
        self.by_service = {'svc': self.group}
        self.promotions = []
        self.cut = set()
        self.nodes = {}
        self.conflicts = []
        # Moments at which a primary is granted that was replaced already.
        self.stale = []
        self._tasks = tasks
        self._scopes = {}
        self._starts = 0

    def start(self, *names):
        for name in names:
            self._starts += 1
            node = Node(self, name, 'life{0}'.format(self._starts), self._tasks)
            self.nodes[name] = node
            scope = anyio.CancelScope()
            self._scopes[name] = scope
            self._tasks.start_soon(self._run, node, scope)

    def kill(self, name):
        self.nodes.pop(name)
        self._scopes.pop(name).cancel()

    @property
    def holder(self):
        holding = [
            name for name, node in self.nodes.items() if node.tenure.is_mine
        ]
        return holding[0] if holding else ''

    @property
    def granted(self):
        return {name: node.granted for name, node in self.nodes.items()}

    async def settle(self, endpoint, limit_s=30):
        """Wait until every gateway grants ``endpoint``; return how long."""
        began = anyio.current_time()
        while set(self.granted.values()) != {endpoint}:
            await anyio.sleep(0.05)
            if anyio.current_time() > began + limit_s:
                raise AssertionError(self.granted)
        return anyio.current_time() - began

    async def watch(self):
        """Note any moment at which two primaries are granted."""
        while True:
            granted = set(self.granted.values()) - {None}
            if len(granted) > 1:
                self.conflicts.append((anyio.current_time(), self.granted))
            if granted - {self.group.leader.endpoint_id}:
                self.stale.append((anyio.current_time(), self.granted))
            await anyio.sleep(0.01)

    async def _run(self, node, scope):
        with scope:
            await node.run()
