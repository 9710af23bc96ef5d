"""The gateway process: components, start-up and shutdown."""

from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.gateway.assembly import Adapter, FailoverComponents
from catkincrank.gateway.carriermessages import CarryRequest
from catkincrank.gateway.carrierservice import CarrierService
from catkincrank.gateway.configurator import Configurator, PlatformSchema
from catkincrank.gateway.countedstore import CountedStore
from catkincrank.gateway.drain import Drain
from catkincrank.gateway.fleetmonitor import FleetMonitor
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import link_drivers
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.primaryprover import PrimaryProver
from catkincrank.gateway.requestpath import make_session_server
from catkincrank.gateway.resilience import run_restarting
from catkincrank.gateway.rowstore import row_stores
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
    """

    def __init__(
        self,
        options: GatewayOptions,
        adapter: Adapter,
        schema: PlatformSchema,
        tasks: TaskGroup,
    ) -> None:
        self.options = options
        self.metrics = Metrics()
        self.groups = Groups()
        store = CountedStore(
            row_stores.find(adapter.store)(options.store), self.metrics
        )
        self.tables = StoreTables(store, options, schema, self.groups)
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
        for served in (StatusServer(self), self.tables, self.failover):
            self._tasks.start_soon(served.run)
        for name, run in (
            ('links', self.link_provider.run),
            ('fleet monitor', self.fleet_monitor.run),
            ('prover', self._prover.run),
            ('connection shares', self._share_connections),
        ):
            self._tasks.start_soon(run_restarting, name, run)
        while not self.is_initialized:
            await anyio.sleep(_READY_POLL_S)
        log_event('ready', version=self.groups.catalog.version)
        await self.drain.run()
        self._tasks.cancel_scope.cancel()

    async def _share_connections(self) -> None:
        while True:
            await anyio.sleep(_SHARE_INTERVAL_S)
            self._configurator.divide_connections()


async def run_gateway(
    options: GatewayOptions,
    adapter: Adapter,
    schema: PlatformSchema,
) -> None:
    """Run a gateway until a signal has stopped it."""
    async with anyio.create_task_group() as tasks:
        gateway = Gateway(options, adapter, schema, tasks)
        tasks.start_soon(watch_signals, gateway.drain)
        await gateway.run()
