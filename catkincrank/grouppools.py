"""Pools of connections to the endpoints of each group."""

import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.endpoint import (
    Credential,
    Driver,
    EndpointAddress,
    EndpointConnection,
    drivers,
)
from catkincrank.errors import EndpointError
from catkincrank.pool import EndpointPool, PoolOptions, PoolState
from catkincrank.poolrunner import PoolRunner
from catkincrank.routing import EndpointLoad
from catkincrank.settings import Endpoint, Service

__all__ = ('GroupPools', 'PooledEndpoint', 'ConnectOptions')

_CONNECT_LIMIT_S = 3
_TICK_INTERVAL_S = 0.1


@final
@dataclass(frozen=True, slots=True)
class ConnectOptions:
    """How connections are opened.

    Attributes:
        application: Application name that connections carry.
        zone: Availability zone of the proxy.
        environment: Where passwords are looked up by variable name.
        driver: Driver to use in place of the one that a service names.
    """

    application: str
    zone: str
    environment: Mapping[str, str] = field(repr=False)
    driver: Driver | None = None


@final
@dataclass(frozen=True, slots=True)
class PooledEndpoint:
    """An endpoint of a group and its pool.

    Attributes:
        endpoint: Settings of the endpoint.
        login: What kind of connection the group's requests need.
        runner: The pool.
    """

    endpoint: Endpoint
    login: str
    runner: PoolRunner

    def describe_load(self) -> EndpointLoad:
        """Return how busy the endpoint is."""
        pool = self.runner.pool
        return EndpointLoad(
            zone=self.endpoint.zone,
            in_use=pool.in_use,
            waiting=pool.waiting,
            limit=pool.limit,
            is_open=not self.endpoint.is_leaving,
        )


@final
class _GroupLoads(Mapping[str, EndpointLoad]):
    """Loads of a group's endpoints, worked out when they are looked at."""

    __slots__ = ('_members',)

    def __init__(self, members: Mapping[str, PooledEndpoint]) -> None:
        self._members = members

    def __getitem__(self, name: str) -> EndpointLoad:
        return self._members[name].describe_load()

    def __iter__(self) -> Iterator[str]:
        return iter(self._members)

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, name: object) -> bool:
        return name in self._members


@final
class GroupPools:
    """Pools of every group that the proxy serves.

    Endpoints at the same address share a pool, whatever groups they are of.

    Args:
        options: How connections are opened.
        tasks: Runs what takes time.
        source: Random numbers that spread attempts to connect.
    """

    __slots__ = (
        '_groups',
        '_logins',
        '_options',
        '_runners',
        '_source',
        '_tasks',
    )

    def __init__(
        self,
        options: ConnectOptions,
        tasks: TaskGroup,
        source: random.Random | None = None,
    ) -> None:
        self._options = options
        self._tasks = tasks
        self._source = source or random.Random()
        self._groups: dict[str, dict[str, PooledEndpoint]] = {}
        self._logins: dict[str, Service] = {}
        self._runners: dict[tuple[str, int], PoolRunner] = {}

    def configure(self, group: str, service: Service) -> None:
        """Bring the settings of a group into force."""
        login = '{0}@{1}'.format(service.user, service.database)
        self._logins[login] = service
        self._groups[group] = {
            endpoint.name: PooledEndpoint(
                endpoint,
                login,
                self._configure_runner(service, endpoint),
            )
            for endpoint in service.endpoints
        }

    def remove_group(self, group: str) -> None:
        """Take no more requests of a group that went."""
        self._groups.pop(group, None)

    def loads(self, group: str) -> Mapping[str, EndpointLoad]:
        """Return how busy each of a group's endpoints is."""
        return _GroupLoads(self._groups.get(group, {}))

    def list_pools(self) -> list[PoolState]:
        """Return what the state dump shows of each pool."""
        return [runner.pool.describe() for runner in self._runners.values()]

    async def run(self) -> None:
        """Tend the pools until cancelled."""
        while True:
            await anyio.sleep(_TICK_INTERVAL_S)
            for runner in tuple(self._runners.values()):
                runner.tick()

    def find(self, group: str, endpoint: str) -> PooledEndpoint:
        """Return an endpoint of a group.

        Raises:
            EndpointError: The group has no such endpoint any more.
        """
        member = self._groups.get(group, {}).get(endpoint)
        if member is None:
            raise EndpointError(
                'no endpoint {0!r} any more'.format(endpoint),
                was_sent=False,
            )
        return member

    async def close(self) -> None:
        """Close every connection."""
        for runner in self._runners.values():
            await runner.close()  # noqa: WPS476

    def _configure_runner(
        self,
        service: Service,
        endpoint: Endpoint,
    ) -> PoolRunner:
        limits = service.limits
        usable = limits.connections - limits.control_connections
        limit = max(1, usable // limits.proxies)
        port = endpoint.port_from(self._options.zone)
        runner = self._runners.get((endpoint.host, port))
        if runner is None:
            address = EndpointAddress(endpoint.name, endpoint.host, port)
            runner = self._make_runner(address, limit, limits.queue_length)
            self._runners[endpoint.host, port] = runner
        runner.change_limit(limit)
        runner.set_leaving(is_leaving=endpoint.is_leaving)
        return runner

    def _make_runner(
        self,
        address: EndpointAddress,
        limit: int,
        queue_length: int,
    ) -> PoolRunner:
        pool = EndpointPool(
            address.endpoint,
            limit,
            PoolOptions(queue_length=queue_length),
            self._source,
        )
        return PoolRunner(pool, partial(self._connect, address), self._tasks)

    async def _connect(
        self,
        address: EndpointAddress,
        login: str,
    ) -> EndpointConnection:
        service = self._logins[login]
        driver = self._options.driver or drivers.find(service.driver)()
        password = self._options.environment.get(service.password_variable, '')
        credential = Credential(service.user, password, service.database)
        with anyio.move_on_after(_CONNECT_LIMIT_S):
            return await driver.connect(
                address,
                credential,
                self._options.application,
            )
        raise EndpointError('no answer', was_sent=False)
