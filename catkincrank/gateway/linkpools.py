"""Pools of links to endpoints, one for each incarnation of an endpoint."""

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
from catkincrank.gateway.carriers import Share
from catkincrank.gateway.link import EndpointLink, LinkDriver
from catkincrank.gateway.parkedlinks import ParkedLinks
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.pool import EndpointPool, PoolOptions, PoolState
from catkincrank.poolrunner import PoolRunner
from catkincrank.retry import OPENING_BACKOFF

__all__ = ('BorrowedLink', 'Claim', 'LinkPools')

# Opening takes the endpoint 12 ms and a round trip; a path that takes longer
# than this is broken.
_CONNECT_LIMIT_S = 0.5
_TICK_INTERVAL_S = 0.1
# More statements than this cannot be served within any route's time limit.
_QUEUE_LENGTH = 256
# Unused links beyond the first are closed soon, so that other VMs find room.
_OPTIONS = PoolOptions(
    queue_length=_QUEUE_LENGTH,
    idle_s=3,
    kept_idle=1,
    probe_after_s=5,
    probe_timeout_s=0.5,
    max_opening=2,
    linger_s=0.5,
    backoff=OPENING_BACKOFF,
)
# Where an endpoint takes fewer connections than there are VMs, none keeps one
# that it does not use: a VM that waits opens its own, which takes 12 ms.
_SCARCE_IDLE_S = 0.15
_SCARCE_OPTIONS = dataclasses.replace(
    _OPTIONS,
    idle_s=_SCARCE_IDLE_S,
    kept_idle=0,
)
_TOP_WEIGHT = 8
_FindShare = Callable[[EndpointEntry], Share]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What decides who gets a link first.

    Attributes:
        route: Name of the route.
        priority: 0 is served first.
        deadline: When waiting on is of no use.
    """

    route: str
    priority: int
    deadline: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Pool:
    runner: PoolRunner
    parking: ParkedLinks


@final
class BorrowedLink:
    """A link held for one statement or transaction.

    Args:
        entry: The endpoint that it leads to.
        pool: Its pool.
        connection_id: Number of the link in the pool.
    """

    __slots__ = (
        '_connection_id',
        '_is_parked',
        '_parking',
        '_runner',
        'entry',
        'is_held',
        'link',
    )

    def __init__(
        self,
        entry: EndpointEntry,
        pool: _Pool,
        connection_id: int,
    ) -> None:
        self.entry = entry
        self._parking = pool.parking
        self._is_parked = False
        self._runner = pool.runner
        self._connection_id = connection_id
        self.link: EndpointLink = pool.runner.connection(connection_id)
        self.is_held = True

    def park(self) -> None:
        """Note that nothing runs on the link until its caller goes on."""
        if self.is_held and not self._is_parked:
            self._is_parked = True
            limit = self._parking.park(anyio.current_time())
            self._runner.change_limit(limit)

    def unpark(self) -> None:
        """Note that something runs on the link again."""
        if self._is_parked:
            self._is_parked = False
            self._parking.unpark()

    def give_back(self) -> None:
        """Return the link; it serves others from now on."""
        self.unpark()
        if self.is_held:
            self.is_held = False
            self._runner.give_back(self._connection_id)

    def discard(self, *, is_lost: bool = False) -> None:
        """Close the link, which must not serve anyone else."""
        self.unpark()
        if self.is_held:
            self.is_held = False
            self._runner.discard(self._connection_id, is_lost=is_lost)


@final
class LinkPools:
    """Pools by endpoint.

    Args:
        driver: Opens links.
        application: Name that links carry.
        tasks: Runs what takes time.
    """

    __slots__ = (
        '_application',
        '_driver',
        '_find_share',
        '_numbers',
        '_pools',
        '_source',
        '_tasks',
    )

    def __init__(
        self,
        driver: LinkDriver,
        application: str,
        tasks: TaskGroup,
    ) -> None:
        self._driver = driver
        self._application = application
        self._tasks = tasks
        self._source = random.Random()
        self._numbers = itertools.count(1)
        self._pools: dict[EndpointKey, _Pool] = {}
        self._find_share: _FindShare = _share_one

    def configure(
        self,
        find_entry: Callable[[str], EndpointEntry | None],
        find_share: _FindShare,
    ) -> None:
        """Take in new shares, and drop the pools of endpoints that went.

        Args:
            find_entry: Returns the registration of an endpoint, if any.
            find_share: Returns the links that this process may hold to one.
        """
        self._find_share = find_share
        for key, pool in tuple(self._pools.items()):
            entry = find_entry(pool.runner.pool.endpoint)
            if entry is not None and key_of(entry) == key:
                share = find_share(entry)
                pool.parking.share = share
                pool.runner.pool.change_options(_find_options(share))
                continue
            pool.runner.set_leaving(is_leaving=True)
            if not pool.runner.pool.held:
                self._pools.pop(key)
        self._tend()

    async def borrow(
        self,
        entry: EndpointEntry,
        claim: Claim,
    ) -> BorrowedLink:
        """Return a link once one is free.

        Raises:
            RequestError: Too many requests wait already.
            EndpointError: The endpoint cannot be reached.
        """
        pool = self._find(entry)
        while True:
            ticket = pool.runner.ask(self._make_entry(entry, claim))
            number = await pool.runner.wait(ticket)
            borrowed = BorrowedLink(entry, pool, number)
            if borrowed.link.is_alive:
                return borrowed
            borrowed.discard(is_lost=True)

    def load_of(self, entry: EndpointEntry) -> int:
        """Return how many requests hold or await a link to an endpoint."""
        pool = self._pools.get(key_of(entry))
        if pool is None:
            return 0
        return pool.runner.pool.in_use + pool.runner.pool.waiting

    def list_pools(self) -> list[PoolState]:
        """Return what the state dump shows of each pool."""
        return [one.runner.pool.describe() for one in self._pools.values()]

    async def connect(self, entry: EndpointEntry) -> EndpointLink:
        """Open a link outside the pools.

        Raises:
            EndpointError: The endpoint cannot be reached.
        """
        with anyio.move_on_after(_CONNECT_LIMIT_S):
            return await self._driver.connect(entry, self._application)
        raise EndpointError('no answer', was_sent=False)

    async def run(self) -> None:
        """Tend the pools until cancelled."""
        while True:
            await anyio.sleep(_TICK_INTERVAL_S)
            self._tend()

    async def close(self) -> None:
        """Close every link."""
        for pool in tuple(self._pools.values()):
            await pool.runner.close()  # noqa: WPS476

    def _tend(self) -> None:
        now = anyio.current_time()
        for pool in tuple(self._pools.values()):
            pool.runner.change_limit(pool.parking.limit(now))
            pool.runner.tick()

    def _make_entry(
        self,
        entry: EndpointEntry,
        claim: Claim,
    ) -> QueueEntry:
        return QueueEntry(
            next(self._numbers),
            claim.route,
            claim.deadline,
            max(1, _TOP_WEIGHT >> claim.priority),
            entry.service,
            anyio.current_time(),
        )

    def _find(self, entry: EndpointEntry) -> _Pool:
        key = key_of(entry)
        pool = self._pools.get(key)
        if pool is None:
            share = self._find_share(entry)
            decisions = EndpointPool(
                entry.endpoint_id,
                share.limit,
                _find_options(share),
                self._source,
            )
            connect = partial(self._open, entry)
            pool = _Pool(
                PoolRunner(decisions, connect, self._tasks),
                ParkedLinks(share),
            )
            self._pools[key] = pool
        return pool

    async def _open(self, entry: EndpointEntry, _login: str) -> EndpointLink:
        return await self.connect(entry)


EndpointKey = tuple[str, str, str, int, int]


def key_of(entry: EndpointEntry) -> EndpointKey:
    """Return what tells one incarnation of an endpoint from others."""
    return (
        entry.service,
        entry.endpoint_id,
        entry.host,
        entry.port,
        entry.born_ms,
    )


def _share_one(_entry: EndpointEntry) -> Share:
    """Return the share until the endpoints' connections are known."""
    return Share(1, 1)


def _find_options(share: Share) -> PoolOptions:
    return _SCARCE_OPTIONS if share.is_borrowed else _OPTIONS
