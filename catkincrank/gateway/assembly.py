"""Puts the data path and the failover of a gateway together."""

from typing import Protocol, final

import anyio

from catkincrank.gateway.callers import caller_codecs
from catkincrank.gateway.choice import Latencies
from catkincrank.gateway.endpointprobe import Inspector
from catkincrank.gateway.execution import Execution
from catkincrank.gateway.failoverlease import Tenure
from catkincrank.gateway.forwarding import Forwarder
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.peermessages import (
    Nudge,
    ReachQuery,
    RevokeRequest,
    TableQuery,
)
from catkincrank.gateway.peers import PeerClient, PeerServer
from catkincrank.gateway.placement import Placement
from catkincrank.gateway.primarymonitor import Supervision
from catkincrank.gateway.promoter import promoters
from catkincrank.gateway.relay import TableRelay
from catkincrank.gateway.replacement import Succession
from catkincrank.gateway.requestlog import LineBudget, RequestLog
from catkincrank.gateway.revocation import Revocation
from catkincrank.gateway.sessionserver import SessionServer
from catkincrank.gateway.storetables import Readings
from catkincrank.gateway.transactions import Transactions
from catkincrank.metrics import Metrics

__all__ = ('Adapter', 'Failover', 'make_session_server')


class Adapter(Protocol):
    """Names of the variants that speak a platform's protocols."""

    callers: str
    endpoints: str
    promoter: str
    store: str


@final
class Failover:
    """The parts that decide who is primary.

    Args:
        options: Options of the process.
        promoter: Name of the way in which primaries are appointed.
        groups: What is known of the groups.
        readings: What is read of the store.
        lending: Links to endpoints.

    Attributes:
        tenure: The duty to replace primaries.
        supervision: Watches the primaries.
        relay: Carries readings between processes.
        peers: Answers other processes.
    """

    __slots__ = ('_address', 'peers', 'relay', 'supervision', 'tenure')

    def __init__(
        self,
        options: GatewayOptions,
        promoter: str,
        groups: Groups,
        readings: Readings,
        link_provider: LinkProvider,
    ) -> None:
        self._address = options.peers
        ledger = readings.ledger
        client = PeerClient()
        revocation = Revocation(readings.store, ledger, client)
        inspector = Inspector(link_provider.own)
        self.tenure = Tenure(readings.store, ledger, revocation)
        self.relay = TableRelay(
            readings.copies,
            ledger,
            self.tenure,
            client,
        )
        self.supervision = Supervision(
            groups,
            ledger,
            self.tenure,
            inspector,
            Succession(
                readings.store,
                ledger,
                groups,
                self.tenure,
                revocation,
                inspector,
                promoters.find(promoter)(options.promoter, options.name),
                self.relay,
            ),
            client,
        )
        self.peers = PeerServer()
        self.peers.handle(RevokeRequest, revocation.answer)
        self.peers.handle(TableQuery, self.relay.answer)
        self.peers.handle(Nudge, self.relay.answer_nudge)
        self.peers.handle(ReachQuery, self.supervision.answer)

    async def run(self) -> None:
        """Run until cancelled."""
        address = self._address
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.peers.run, address.host, address.port)
            tasks.start_soon(self.tenure.run)
            tasks.start_soon(self.supervision.run)
            tasks.start_soon(self.relay.run)


def make_session_server(
    options: GatewayOptions,
    adapter: Adapter,
    groups: Groups,
    link_provider: LinkProvider,
    metrics: Metrics,
) -> SessionServer:
    """Return what serves callers."""
    latencies = Latencies(options.zone, dict(options.regions))
    forwarder = Forwarder(groups, latencies)
    placement = Placement(groups, link_provider, latencies)
    return SessionServer(
        groups,
        Execution(groups, placement, forwarder, metrics),
        Transactions(placement, forwarder),
        RequestLog(metrics, LineBudget()),
        caller_codecs.find(adapter.callers),
    )
