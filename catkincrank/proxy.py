"""The proxy: serves callers of the groups in its settings."""

import uuid
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import final

import anyio
from anyio.abc import TaskGroup, TaskStatus

from catkincrank.assembly import assemble_executor
from catkincrank.catalog import Catalog
from catkincrank.endpoint import Driver
from catkincrank.feed import Feed
from catkincrank.feedclient import FeedClient, KeeperAddress
from catkincrank.frontend import CallerServer
from catkincrank.grouppools import ConnectOptions, GroupPools
from catkincrank.groupupdates import GroupUpdates
from catkincrank.journal import Event, Journal
from catkincrank.leases import Leases
from catkincrank.logs import EventRecorder
from catkincrank.messages import Hello
from catkincrank.settings import Team
from catkincrank.settingsclient import SettingsClient
from catkincrank.tally import Tally

__all__ = ('Proxy', 'ProxyOptions', 'serve')

_APPLICATION = 'catkincrank-proxy {0}'
_PASSWORD_VARIABLE = 'CATKINCRANK_PASSWORD_{0}'
_DRAIN_POLL_S = 0.05


@final
@dataclass(frozen=True, slots=True)
class ProxyOptions:
    """Configuration of a proxy.

    Attributes:
        name: Name of the process.
        zone: Availability zone it runs in.
        host: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
        keepers: Keepers to connect to, the one on the same VM first.
        teams: Initial settings subtrees, by team.
        environment: Environment variables, which hold the passwords.
        drain_limit_s: Longest time that a drain waits for callers, in
            seconds.
        driver: Endpoint driver that overrides the services' own.
        extensions: Additional background tasks, called with the proxy.
    """

    name: str
    zone: str
    host: str = '127.0.0.1'
    port: int = 0
    keepers: tuple[KeeperAddress, ...] = ()
    teams: Mapping[str, Team] = field(default_factory=dict)
    environment: Mapping[str, str] = field(default_factory=dict, repr=False)
    drain_limit_s: float = 30
    driver: Driver | None = None
    extensions: tuple[Callable[['Proxy'], Awaitable[None]], ...] = ()


@final
class Proxy:
    """State of one proxy.

    Args:
        options: Its configuration.
        tasks: Task group for its background tasks.

    Attributes:
        catalog: Services in force.
        client: Connection to a keeper, which updates ``feed``.
        feed: Last known status of the groups.
        journal: Journal of its decisions.
        executor: Runs statements.
        pools: Connection pools of the endpoints.
        server: Server for callers.
        settings: Settings subtrees received from the keeper.
        tally: Counts outcomes.
    """

    def __init__(self, options: ProxyOptions, tasks: TaskGroup) -> None:
        self.options = options
        self.catalog = Catalog()
        self.feed = Feed()
        self.journal = Journal(options.name)
        hello = Hello(options.name, options.zone, 'proxy', uuid.uuid4().hex)
        self.client = FeedClient(hello, options.keepers, self.feed)
        self.pools = GroupPools(
            ConnectOptions(
                _APPLICATION.format(options.name),
                options.zone,
                options.environment,
                options.driver,
            ),
            tasks,
        )
        self.settings = SettingsClient(self.client, self.apply_team)
        self.tally = Tally()
        self.executor = assemble_executor(
            GroupUpdates(self.feed, self.client.subscription.expedite),
            Leases(self.pools),
            self.catalog,
            options.zone,
            self.tally,
        )
        self.server = CallerServer(
            self.executor,
            self._is_served,
            self._find_password,
        )
        self._drain_requested = anyio.Event()

    def apply_team(self, name: str, team: Team | None) -> None:
        """Apply a team's settings subtree; ``None`` removes the team."""
        for removed in self.catalog.replace(name, team):
            self.client.subscription.remove(removed)
            self.pools.remove_group(removed)
        for group in self.catalog.groups():
            if group.partition('/')[0] == name:
                self._apply_group(group)

    def request_drain(self) -> list[str]:
        """Start to drain; return the work that it waits for."""
        self._drain_requested.set()
        return self.list_pending()

    def list_pending(self) -> list[str]:
        """Return the work in progress that a drain waits for."""
        return [
            'caller {0} of {1}: {2}'.format(
                connection.pid,
                connection.state.group,
                'transaction'
                if connection.is_awaiting_request
                else 'statement',
            )
            for connection in self.server.connections
            if not connection.is_idle
        ]

    def list_obstacles(self) -> list[str]:
        """Return reasons why the proxy is not ready; empty when it is."""
        obstacles = []
        if self.server.is_draining:
            obstacles.append('draining')
        if self.options.keepers and not self.client.connected_to:
            obstacles.append('no keeper answers')
        return obstacles

    async def drain_on_request(self) -> None:
        """Wait for a drain request, then drain."""
        await self._drain_requested.wait()
        self._record_drain('began', self.list_pending())
        await self.server.drain()
        with anyio.move_on_after(self.options.drain_limit_s):
            while self.server.connections:
                await anyio.sleep(_DRAIN_POLL_S)
        pending = self.list_pending()
        if pending:
            await self.server.close_all()
        self._record_drain('cut' if pending else 'ended', pending)

    def _record_drain(self, outcome: str, pending: list[str]) -> None:
        evidence = {'waits_for': str(len(pending))}
        event = Event('drain', self.options.name, 'asked', outcome, evidence)
        EventRecorder(self.journal).record(event)

    async def _is_served(self, group: str) -> bool:
        """Return whether a group is served; ask the keeper if unknown."""
        if group in self.catalog:
            return True
        team = group.partition('/')[0]
        if self.settings.active_settings.team(team) is not None:
            return False
        await self.settings.fetch(team)
        return group in self.catalog

    def _apply_group(self, group: str) -> None:
        service = self.catalog.find(group)
        if service is None:
            return
        names = (endpoint.name for endpoint in service.endpoints)
        self.feed.set_members(group, names)
        self.pools.configure(group, service)
        self.client.subscription.add(group)

    def _find_password(self, group: str) -> str | None:
        team = group.partition('/')[0].upper().replace('-', '_')
        name = _PASSWORD_VARIABLE.format(team)
        return self.options.environment.get(name)


async def serve(
    options: ProxyOptions,
    *,
    task_status: TaskStatus[Proxy] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run a proxy until it is cancelled or has drained."""
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        proxy = Proxy(options, tasks)
        stack.push_async_callback(proxy.pools.close)
        stack.callback(proxy.server.close)
        for name, team in options.teams.items():
            proxy.apply_team(name, team)
        _start_background_tasks(proxy, tasks)
        await proxy.server.start(options.host, options.port)
        task_status.started(proxy)
        await proxy.drain_on_request()
        tasks.cancel_scope.cancel()


def _start_background_tasks(proxy: Proxy, tasks: TaskGroup) -> None:
    tasks.start_soon(proxy.pools.run)
    tasks.start_soon(proxy.server.expire_idle_transactions)
    tasks.start_soon(proxy.executor.runners.pruner.run)
    if proxy.options.keepers:
        tasks.start_soon(proxy.client.run)
        tasks.start_soon(proxy.settings.run)
    for extension in proxy.options.extensions:
        tasks.start_soon(extension, proxy)
