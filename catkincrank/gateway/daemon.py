"""The gateway process: its parts, its start and its end."""

import signal
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.gateway.assembly import (
    Adapter,
    Failover,
    make_session_server,
)
from catkincrank.gateway.carriermessages import CarryRequest
from catkincrank.gateway.carrierservice import CarrierService
from catkincrank.gateway.configurator import Documents, Knowledge
from catkincrank.gateway.drain import Drain
from catkincrank.gateway.fleetmonitor import FleetMonitor
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import link_drivers
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.rowstore import row_stores
from catkincrank.gateway.statusserver import StatusServer
from catkincrank.gateway.storetables import Readings
from catkincrank.logs import log_event
from catkincrank.metrics import Metrics

__all__ = ('Gateway', 'run_gateway')

_READY_STEP_S = 0.02
# How often the endpoints' connections are divided anew among the members.
_SHARE_INTERVAL_S = 0.5


@final
class Gateway:
    """One gateway process.

    Args:
        options: Its options.
        adapter: Names of the variants that speak the platform's protocols.
        documents: Decodes the platform's rows.
        tasks: Runs its parts.
    """

    def __init__(
        self,
        options: GatewayOptions,
        adapter: Adapter,
        documents: Documents,
        tasks: TaskGroup,
    ) -> None:
        self.options = options
        self.metrics = Metrics()
        self.groups = Groups()
        store = row_stores.find(adapter.store)(options.store)
        self.readings = Readings(store, options, documents, self.groups)
        self.link_provider = LinkProvider(
            link_drivers.find(adapter.endpoints)(),
            self.readings.ledger.me,
            options.regions,
            tasks,
        )
        self.carrier_service = CarrierService(
            self.groups, self.link_provider.own, self.metrics
        )
        self.front = make_session_server(
            options, adapter, self.groups, self.link_provider, self.metrics
        )
        self.failover = Failover(
            options,
            adapter.promoter,
            self.groups,
            self.readings,
            self.link_provider,
        )
        self.failover.peers.serve(CarryRequest, self.carrier_service.open)
        self.drain = Drain(
            self.front, self.carrier_service, options, self.readings.unregister
        )
        self.fleet_monitor = FleetMonitor(self.readings.ledger.copy, self.front)
        self._knowledge = Knowledge(
            documents,
            self.groups,
            self.link_provider,
            lambda: self.readings.ledger.members,
        )
        self._tasks = tasks

    @property
    def is_informed(self) -> bool:
        """Whether enough is known to serve callers."""
        return (
            self.groups.catalog is not None
            and self.readings.roster.is_loaded
            and self.readings.ledger.is_registered
        )

    async def run(self) -> None:
        """Run until told to stop."""
        self.readings.config.listen(self._knowledge.take_config)
        self.readings.roster.listen(self._knowledge.take_roster)
        for part in (
            StatusServer(self),
            self.readings,
            self.link_provider,
            self.failover,
            self.fleet_monitor,
        ):
            self._tasks.start_soon(part.run)
        self._tasks.start_soon(self._share_connections)
        while not self.is_informed:
            await anyio.sleep(_READY_STEP_S)
        log_event('ready', version=self.groups.catalog.version)
        await self.drain.run()
        self._tasks.cancel_scope.cancel()

    async def _share_connections(self) -> None:
        while True:
            await anyio.sleep(_SHARE_INTERVAL_S)
            self._knowledge.apply()


async def run_gateway(
    options: GatewayOptions,
    adapter: Adapter,
    documents: Documents,
) -> None:
    """Run a gateway until it is told to stop."""
    async with anyio.create_task_group() as tasks:
        gateway = Gateway(options, adapter, documents, tasks)
        tasks.start_soon(_watch_signals, gateway)
        await gateway.run()


async def _watch_signals(gateway: Gateway) -> None:
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*watched) as received:
        async for signum in received:
            log_event('signal_received', signal=signum.name)
            if signum is not signal.SIGHUP:
                gateway.drain.start()
