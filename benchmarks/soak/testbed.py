"""The platform stand-in, the wires and the real processes of one soak."""

from pathlib import Path
from typing import final

import anyio
from anyio.abc import TaskGroup

from benchmarks.soak.caller import Caller
from benchmarks.soak.history import History, VersionSeen
from benchmarks.soak.networkfaults import Wire
from benchmarks.soak.program import Program
from catkincrank.platform.documents import CONFIG_KEY, CONFIG_TABLE
from catkincrank.platform.standin import PlatformStandIn
from catkincrank.platform.trial import ENDPOINTS, SERVICE, make_config
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup

__all__ = ('World',)

# Time of a statement; each configuration adds a millisecond to differ.
_TIMEOUT_MS = 800
# Connections that an endpoint takes: with the smaller figure some gateways
# carry statements for the others.
_CONNECTIONS = (23, 4)
_WATCH_INTERVAL_S = 0.25
_STEP_S = 0.1
# A process takes a second to start on an idle machine; this only ends soaks
# of processes that never start.
_START_LIMIT_S = 60
# RULES: `recovery_s` is 15 s; the rest is for a machine with other work.
_RECOVERY_LIMIT_S = 45


@final
class World:  # noqa: WPS230
    """All that one soak consists of.

    Args:
        seed: Seed of the callers.
        folder: Where settings and logs go.
        gateways: How many gateways run.
        callers: How many callers there are.

    Attributes:
        history: What callers and endpoints saw.
        group: The endpoints.
        platform: Stand-in of the users' platform.
        programs: The gateways.
        endpoint_wires: Ways to the endpoints.
        store_wires: Each gateway's way to the store.
        promoter_wires: Each gateway's way to what appoints primaries.
        settings_version: Newest configuration.
        work_s: How long endpoints take for a statement, in seconds.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        gateways: int,
        callers: int,
    ) -> None:
        self.history = History()
        self.group = MemoryEndpointGroup(SERVICE, ENDPOINTS)
        self.work_s = self.group.newest_primary.work_s
        self.platform = PlatformStandIn({SERVICE: self.group})
        self.settings_version = 0
        self._connections = _CONNECTIONS[seed % len(_CONNECTIONS)]
        self.programs: list[Program] = []
        names = ['vm-{0}'.format(number) for number in range(gateways)]
        self.endpoint_wires = self._make_wires(ENDPOINTS)
        self.store_wires = {one: self._make_wire('store') for one in names}
        self.promoter_wires = {one: self._make_wire('promote') for one in names}
        self._folder = folder
        self._callers = [
            Caller(number, seed, self.programs, self.history)
            for number in range(callers)
        ]

    def count_up(self) -> int:
        """Return how many endpoints run."""
        return sum(one.is_up for one in self.group.instances.values())

    def write_settings(self) -> None:
        """Write a configuration with a higher version."""
        self.settings_version += 1
        body = make_config(
            self.settings_version,
            self._connections,
            _TIMEOUT_MS + self.settings_version,
        )
        self.platform.rows.write(CONFIG_TABLE, [], {CONFIG_KEY: body})

    async def start(self, tasks: TaskGroup) -> None:
        """Start everything; return once callers are served.

        Raises:
            TimeoutError: The processes do not start.
        """
        await tasks.start(self.platform.run)
        for one in self._list_wires():
            await tasks.start(one.run)  # noqa: WPS476
        self.platform.redirect_endpoints(
            {name: wire.port for name, wire in self.endpoint_wires.items()},
        )
        self.write_settings()
        for name in self.store_wires:
            program = Program(
                name,
                self._folder,
                self.store_wires[name].port,
                self.promoter_wires[name].port,
            )
            await program.start()  # noqa: WPS476
            self.programs.append(program)
            tasks.start_soon(program.watch_readiness)
        with anyio.fail_after(_START_LIMIT_S):
            await self._await_service()
        tasks.start_soon(self._watch_versions)
        for caller in self._callers:
            tasks.start_soon(caller.run)

    async def settle(self) -> None:
        """Heal everything and wait until all is as it should be."""
        for wire in self._list_wires():
            wire.harm(None)
        with anyio.move_on_after(_RECOVERY_LIMIT_S):
            await self._await_service()
            return
        for program in self.programs:
            state = await program.fetch_state()  # noqa: WPS476
            self.history.faults.append(
                '{0} did not recover: {1!r}'.format(program.name, state),
            )

    def finish(self) -> History:
        """Return the history, with what endpoints saw."""
        self.history.runs = self.platform.runs
        self.history.primary_changes = self.group.primary_changes
        return self.history

    async def _await_service(self) -> None:
        for program in self.programs:
            while not await self._is_well(program):  # noqa: WPS476
                await anyio.sleep(_STEP_S)  # noqa: WPS476

    async def _is_well(self, program: Program) -> bool:
        """Return whether a gateway has all that it needs to serve."""
        state = await program.fetch_state()
        if state is None or not program.is_open:
            return False
        record = state['groups'].get(SERVICE)
        is_led = record is not None and record['granted']
        is_newest = state['configuration'] == self.settings_version
        return is_led and is_newest

    async def _watch_versions(self) -> None:
        """Note configurations in force, and processes that ended."""
        while True:
            await anyio.sleep(_WATCH_INTERVAL_S)
            for program in self.programs:
                await self._watch(program)  # noqa: WPS476

    async def _watch(self, program: Program) -> None:
        name = (program.name, program.incarnation)
        if program.is_wanted and not program.is_running:
            program.is_wanted = False
            self.history.faults.append(
                '{0} ended by itself: {1}'.format(name, program.end_code),
            )
            return
        state = await program.fetch_state()
        if state is None or state['configuration'] is None:
            return
        if name == (program.name, program.incarnation):
            self.history.versions.append(
                VersionSeen(anyio.current_time(), name, state['configuration']),
            )

    def _list_wires(self) -> list[Wire]:
        return [
            *self.endpoint_wires.values(),
            *self.store_wires.values(),
            *self.promoter_wires.values(),
        ]

    def _make_wires(self, targets: tuple[str, ...]) -> dict[str, Wire]:
        return {target: self._make_wire(target) for target in targets}

    def _make_wire(self, target: str) -> Wire:
        return Wire(lambda: self.platform.ports[target])
