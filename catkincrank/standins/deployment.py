"""A whole deployment in one event loop: platform, groups, keepers, proxies.

Every part is the real one or a stand-in that listens on a socket of its own.
Callers and processes in another zone reach an endpoint through a wire, which
delays and cuts.
"""

import socket
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial
from types import TracebackType
from typing import Any, Self, final

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from catkincrank import keeper as keepers
from catkincrank import proxy as proxies
from catkincrank.feedclient import KeeperAddress
from catkincrank.keeper import Keeper, KeeperOptions, PeerAddress
from catkincrank.keeperprogram import KeeperFlags, extend_keeper
from catkincrank.load.connection import Target
from catkincrank.load.profile import Profile
from catkincrank.proxy import Proxy, ProxyOptions
from catkincrank.settings import Team
from catkincrank.standins.groupset import GroupSet, ObserverFactory
from catkincrank.standins.operator import write_team
from catkincrank.standins.storeserver import StandinStoreServer
from catkincrank.standins.wire import Wire
from catkincrank.store import Row, VirtualMachine
from catkincrank.stores.http import HttpStore

__all__ = ('Deployment',)

_HOST = '127.0.0.1'


@final
class Deployment:
    """Runs a profile's deployment; an async context manager.

    Args:
        profile: What to run.
        observe: Returns what takes the reports of a group's instances.

    Attributes:
        crashes: Processes that ended by an error, and the error.
        find_wires: Returns the wires from other zones to an endpoint.
        groups: Stand-in groups by ``team/service``.
        keepers: Keepers by name.
        platform: The platform.
        proxies: Proxies by name.
        team: Settings of the team, as they were written first.
    """

    def __init__(
        self,
        profile: Profile,
        observe: ObserverFactory | None = None,
    ) -> None:
        self.profile = profile
        self.platform = StandinStoreServer()
        self._groups = GroupSet(profile, observe)
        self.groups = self._groups.groups
        self.keepers: dict[str, Keeper] = {}
        self.proxies: dict[str, Proxy] = {}
        self.team = Team()
        self.crashes: list[str] = []
        self.find_wires = self._groups.find_wires
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
        for wire in self._caller_wires.values():
            wire.stop()
        return await self._stack.__aexit__(kind, error, traceback)

    def targets(self) -> list[Target]:
        """Return the proxies that take new callers, as a balancer would."""
        return [
            Target(name, _HOST, self._caller_wires[name].port)
            for name, proxy in self.proxies.items()
            if not proxy.server.is_draining
        ]

    def kill_process(self, name: str) -> None:
        """End a proxy or keeper without a drain."""
        self._scopes.pop(name).cancel()
        self.proxies.pop(name, None)
        self.keepers.pop(name, None)

    async def change_settings(self, team: Team) -> Row:
        """Write a new subtree through the store, as an operator does."""
        row = await write_team(
            self.platform,
            self.profile.team,
            team,
            self._list_keepers(),
        )
        self.team = team
        return row

    async def _start(self) -> None:
        tasks = await self._stack.enter_async_context(
            anyio.create_task_group(),
        )
        self._stack.callback(tasks.cancel_scope.cancel)
        await tasks.start(self.platform.serve)
        await self._groups.start(self._stack)
        await self.change_settings(self._groups.describe_team())
        await self._start_keepers(tasks)
        await self._start_proxies(tasks)

    async def _start_keepers(self, tasks: TaskGroup) -> None:
        peers = tuple(
            PeerAddress(
                'vm-{0}'.format(number),
                self.profile.zone_of(number),
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
                peers=tuple(other for other in peers if other is not peer),
                extensions=(self._extend(peer),),
            )
            self.keepers[peer.name] = await self._run(  # noqa: WPS476
                tasks,
                peer.name,
                keepers.serve,
                options,
            )

    def _extend(self, peer: PeerAddress) -> Callable[..., Any]:
        """Return what spreads settings beside a keeper."""
        flags = KeeperFlags(
            peer.name,
            peer.zone,
            teams=(self.profile.team,),
        )
        return partial(extend_keeper, flags)

    def _list_keepers(self) -> list[KeeperAddress]:
        return [
            KeeperAddress(keeper.options.name, _HOST, keeper.port)
            for keeper in self.keepers.values()
        ]

    async def _start_proxies(self, tasks: TaskGroup) -> None:
        addresses = self._list_keepers()
        for number in range(self.profile.proxies):
            first = number % len(addresses)
            name = 'proxy-{0}'.format(number)
            options = ProxyOptions(
                name,
                self.profile.zone_of(number),
                keepers=(*addresses[first:], *addresses[:first]),
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
        serve: Callable[..., Any],
        options: Any,
    ) -> Any:
        return await tasks.start(self._serve, name, serve, options)

    async def _serve(
        self,
        name: str,
        serve: Callable[..., Any],
        options: Any,
        *,
        task_status: Any,
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
