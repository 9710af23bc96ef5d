"""Platform stand-in, fault injectors and gateways of one soak."""

from pathlib import Path
from typing import final

import anyio
from anyio.abc import TaskGroup

from benchmarks.soak.caller import Caller
from benchmarks.soak.history import History, VersionSeen
from benchmarks.soak.networkfaults import FaultInjector
from benchmarks.soak.program import Program
from catkincrank.platform.documents import CONFIG_KEY, CONFIG_TABLE
from catkincrank.platform.standin import PlatformStandIn
from catkincrank.platform.trial import ENDPOINTS, SERVICE, make_config
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup

__all__ = ('Testbed',)

# Statement timeout; each version of the configuration adds a millisecond, so
# that the versions differ.
_TIMEOUT_MS = 800
# Connection limits of an endpoint. With the smaller one, some gateways get no
# connections, and others act as carriers for them.
_CONNECTIONS = (23, 4)
_MONITOR_INTERVAL_S = 0.25
_POLL_S = 0.1
# A process starts within 1 s on an idle machine; the timeout only ends soaks
# whose processes never start.
_START_TIMEOUT_S = 60
# The platform's rules demand recovery within 15 s (`recovery_s`); the rest
# allows for other load on the machine.
_RECOVERY_TIMEOUT_S = 45


@final
class Testbed:  # noqa: WPS230
    """Stand-ins, fault injectors, gateways and callers of one soak.

    Args:
        seed: Seed of the callers.
        folder: Directory of settings and logs.
        gateways: Number of gateways.
        callers: Number of callers.
        sync_replicas: Replicas that receive a commit before it is acknowledged.

    Attributes:
        history: Records of callers and endpoints.
        group: The endpoints.
        platform: Stand-in of the users' platform.
        programs: The gateways.
        endpoint_injectors: Injectors before the endpoints, by endpoint.
        store_injectors: Injectors before the store, by gateway.
        promoter_injectors: Injectors before the promotion service, by gateway.
        settings_version: Newest version of the configuration.
        work_s: Execution time of a statement at an endpoint, in seconds.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        gateways: int,
        callers: int,
        sync_replicas: int = 0,
    ) -> None:
        self.history = History()
        self.group = MemoryEndpointGroup(SERVICE, ENDPOINTS)
        self.group.sync_replicas = sync_replicas
        self.work_s = self.group.newest_primary.work_s
        self.platform = PlatformStandIn({SERVICE: self.group})
        self.settings_version = 0
        self._settings = b''
        self._connections = _CONNECTIONS[seed % len(_CONNECTIONS)]
        self.programs: list[Program] = []
        # Directory of the build that the gateways begin with.
        self.first_source: Path | None = None
        names = ['vm-{0}'.format(number) for number in range(gateways)]
        self.endpoint_injectors = self._make_injectors(ENDPOINTS)
        self.store_injectors = {
            one: self._make_injector('store') for one in names
        }
        self.promoter_injectors = {
            one: self._make_injector('promote') for one in names
        }
        self._folder = folder
        self._callers = [
            Caller(number, seed, self.programs, self.history)
            for number in range(callers)
        ]

    def count_up(self) -> int:
        """Return the number of endpoints that are up."""
        return sum(one.is_up for one in self.group.instances.values())

    def write_settings(self) -> None:
        """Write a configuration with a higher version."""
        self.settings_version += 1
        body = make_config(
            self.settings_version,
            self._connections,
            _TIMEOUT_MS + self.settings_version,
            sync_replicas=self.group.sync_replicas,
        )
        self._settings = body
        self.platform.rows.write(CONFIG_TABLE, [], {CONFIG_KEY: body})

    def rewrite_rows(self) -> None:
        """Write the rows of the operator and the endpoints again."""
        if self._settings:
            self.platform.rows.write(
                CONFIG_TABLE, [], {CONFIG_KEY: self._settings}
            )
        self.platform.register_all()

    async def start(self, tasks: TaskGroup) -> None:
        """Start everything; return once callers are served.

        Raises:
            TimeoutError: The processes do not start.
        """
        await tasks.start(self.platform.run)
        for one in self._list_injectors():
            await tasks.start(one.run)  # noqa: WPS476
        self.platform.redirect_endpoints(
            {
                name: injector.port
                for name, injector in self.endpoint_injectors.items()
            },
        )
        self.write_settings()
        for name in self.store_injectors:
            program = Program(
                name,
                self._folder,
                self.store_injectors[name].port,
                self.promoter_injectors[name].port,
            )
            program.source = self.first_source
            await program.start()  # noqa: WPS476
            self.programs.append(program)
            tasks.start_soon(program.poll_readiness)
        with anyio.fail_after(_START_TIMEOUT_S):
            await self._restart_ended()
            await self._wait_for_service()
        tasks.start_soon(self._monitor_processes)
        for caller in self._callers:
            tasks.start_soon(caller.run)

    async def settle(self) -> None:
        """Remove all faults and wait until every gateway serves again."""
        for injector in self._list_injectors():
            injector.set_fault(None)
        with anyio.move_on_after(_RECOVERY_TIMEOUT_S):
            await self._wait_for_service()
            return
        for program in self.programs:
            state = await program.fetch_state()  # noqa: WPS476
            self.history.faults.append(
                '{0} did not recover: {1!r}'.format(program.name, state),
            )

    def finish(self) -> History:
        """Return the history, completed by the records of the endpoints."""
        self.history.runs = self.platform.runs
        self.history.primary_changes = self.group.primary_changes
        self.history.is_durable = self.group.sync_replicas > 0
        return self.history

    async def _restart_ended(self) -> None:
        """Start processes again that lost their ports to another process."""
        for program in self.programs:
            while not program.is_open:
                if not program.is_running:
                    await program.start()  # noqa: WPS476
                await anyio.sleep(_POLL_S)  # noqa: WPS476

    async def _wait_for_service(self) -> None:
        for program in self.programs:
            while not await self._is_serving(program):  # noqa: WPS476
                await anyio.sleep(_POLL_S)  # noqa: WPS476

    async def _is_serving(self, program: Program) -> bool:
        """Return whether a gateway is ready, up to date and has a primary."""
        state = await program.fetch_state()
        if state is None or not program.is_open:
            return False
        record = state['groups'].get(SERVICE)
        has_primary = record is not None and record['granted']
        is_newest = state['configuration'] == self.settings_version
        return has_primary and is_newest

    async def _monitor_processes(self) -> None:
        """Record configurations in force and processes that ended."""
        while True:
            await anyio.sleep(_MONITOR_INTERVAL_S)
            for program in self.programs:
                await self._record_process(program)  # noqa: WPS476

    async def _record_process(self, program: Program) -> None:
        name = (program.name, program.incarnation)
        if program.is_expected_up and not program.is_running:
            program.is_expected_up = False
            self.history.faults.append(
                '{0} ended by itself: {1}'.format(name, program.exit_code),
            )
            return
        state = await program.fetch_state()
        if state is None or state['configuration'] is None:
            return
        if name == (program.name, program.incarnation):
            self.history.versions.append(
                VersionSeen(anyio.current_time(), name, state['configuration']),
            )

    def _list_injectors(self) -> list[FaultInjector]:
        return [
            *self.endpoint_injectors.values(),
            *self.store_injectors.values(),
            *self.promoter_injectors.values(),
        ]

    def _make_injectors(
        self, targets: tuple[str, ...]
    ) -> dict[str, FaultInjector]:
        return {target: self._make_injector(target) for target in targets}

    def _make_injector(self, target: str) -> FaultInjector:
        return FaultInjector(lambda: self.platform.ports[target])
