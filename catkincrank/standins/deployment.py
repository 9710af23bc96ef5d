"""A whole deployment in one event loop: platform, groups, keepers, proxies.

Every part is the real one or a stand-in that listens on a socket of its own.
Callers and processes in another zone reach an endpoint through a wire, which
delays and cuts.
"""

import socket
from collections.abc import Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self, final

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from catkincrank import keeper as keepers
from catkincrank import proxy as proxies
from catkincrank.feedclient import KeeperAddress
from catkincrank.keeper import Keeper, KeeperOptions, PeerAddress
from catkincrank.load.connection import Target
from catkincrank.load.profile import Profile
from catkincrank.proxy import Proxy, ProxyOptions
from catkincrank.settings import Endpoint, Limits, Service, Team, encode_team
from catkincrank.standins.group import StandinGroup
from catkincrank.standins.instance import InstanceOptions
from catkincrank.standins.observer import InstanceObserver
from catkincrank.standins.platform import StandinPlatform
from catkincrank.standins.wire import Wire
from catkincrank.store import VirtualMachine
from catkincrank.stores.http import HttpStore

__all__ = ('Deployment',)

_HOST = '127.0.0.1'
_CHANGE_ID = 'initial'
_ENDPOINT_NAMES = ('a', 'b', 'c')


@final
class Deployment:
    """Runs a profile's deployment; an async context manager.

    Args:
        profile: What to run.
        observe: Returns what takes the reports of a group's instances.

    Attributes:
        crashes: Processes that ended by an error, and the error.
        groups: Stand-in groups by ``team/service``.
        keepers: Keepers by name.
        platform: The platform.
        proxies: Proxies by name.
        team: Settings of the team, as they were written first.
    """

    def __init__(
        self,
        profile: Profile,
        observe: Callable[[str], InstanceObserver] | None = None,
    ) -> None:
        self.profile = profile
        self.platform = StandinPlatform()
        self.groups: dict[str, StandinGroup] = {}
        self.keepers: dict[str, Keeper] = {}
        self.proxies: dict[str, Proxy] = {}
        self.team = Team()
        self.crashes: list[str] = []
        self.wires: dict[tuple[str, str, str], Wire] = {}
        self._observe = observe
        self._caller_wires: dict[str, Wire] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        for wire in (*self.wires.values(), *self._caller_wires.values()):
            wire.stop()
        return await self._stack.__aexit__(kind, error, traceback)

    def targets(self) -> list[Target]:
        """Return the proxies that take new callers, as a balancer would."""
        return [
            Target(name, _HOST, self._caller_wires[name].port)
            for name, proxy in self.proxies.items()
            if not proxy.server.is_draining
        ]

    def zone_of(self, number: int) -> str:
        """Return the zone of the VM with a number."""
        zones = self.profile.zones
        return zones[number % len(zones)]

    def find_wires(self, group: str, endpoint: str) -> list[Wire]:
        """Return the wires from other zones to an endpoint."""
        return [
            wire
            for (name, target, _), wire in self.wires.items()
            if (name, target) == (group, endpoint)
        ]

    def kill_process(self, name: str) -> None:
        """End a proxy or keeper without a drain."""
        self._scopes.pop(name).cancel()
        self.proxies.pop(name, None)
        self.keepers.pop(name, None)

    async def _start(self) -> None:
        tasks = await self._stack.enter_async_context(
            anyio.create_task_group(),
        )
        self._stack.callback(tasks.cancel_scope.cancel)
        await tasks.start(self.platform.serve)
        for group in self.profile.groups():
            await self._start_group(group)  # noqa: WPS476
        self.team = self._describe_team()
        self.platform.table.write(
            'settings/{0}'.format(self.profile.team),
            encode_team(self.team),
            0,
            _CHANGE_ID,
        )
        await self._start_keepers(tasks)
        await self._start_proxies(tasks)

    async def _start_group(self, name: str) -> None:
        profile = self.profile
        observer = InstanceObserver()
        if self._observe is not None:
            observer = self._observe(name)
        group = StandinGroup(
            _ENDPOINT_NAMES,
            InstanceOptions(
                profile.slots,
                profile.connections,
                profile.connect_s,
                profile.statement_s,
                observer=observer,
            ),
        )
        self.groups[name] = await self._stack.enter_async_context(group)
        for endpoint, address in group.addresses().items():
            group.set_lag(endpoint, profile.ship_s, profile.apply_s)
            for zone in profile.zones:
                wire = Wire(_HOST, address.port, profile.zone_delay_s)
                await wire.start()  # noqa: WPS476
                self.wires[name, endpoint, zone] = wire

    def _describe_team(self) -> Team:
        services = {
            name.partition('/')[2]: Service(
                self._describe_endpoints(name),
                limits=Limits(
                    self.profile.connections,
                    slots=self.profile.slots,
                    proxies=self.profile.proxies,
                ),
            )
            for name in self.groups
        }
        return Team(services)

    def _describe_endpoints(self, group: str) -> tuple[Endpoint, ...]:
        addresses = self.groups[group].addresses()
        return tuple(
            Endpoint(
                name,
                self.zone_of(number),
                _HOST,
                address.port,
                self._list_ports(group, name, self.zone_of(number)),
            )
            for number, (name, address) in enumerate(addresses.items())
        )

    def _list_ports(self, group: str, name: str, own: str) -> dict[str, int]:
        return {
            zone: self.wires[group, name, zone].port
            for zone in self.profile.zones
            if zone != own
        }

    async def _start_keepers(self, tasks: TaskGroup) -> None:
        peers = tuple(
            PeerAddress(
                'vm-{0}'.format(number),
                self.zone_of(number),
                _HOST,
                _pick_port(),
            )
            for number in range(self.profile.keepers)
        )
        self.platform.table.machines = [
            VirtualMachine(peer.name, peer.zone, peer.host) for peer in peers
        ]
        for peer in peers:
            options = KeeperOptions(
                peer.name,
                peer.zone,
                peer.host,
                peer.port,
                HttpStore(self.platform.address),
                {self.profile.team: self.team},
                tuple(other for other in peers if other is not peer),
            )
            self.keepers[peer.name] = await self._run(  # noqa: WPS476
                tasks,
                peer.name,
                keepers.serve,
                options,
            )

    async def _start_proxies(self, tasks: TaskGroup) -> None:
        addresses = [
            KeeperAddress(keeper.options.name, _HOST, keeper.port)
            for keeper in self.keepers.values()
        ]
        for number in range(self.profile.proxies):
            first = number % len(addresses)
            name = 'proxy-{0}'.format(number)
            options = ProxyOptions(
                name,
                self.zone_of(number),
                keepers=(*addresses[first:], *addresses[:first]),
                teams={self.profile.team: self.team},
            )
            proxy = await self._run(  # noqa: WPS476
                tasks,
                name,
                proxies.serve,
                options,
            )
            self.proxies[name] = proxy
            delay_s = self.profile.client_delay_s
            wire = Wire(_HOST, proxy.server.port, delay_s)
            await wire.start()  # noqa: WPS476
            self._caller_wires[name] = wire

    async def _run(
        self,
        tasks: TaskGroup,
        name: str,
        serve: Callable[..., object],
        options: object,
    ) -> object:
        return await tasks.start(self._serve, name, serve, options)

    async def _serve(
        self,
        name: str,
        serve: Callable[..., object],
        options: object,
        *,
        task_status: object,
    ) -> None:
        scope = anyio.CancelScope()
        self._scopes[name] = scope
        try:
            with scope:
                await serve(options, task_status=task_status)
        except Exception as error:
            self.crashes.append('{0}: {1!r}'.format(name, error))
            logger.bind(event='process_crashed', process=name).exception(
                'a process of the deployment ended by an error',
            )


def _pick_port() -> int:
    with socket.socket() as opened:
        opened.bind((_HOST, 0))
        return opened.getsockname()[1]
