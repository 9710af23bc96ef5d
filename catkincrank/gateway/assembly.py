"""Wires up the failover components of a gateway."""

from typing import Protocol, final

import anyio

from catkincrank.gateway.endpointprobe import EndpointProber
from catkincrank.gateway.failoverlease import FailoverLease
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.organisations.assembly import make_quotas
from catkincrank.gateway.organisations.quotamessages import QuotaReport
from catkincrank.gateway.organisations.tokenmessages import TokenRequest
from catkincrank.gateway.peermessages import (
    ChangeNotice,
    ReachQuery,
    RecallRequest,
    RevokeRequest,
    TableQuery,
)
from catkincrank.gateway.peers import PeerClient, PeerServer
from catkincrank.gateway.primarymonitor import PrimaryMonitor
from catkincrank.gateway.promoter import promoters
from catkincrank.gateway.relay import TableRelay
from catkincrank.gateway.replacement import PrimaryReplacement
from catkincrank.gateway.resilience import run_restarting
from catkincrank.gateway.revocation import Revocation
from catkincrank.gateway.storetables import StoreTables
from catkincrank.metrics import Metrics

__all__ = ('Adapter', 'FailoverComponents')


class Adapter(Protocol):
    """Registry names of the implementations for one platform.

    Attributes:
        callers: Codec of the caller protocol.
        endpoints: Link driver for endpoints.
        promoter: How primaries are promoted.
        store: Client of the table service.
    """

    callers: str
    endpoints: str
    promoter: str
    store: str


@final
class FailoverComponents:
    """Components that decide which endpoint is the primary.

    Args:
        options: Options of the process.
        promoter: Registry name of the promoter.
        groups: Local state of the groups.
        tables: Local copies of the store's tables.
        link_provider: Provides connections to endpoints.
        metrics: Metrics of the process.

    Attributes:
        lease: Lease on the failover duty.
        monitor: Monitors the primaries.
        relay: Exchanges readings of the store's tables with peers.
        peers: Answers requests of peers.
        quotas: Admits operations by the limits of organisations.
    """

    __slots__ = (
        '_address',
        '_max_peers',
        'lease',
        'monitor',
        'peers',
        'quotas',
        'relay',
    )

    def __init__(
        self,
        options: GatewayOptions,
        promoter: str,
        groups: Groups,
        tables: StoreTables,
        link_provider: LinkProvider,
        metrics: Metrics,
    ) -> None:
        self._address = options.peers
        self._max_peers = options.limits.peers
        fleet = tables.fleet_state
        client = PeerClient()
        revocation = Revocation(tables.store, fleet, client)
        prober = EndpointProber(link_provider.direct_pools)
        self.lease = FailoverLease(tables.store, fleet, revocation)
        self.relay = TableRelay(
            tables.copies,
            fleet,
            self.lease,
            client,
        )
        revocation.on_revoked = self.relay.wake
        self.monitor = PrimaryMonitor(
            groups,
            fleet,
            self.lease,
            prober,
            PrimaryReplacement(
                tables.store,
                fleet,
                groups,
                self.lease,
                revocation,
                prober,
                promoters.find(promoter)(options.promoter, options.name),
                self.relay,
            ),
            client,
        )
        self.quotas = make_quotas(
            groups,
            tables,
            self.lease,
            options.regions,
            PeerClient(),
            metrics,
        )
        self.peers = PeerServer()
        self.peers.handle(RevokeRequest, revocation.answer)
        self.peers.handle(RecallRequest, revocation.answer_recall)
        self.peers.handle(TableQuery, self.relay.answer)
        self.peers.handle(ChangeNotice, self.relay.answer_notice)
        self.peers.handle(ReachQuery, self.monitor.answer)
        self.peers.handle(QuotaReport, self.quotas.answer_report)
        self.peers.handle(TokenRequest, self.quotas.answer)

    async def run(self) -> None:
        """Run until cancelled."""
        address = self._address
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self.peers.run, address.host, address.port, self._max_peers
            )
            for name, part in (
                ('lease', self.lease),
                ('monitor', self.monitor),
                ('relay', self.relay),
                ('quotas', self.quotas),
            ):
                tasks.start_soon(run_restarting, name, part.run)
