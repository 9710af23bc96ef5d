"""The gateway process: components, start-up and shutdown."""

import time
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.earlylisteners import EarlyListeners
from catkincrank.gateway.assembly import Adapter, FailoverComponents
from catkincrank.gateway.carriermessages import CarryRequest
from catkincrank.gateway.carrierservice import CarrierService
from catkincrank.gateway.configurator import Configurator, PlatformSchema
from catkincrank.gateway.countedstore import open_store
from catkincrank.gateway.drain import Drain
from catkincrank.gateway.fleetmonitor import FleetMonitor
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import link_drivers
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.primaryprover import PrimaryProver
from catkincrank.gateway.requestpath import make_session_server
from catkincrank.gateway.resilience import run_restarting
from catkincrank.gateway.signals import watch_signals
from catkincrank.gateway.statusserver import StatusServer
from catkincrank.gateway.storetables import StoreTables
from catkincrank.logs import log_event
from catkincrank.metrics import Metrics

__all__ = ('Gateway', 'run_gateway')

_READY_POLL_S = 0.02
# Interval at which the endpoints' connections are divided among the members.
_SHARE_INTERVAL_S = 0.5


@final
class Gateway:
    """One gateway process.

    Args:
        options: Options of the process.
        adapter: Registry names of the implementations for the platform.
        schema: Names the platform's tables and decodes their rows.
        tasks: Task group that runs the components.
        listeners: Sockets bound before the process can serve; without
            them, the addresses are bound when it can.
    """

    def __init__(
        self,
        options: GatewayOptions,
        adapter: Adapter,
        schema: PlatformSchema,
        tasks: TaskGroup,
        listeners: EarlyListeners | None = None,
    ) -> None:
        self.options = options
        self.metrics = Metrics()
        self.groups = Groups()
        store = open_store(adapter.store, options.store, self.metrics)
        started_at = anyio.current_time()
        if listeners is not None:
            started_at = min(started_at, listeners.bound_at)
        self.tables = StoreTables(
            store, options, schema, self.groups, started_at
        )
        self.link_provider = LinkProvider(
            link_drivers.find(adapter.endpoints)(),
            self.tables.fleet_state.own_member,
            options.regions,
            tasks,
            self.metrics,
        )
        self.carrier_service = CarrierService(
            self.groups, self.link_provider.direct_pools, self.metrics
        )
        self.failover = FailoverComponents(
            options,
            adapter.promoter,
            self.groups,
            self.tables,
            self.link_provider,
            self.metrics,
        )
        self.session_server = make_session_server(
            options,
            adapter,
            self.groups,
            self.link_provider,
            self.metrics,
            self.failover.quotas,
        )
        self.failover.peers.serve(CarryRequest, self.carrier_service.open)
        self.drain = Drain(
            self.session_server,
            self.carrier_service,
            options,
            self.tables.unregister,
        )
        self.fleet_monitor = FleetMonitor(
            self.tables.fleet_state.copy, self.session_server
        )
        self._prover = PrimaryProver(
            self.groups, self.link_provider, self.metrics
        )
        self._configurator = Configurator(
            schema,
            self.groups,
            self.link_provider,
            lambda: self.tables.fleet_state.members,
        )
        self._tasks = tasks
        self._listeners = listeners

    @property
    def has_early_listeners(self) -> bool:
        """Whether the sockets were bound before the process was imported."""
        return self._listeners is not None

    @property
    def is_initialized(self) -> bool:
        """Whether the process has all that it needs to serve callers.

        It needs a configuration, the registered endpoints and its own row in
        the fleet table.
        """
        return (
            self.groups.catalog is not None
            and self.tables.roster.is_loaded
            and self.tables.fleet_state.is_registered
        )

    async def run(self) -> None:
        """Run until the drain has finished."""
        self.tables.config.listen(self._configurator.apply_config)
        self.tables.roster.listen(self._configurator.apply_roster)
        status_server = StatusServer(self)
        for served in (status_server, self.tables, self.failover):
            self._tasks.start_soon(served.run)
        for name, run in (
            ('links', self.link_provider.run),
            ('fleet monitor', self.fleet_monitor.run),
            ('prover', self._prover.run),
            ('connection shares', self._share_connections),
        ):
            self._tasks.start_soon(run_restarting, name, run)
        while not (self.is_initialized or self.drain.is_started):
            await anyio.sleep(_READY_POLL_S)
        if self.drain.is_started:
            await self._stop_unready()
        else:
            await self._serve(status_server)
        self._tasks.cancel_scope.cancel()

    async def _serve(self, status_server: StatusServer) -> None:
        early = self._listeners
        if early is not None:
            self._tasks.start_soon(
                status_server.serve_readiness, early.readiness
            )
        log_event(
            'ready',
            version=self.groups.catalog.version,
            cpu_s=round(time.process_time(), 3),
            max_callers=self.options.limits.callers,
        )
        await self.drain.run(early and early.callers)

    async def _stop_unready(self) -> None:
        """Stop a process that was told to before it could serve."""
        if self._listeners is not None:
            self._listeners.close()
        await self.drain.run_unready()

    async def _share_connections(self) -> None:
        while True:
            await anyio.sleep(_SHARE_INTERVAL_S)
            self._configurator.divide_connections()


async def run_gateway(
    options: GatewayOptions,
    adapter: Adapter,
    schema: PlatformSchema,
    listeners: EarlyListeners | None = None,
) -> None:
    """Run a gateway until a signal has stopped it."""
    async with anyio.create_task_group() as tasks:
        gateway = Gateway(options, adapter, schema, tasks, listeners)
        tasks.start_soon(watch_signals, gateway.drain)
        await gateway.run()
