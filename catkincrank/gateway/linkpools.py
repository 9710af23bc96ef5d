"""Link pools, one for each incarnation of an endpoint."""

import dataclasses
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.errors import EndpointError
from catkincrank.fairqueue import QueueEntry
from catkincrank.gateway.carriers import ConnectionShare
from catkincrank.gateway.link import EndpointLink, LinkDriver
from catkincrank.gateway.parkedlinks import ParkedLinks
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.pool import (
    EndpointPool,
    PoolOptions,
    PoolState,
    ignore_event,
)
from catkincrank.poolrunner import PoolRunner
from catkincrank.poolsupply import CountEvent
from catkincrank.retry import OPENING_BACKOFF

__all__ = ('BorrowedLink', 'LinkRequest', 'LinkPools')

# Opening a link takes the endpoint 12 ms and one round trip; a path that takes
# longer than this is considered broken.
_CONNECT_TIMEOUT_S = 0.5
# Interval at which pools with waiting statements or contended links are
# maintained, and that for all others.
_TICK_INTERVAL_S = 0.1
_IDLE_TICK_INTERVAL_S = 0.5
# No route's time limit is long enough to serve a longer queue.
_QUEUE_LENGTH = 256
# Links of organisations are kept longer than those of the process itself: a
# small organisation needs one every few seconds, and opening it occupies a slot
# of the endpoint for 12 ms.
_ORGANISATION_IDLE_S = 30.0
# Unused links beyond the first are closed early, so that other VMs can connect.
_OPTIONS = PoolOptions(
    queue_length=_QUEUE_LENGTH,
    idle_s=3,
    kept_idle=1,
    probe_after_s=5,
    probe_timeout_s=0.5,
    max_opening=2,
    linger_s=0.5,
    backoff=OPENING_BACKOFF,
    login_idle_s=_ORGANISATION_IDLE_S,
)
# Where an endpoint accepts fewer connections than there are VMs, unused links
# are closed almost at once; a waiting VM opens its own, which takes 12 ms.
_SCARCE_IDLE_S = 0.15
_SCARCE_OPTIONS = dataclasses.replace(
    _OPTIONS,
    idle_s=_SCARCE_IDLE_S,
    kept_idle=0,
    login_idle_s=0,
)
_MAX_WEIGHT = 8
# Organisations below this priority have the same weight.
_LOWEST_PRIORITY = 6
_FindShare = Callable[[EndpointEntry], ConnectionShare]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LinkRequest:
    """How a statement queues for a link.

    Attributes:
        route: Name of the route.
        priority: Queue priority, the sum of that of the route and that of the
            organisation; 0 is served first.
        deadline: When the statement leaves the queue.
        organisation: Organisation that the link must belong to; empty for a
            link of the process itself.
    """

    route: str
    priority: int
    deadline: float
    organisation: str = ''

    @property
    def team(self) -> str:
        """Share of the pool that it counts towards: organisation and route."""
        if self.organisation:
            return '{0} {1}'.format(self.organisation, self.route)
        return self.route

    @property
    def weight(self) -> float:
        """Weight of the team."""
        if self.organisation:
            return _MAX_WEIGHT / 2 ** min(self.priority, _LOWEST_PRIORITY)
        return max(1, _MAX_WEIGHT >> self.priority)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Pool:
    runner: PoolRunner
    parked_links: ParkedLinks

    @property
    def is_urgent(self) -> bool:
        """Whether statements wait, or other processes wait for its links."""
        pool = self.runner.pool
        if pool.waiting:
            return True
        return self.parked_links.share.is_contended and pool.held > 0


@final
class BorrowedLink:
    """A link held for one statement or transaction.

    Args:
        entry: Endpoint of the link.
        pool: Pool of the link.
        connection_id: Number of the link in the pool.

    Attributes:
        entry: Endpoint of the link.
        is_held: Whether it was neither returned nor discarded.
        link: The link.
        login: Name that the link was opened with: an organisation, or for a
            link through a carrier the carrier; empty for the default.
    """

    __slots__ = (
        '_connection_id',
        '_is_parked',
        '_parked_links',
        '_runner',
        'entry',
        'is_held',
        'link',
        'login',
    )

    def __init__(
        self,
        entry: EndpointEntry,
        pool: _Pool,
        connection_id: int,
    ) -> None:
        self.entry = entry
        self._parked_links = pool.parked_links
        self._is_parked = False
        self._runner = pool.runner
        self._connection_id = connection_id
        self.link: EndpointLink = pool.runner.connection(connection_id)
        self.login = pool.runner.pool.find_login(connection_id)
        self.is_held = True

    def park(self) -> None:
        """Mark the link idle in its transaction."""
        if self.is_held and not self._is_parked:
            self._is_parked = True
            limit = self._parked_links.park(anyio.current_time())
            self._runner.change_limit(limit)

    def unpark(self) -> None:
        """Mark the link as running statements again."""
        if self._is_parked:
            self._is_parked = False
            self._parked_links.unpark()

    def give_back(self) -> None:
        """Return the link to its pool for use by others."""
        self.unpark()
        if self.is_held:
            self.is_held = False
            self._runner.give_back(self._connection_id)

    def discard(self, *, is_lost: bool = False) -> None:
        """Close the link, which must not be reused."""
        self.unpark()
        if self.is_held:
            self.is_held = False
            self._runner.discard(self._connection_id, is_lost=is_lost)


@final
class LinkPools:
    """Pools of links by endpoint.

    Args:
        driver: Opens links.
        application: Application name given to the endpoints.
        tasks: Task group that opens, probes and closes links.
        count_event: Counts links ``opened``, ``reused`` and ``evicted``.
    """

    __slots__ = (
        '_application',
        '_count_event',
        '_driver',
        '_find_share',
        '_has_waiters',
        '_pools',
        '_source',
        '_tasks',
        '_ticket_ids',
    )

    def __init__(
        self,
        driver: LinkDriver,
        application: str,
        tasks: TaskGroup,
        count_event: CountEvent = ignore_event,
    ) -> None:
        self._count_event = count_event
        self._driver = driver
        self._application = application
        self._tasks = tasks
        self._source = random.Random()
        self._ticket_ids = itertools.count(1)
        self._pools: dict[EndpointKey, _Pool] = {}
        self._find_share: _FindShare = _initial_share
        self._has_waiters = anyio.Event()

    def configure(
        self,
        find_entry: Callable[[str], EndpointEntry | None],
        find_share: _FindShare,
    ) -> None:
        """Apply new shares, and retire the pools of removed endpoints.

        Args:
            find_entry: Returns the registration of an endpoint, if any.
            find_share: Returns this process's share of an endpoint's
                connections.
        """
        self._find_share = find_share
        for key, pool in tuple(self._pools.items()):
            entry = find_entry(pool.runner.pool.endpoint)
            if entry is not None and make_key(entry) == key:
                share = find_share(entry)
                pool.parked_links.share = share
                pool.runner.pool.change_options(_select_options(share))
                pool.runner.set_leaving(is_leaving=False)
                continue
            pool.runner.set_leaving(is_leaving=True)
            if not pool.runner.pool.held:
                self._pools.pop(key)
        self._maintain()

    async def borrow(
        self,
        entry: EndpointEntry,
        link_request: LinkRequest,
        login: str | None = None,
    ) -> BorrowedLink:
        """Return a link once one is free.

        Args:
            entry: The endpoint.
            link_request: How the statement queues.
            login: Name that the link must have been opened with, if that is
                not the organisation.

        Raises:
            RequestError: The queue is full.
            EndpointError: The endpoint cannot be reached.
        """
        pool = self._find_pool(entry)
        if login is None:
            login = link_request.organisation
        while True:
            ticket = pool.runner.enqueue(
                self._make_queue_entry(link_request, login)
            )
            if not ticket.is_decided:
                self._has_waiters.set()
            connection_id = await pool.runner.wait(ticket)
            borrowed = BorrowedLink(entry, pool, connection_id)
            if borrowed.link.is_alive:
                return borrowed
            borrowed.discard(is_lost=True)

    def count_requests(self, entry: EndpointEntry) -> int:
        """Return how many statements hold or await a link to an endpoint."""
        pool = self._pools.get(make_key(entry))
        if pool is None:
            return 0
        return pool.runner.pool.in_use + pool.runner.pool.waiting

    def count_leased(self, entry: EndpointEntry, login: str) -> int:
        """Return how many links of ``login`` to an endpoint are in use."""
        pool = self._pools.get(make_key(entry))
        return pool.runner.pool.count_leased(login) if pool else 0

    def list_pools(self) -> list[PoolState]:
        """Return the states of all pools, for the state dump."""
        return [one.runner.pool.describe() for one in self._pools.values()]

    async def connect(
        self, entry: EndpointEntry, login: str = ''
    ) -> EndpointLink:
        """Open a link outside the pools.

        Args:
            entry: The endpoint.
            login: Name to open it with; empty for the process's own.

        Raises:
            EndpointError: The endpoint cannot be reached.
        """
        with anyio.move_on_after(_CONNECT_TIMEOUT_S):
            name = login or self._application
            return await self._driver.connect(entry, name)
        raise EndpointError('no answer', was_sent=False)

    async def run(self) -> None:
        """Maintain the pools until cancelled."""
        maintained_at = anyio.current_time()
        while True:
            await self._await_tick()
            now = anyio.current_time()
            if now < maintained_at + _IDLE_TICK_INTERVAL_S:
                self._maintain(only_urgent=True)
            else:
                maintained_at = now
                self._maintain()

    async def close(self) -> None:
        """Close every link."""
        for pool in tuple(self._pools.values()):
            await pool.runner.close()  # noqa: WPS476

    async def _await_tick(self) -> None:
        if any(pool.is_urgent for pool in self._pools.values()):
            await anyio.sleep(_TICK_INTERVAL_S)
            return
        self._has_waiters = anyio.Event()
        with anyio.move_on_after(_IDLE_TICK_INTERVAL_S):
            await self._has_waiters.wait()

    def _maintain(self, *, only_urgent: bool = False) -> None:
        now = anyio.current_time()
        for pool in tuple(self._pools.values()):
            if only_urgent and not pool.is_urgent:
                continue
            pool.runner.change_limit(pool.parked_links.limit(now))
            pool.runner.tick()

    def _make_queue_entry(
        self, link_request: LinkRequest, login: str
    ) -> QueueEntry:
        return QueueEntry(
            next(self._ticket_ids),
            link_request.team,
            link_request.deadline,
            link_request.weight,
            login,
            anyio.current_time(),
        )

    def _find_pool(self, entry: EndpointEntry) -> _Pool:
        key = make_key(entry)
        pool = self._pools.get(key)
        if pool is None:
            share = self._find_share(entry)
            endpoint_pool = EndpointPool(
                entry.endpoint_id,
                share.limit,
                _select_options(share),
                self._source,
                self._count_event,
            )
            connect = partial(self.connect, entry)
            pool = _Pool(
                PoolRunner(endpoint_pool, connect, self._tasks),
                ParkedLinks(share),
            )
            self._pools[key] = pool
        return pool


EndpointKey = tuple[str, str, str, int, int]


def make_key(entry: EndpointEntry) -> EndpointKey:
    """Return a key unique to one incarnation of an endpoint."""
    return (
        entry.service,
        entry.endpoint_id,
        entry.host,
        entry.port,
        entry.born_ms,
    )


def _initial_share(_entry: EndpointEntry) -> ConnectionShare:
    """Return the initial share, before connection limits are known."""
    return ConnectionShare(1, 1)


def _select_options(share: ConnectionShare) -> PoolOptions:
    options = _SCARCE_OPTIONS if share.is_contended else _OPTIONS
    return dataclasses.replace(options, max_held=share.max_held)
