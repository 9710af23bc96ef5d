"""Link pools, one for each incarnation of an endpoint."""

import dataclasses
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.endpoint import TransactionStatus
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
# Links to a carrier that no organisation needs any more are closed.
_VIA_OPTIONS = dataclasses.replace(
    _OPTIONS,
    idle_s=_ORGANISATION_IDLE_S,
    kept_idle=0,
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
    def requests(self) -> int:
        """Number of statements that hold or await a link."""
        return self.runner.pool.in_use + self.runner.pool.waiting

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
        login: Organisation that the link was opened for; empty for none.
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
        """Return the link to its pool for use by others.

        A link is closed instead if its endpoint is still in a transaction.
        """
        self.unpark()
        if self.link.status is not TransactionStatus.IDLE:
            self.discard()
        elif self.is_held:
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
    """Pools of links by endpoint, and by carrier if that matters.

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
        self._pools: dict[EndpointKey, dict[str, _Pool]] = {}
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
        for key, pools in tuple(self._pools.items()):
            for via, pool in tuple(pools.items()):
                entry = find_entry(pool.runner.pool.endpoint)
                if entry is not None and make_key(entry) == key:
                    _change_share(pool, find_share(entry), via)
                else:
                    pool.runner.set_leaving(is_leaving=True)
                if _is_obsolete(pool, via):
                    pools.pop(via)
            if not pools:
                self._pools.pop(key)
        self._maintain()

    async def borrow(
        self,
        entry: EndpointEntry,
        link_request: LinkRequest,
        via: str = '',
    ) -> BorrowedLink:
        """Return a link once one is free.

        Args:
            entry: The endpoint.
            link_request: How the statement queues.
            via: Carrier that the link must lead to; such links are shared by
                the organisations. Empty for any, or for a direct link.

        Raises:
            RequestError: The queue is full.
            EndpointError: The endpoint cannot be reached.
        """
        pool = self._find_pool(entry, via)
        login = '' if via else link_request.organisation
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
        pools = self._pools.get(make_key(entry), {})
        return sum(pool.requests for pool in pools.values())

    def count_requests_via(self, entry: EndpointEntry, via: str) -> int:
        """Return the same for the links through one carrier."""
        pool = self._pools.get(make_key(entry), {}).get(via)
        return 0 if pool is None else pool.requests

    def list_pools(self) -> list[PoolState]:
        """Return the states of all pools, for the state dump."""
        return [pool.runner.pool.describe() for pool in self._list()]

    async def connect(
        self, entry: EndpointEntry, name: str = ''
    ) -> EndpointLink:
        """Open a link outside the pools.

        Args:
            entry: The endpoint.
            name: Organisation to open it for, or carrier to open it to; empty
                for the process itself.

        Raises:
            EndpointError: The endpoint cannot be reached.
        """
        with anyio.move_on_after(_CONNECT_TIMEOUT_S):
            return await self._driver.connect(entry, name or self._application)
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
        for pool in self._list():
            await pool.runner.close()  # noqa: WPS476

    async def _await_tick(self) -> None:
        if any(pool.is_urgent for pool in self._list()):
            await anyio.sleep(_TICK_INTERVAL_S)
            return
        self._has_waiters = anyio.Event()
        with anyio.move_on_after(_IDLE_TICK_INTERVAL_S):
            await self._has_waiters.wait()

    def _maintain(self, *, only_urgent: bool = False) -> None:
        now = anyio.current_time()
        for pool in self._list():
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

    def _list(self) -> list[_Pool]:
        return [
            pool for pools in self._pools.values() for pool in pools.values()
        ]

    def _find_pool(self, entry: EndpointEntry, via: str) -> _Pool:
        pools = self._pools.setdefault(make_key(entry), {})
        pool = pools.get(via)
        if pool is None:
            share = self._find_share(entry)
            endpoint_pool = EndpointPool(
                entry.endpoint_id,
                share.limit,
                _select_options(share, via),
                self._source,
                self._count_event,
            )
            connect = partial(self._open, entry, via)
            pool = _Pool(
                PoolRunner(endpoint_pool, connect, self._tasks),
                ParkedLinks(share),
            )
            pools[via] = pool
        return pool

    async def _open(
        self, entry: EndpointEntry, via: str, login: str
    ) -> EndpointLink:
        return await self.connect(entry, via or login)


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


def _is_obsolete(pool: _Pool, via: str) -> bool:
    """Return whether a pool without links will hardly be used again."""
    endpoint_pool = pool.runner.pool
    if endpoint_pool.held or endpoint_pool.waiting:
        return False
    return endpoint_pool.is_leaving or via != ''


def _change_share(pool: _Pool, share: ConnectionShare, via: str) -> None:
    pool.parked_links.share = share
    pool.runner.pool.change_options(_select_options(share, via))
    pool.runner.set_leaving(is_leaving=False)


def _select_options(share: ConnectionShare, via: str) -> PoolOptions:
    if via:
        return _VIA_OPTIONS
    options = _SCARCE_OPTIONS if share.is_contended else _OPTIONS
    return dataclasses.replace(options, max_held=share.max_held)
