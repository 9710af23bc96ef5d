"""Connections to endpoints, leased to one transaction at a time."""

from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import final

import anyio

from catkincrank.endpoint import (
    Answer,
    Credential,
    Driver,
    EndpointAddress,
    EndpointConnection,
    StatementError,
    TransactionStatus,
    drivers,
)
from catkincrank.errors import EndpointError
from catkincrank.history import LogMark
from catkincrank.request import Request
from catkincrank.routing import EndpointLoad
from catkincrank.settings import Endpoint, Service
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('Lease', 'Leases', 'LeasesOptions')

_CONNECT_LIMIT_S = 3
_CLOSE_LIMIT_S = 1
_RESET_LIMIT_S = 1
_OVERLOAD_HINT_S = 0.25
_RESET_SQL = 'DISCARD ALL'


@final
@dataclass(frozen=True, slots=True)
class LeasesOptions:
    """How connections are opened.

    Attributes:
        application: Application name that connections carry.
        zone: Availability zone of the proxy.
        passwords: Endpoint passwords by environment variable name.
        driver: Driver to use in place of the one that a service names.
    """

    application: str
    zone: str
    passwords: Mapping[str, str]
    driver: Driver | None = None

    def __repr__(self) -> str:
        return 'LeasesOptions(application={0!r})'.format(self.application)


@final
class Lease:
    """A connection held for one transaction.

    Args:
        pool: Where it comes from.
        connection: The open connection.
        holder: What the pool counts it for.

    Attributes:
        is_dirty: Whether its caller may have left state on the connection.
        is_open: Whether it is still held.
    """

    __slots__ = ('connection', 'holder', 'is_dirty', 'is_open', 'pool')

    def __init__(
        self,
        pool: 'EndpointPool',
        connection: EndpointConnection,
        holder: object,
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.holder = holder
        self.is_dirty = False
        self.is_open = True

    @property
    def endpoint(self) -> str:
        """Name of the endpoint that it leads to."""
        return self.pool.endpoint.name


@final
class EndpointPool:
    """Connections to one endpoint.

    Args:
        endpoint: Settings of the endpoint.
        limit: Most connections that this process may hold.
    """

    __slots__ = ('endpoint', 'idle', 'limiter', 'waiting')

    def __init__(self, endpoint: Endpoint, limit: int) -> None:
        self.endpoint = endpoint
        self.limiter = anyio.CapacityLimiter(limit)
        self.idle: deque[EndpointConnection] = deque()
        self.waiting = 0

    @contextmanager
    def count_waiting(self) -> Iterator[None]:
        """Count a request that waits for a connection."""
        with ExitStack() as stack:
            stack.callback(self._stop_waiting)
            self.waiting += 1
            yield

    def _stop_waiting(self) -> None:
        self.waiting -= 1


@final
class Leases:
    """Leases connections of every group that the proxy serves.

    Args:
        options: How connections are opened.
    """

    __slots__ = ('_options', '_pools')

    def __init__(self, options: LeasesOptions) -> None:
        self._options = options
        self._pools: dict[tuple[str, str], EndpointPool] = {}

    def loads(self, group: str, service: Service) -> dict[str, EndpointLoad]:
        """Return how busy each of a group's endpoints is."""
        loads = {}
        for endpoint in service.endpoints:
            pool = self._find_pool(group, service, endpoint)
            loads[endpoint.name] = EndpointLoad(
                zone=endpoint.zone,
                in_use=pool.limiter.borrowed_tokens,
                waiting=pool.waiting,
                limit=int(pool.limiter.total_tokens),
                is_open=not endpoint.is_leaving,
            )
        return loads

    async def acquire(self, request: Request, endpoint_name: str) -> Lease:
        """Return a connection once one is free.

        Raises:
            RequestError: Too many requests wait already.
            EndpointError: No connection could be opened.
        """
        endpoint = _find_endpoint(request.service, endpoint_name)
        pool = self._find_pool(request.group, request.service, endpoint)
        holder = object()
        await self._take_token(pool, request, holder)
        while pool.idle:
            connection = pool.idle.pop()
            if connection.transaction is TransactionStatus.IDLE:
                return Lease(pool, connection, holder)
            await _close(connection)
        try:
            connection = await self._connect(request.service, endpoint)
        except BaseException:
            pool.limiter.release_on_behalf_of(holder)
            raise
        return Lease(pool, connection, holder)

    async def execute(
        self,
        lease: Lease,
        sql: str,
        params: Sequence[str | None] = (),
    ) -> Answer:
        """Run a statement; discard the lease unless a whole answer came."""
        try:
            return await lease.connection.execute(sql, params)
        except StatementError:
            raise
        except BaseException:
            await self.discard(lease)
            raise

    async def apply(self, lease: Lease, settings: Mapping[str, str]) -> None:
        """Run a caller's ``SET`` statements; they are undone at release."""
        lease.is_dirty = True
        for sql in settings.values():
            await self.execute(lease, sql)  # noqa: WPS476

    async def commit(self, lease: Lease) -> LogMark | None:
        """Commit; discard the lease unless a whole answer came."""
        try:
            return await lease.connection.commit()
        except StatementError:
            raise
        except BaseException:
            await self.discard(lease)
            raise

    async def roll_back(self, lease: Lease) -> None:
        """Roll back and give the connection back."""
        try:
            await self.execute(lease, 'ROLLBACK')
        except EndpointError:
            return
        except StatementError:
            await self.discard(lease)
            return
        await self.release(lease)

    async def release(self, lease: Lease) -> None:
        """Give a connection back, reset if its caller left state on it."""
        connection = lease.connection
        if lease.is_dirty and not await _reset(connection):
            await self.discard(lease)
            return
        if connection.transaction is not TransactionStatus.IDLE:
            await self.discard(lease)
            return
        lease.is_open = False
        lease.pool.idle.append(connection)
        lease.pool.limiter.release_on_behalf_of(lease.holder)

    async def discard(self, lease: Lease) -> None:
        """Close a connection that must not serve anyone else."""
        if not lease.is_open:
            return
        lease.is_open = False
        await _close(lease.connection)
        lease.pool.limiter.release_on_behalf_of(lease.holder)

    def take_idle(self, request: Request, endpoint_name: str) -> Lease | None:
        """Return an idle connection at once, if there is one."""
        pool = self._pools.get((request.group, endpoint_name))
        if pool is None or pool.waiting or not pool.idle:
            return None
        holder = object()
        pool.limiter.acquire_on_behalf_of_nowait(holder)
        return Lease(pool, pool.idle.pop(), holder)

    async def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            while pool.idle:
                await _close(pool.idle.pop())  # noqa: WPS476

    async def _take_token(
        self,
        pool: EndpointPool,
        request: Request,
        holder: object,
    ) -> None:
        if pool.waiting >= request.service.limits.queue_length:
            raise RequestError(
                Verdict.NOT_RUN,
                Reason.OVERLOADED,
                'too many requests wait for a connection',
                retry_after_s=_OVERLOAD_HINT_S,
            )
        with pool.count_waiting():
            await pool.limiter.acquire_on_behalf_of(holder)

    async def _connect(
        self,
        service: Service,
        endpoint: Endpoint,
    ) -> EndpointConnection:
        driver = self._options.driver or drivers.find(service.driver)()
        address = EndpointAddress(
            endpoint.name,
            endpoint.host,
            endpoint.port_from(self._options.zone),
        )
        password = self._options.passwords.get(service.password_variable, '')
        credential = Credential(service.user, password, service.database)
        try:
            with anyio.fail_after(_CONNECT_LIMIT_S):
                return await driver.connect(
                    address,
                    credential,
                    self._options.application,
                )
        except TimeoutError:
            raise EndpointError('no answer', was_sent=False) from None

    def _find_pool(
        self,
        group: str,
        service: Service,
        endpoint: Endpoint,
    ) -> EndpointPool:
        pool = self._pools.get((group, endpoint.name))
        if pool is None:
            limits = service.limits
            usable = limits.connections - limits.control_connections
            pool = EndpointPool(endpoint, max(1, usable // limits.proxies))
            self._pools[group, endpoint.name] = pool
        pool.endpoint = endpoint
        return pool


def _find_endpoint(service: Service, name: str) -> Endpoint:
    for endpoint in service.endpoints:
        if endpoint.name == name:
            return endpoint
    raise EndpointError(
        'the service has no endpoint {0!r} any more'.format(name),
        was_sent=False,
    )


async def _reset(connection: EndpointConnection) -> bool:
    with anyio.move_on_after(_RESET_LIMIT_S, shield=True):
        try:
            await connection.execute(_RESET_SQL)
        except (EndpointError, StatementError):
            return False
        return True
    return False


async def _close(connection: EndpointConnection) -> None:
    with anyio.move_on_after(_CLOSE_LIMIT_S, shield=True):
        await connection.close()
