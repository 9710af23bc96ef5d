"""Provides links to endpoints, either direct or through a carrier."""

from collections.abc import Callable, Mapping
from functools import partial
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.errors import EndpointError
from catkincrank.gateway.carriers import Carriers, ConnectionShare
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.link import EndpointState, LinkDriver
from catkincrank.gateway.linkcounter import LinkCounter
from catkincrank.gateway.linkpools import BorrowedLink, LinkPools, LinkRequest
from catkincrank.gateway.remotelink import RemoteDriver
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.metrics import Metrics
from catkincrank.pool import PoolState
from catkincrank.verdict import RequestError

__all__ = ('LinkProvider',)

# Most links to one endpoint through carriers. They are cheap, but their
# statements queue at the carrier, which serves about this many at once for all
# processes.
_MAX_CARRIER_LINKS = 8
# Statements of this process at one carrier of an endpoint beyond which an
# organisation's statements go to its second carrier.
_BUSY_STATEMENTS = 4


@final
class LinkProvider:
    """Lends links for statements and transactions.

    Args:
        driver: Opens links to endpoints.
        own_member: This process's row in the table of the fleet.
        regions: Regions by availability zone.
        tasks: Task group that opens, probes and closes links.
        metrics: Metrics of the process.

    Attributes:
        direct_pools: Pools of direct links from this process to endpoints.
    """

    __slots__ = ('_carriers', '_carrier_pools', 'direct_pools')

    def __init__(
        self,
        driver: LinkDriver,
        own_member: MemberRecord,
        regions: Mapping[str, str],
        tasks: TaskGroup,
        metrics: Metrics | None = None,
    ) -> None:
        self._carriers = Carriers(own_member, regions)
        counter = LinkCounter(metrics or Metrics())
        self.direct_pools = LinkPools(
            driver, own_member.name, tasks, counter.count
        )
        self._carrier_pools = LinkPools(
            RemoteDriver(self._carriers), own_member.name, tasks
        )

    def configure(
        self,
        find_entry: Callable[[str], EndpointEntry | None],
        connections: Mapping[str, int],
        members: Mapping[str, MemberRecord],
        *,
        is_new: bool,
    ) -> None:
        """Divide the endpoints' connections among the processes.

        Args:
            find_entry: Returns the registration of an endpoint, if any.
            connections: Connections that each accepts, by service.
            members: The processes.
            is_new: Whether this process has just replaced another one, whose
                connections may still be open.
        """
        self._carriers.configure(connections, members)
        self.direct_pools.configure(
            find_entry, partial(self._share, is_new=is_new)
        )
        self._carrier_pools.configure(find_entry, _share_remote)

    async def borrow(
        self,
        entry: EndpointEntry,
        link_request: LinkRequest,
    ) -> BorrowedLink:
        """Return a link once one is free.

        Raises:
            RequestError: The queue is full.
            EndpointError: The endpoint or carrier cannot be reached.
        """
        carrier = self._find_carrier(entry, link_request.organisation)
        if carrier is None:
            return await self.direct_pools.borrow(entry, link_request)
        # Without an organisation, links that lead to an earlier choice of
        # carrier are used as well.
        via = carrier.name if link_request.organisation else ''
        borrowed = await self._carrier_pools.borrow(entry, link_request, via)
        borrowed.link.apply_link_request(link_request)
        return borrowed

    def is_direct(self, entry: EndpointEntry) -> bool:
        """Return whether this process connects to an endpoint itself."""
        return self._carriers.find(entry, anyio.current_time()) is None

    async def fetch_state(
        self, entry: EndpointEntry, limit_s: float
    ) -> EndpointState | None:
        """Return an endpoint's state, asked over a direct link.

        Returns ``None`` without an answer within ``limit_s``; the caller logs
        what follows from that.
        """
        link_request = LinkRequest('', 0, anyio.current_time() + limit_s)
        with anyio.move_on_after(limit_s):
            try:
                borrowed = await self.direct_pools.borrow(entry, link_request)
            except (EndpointError, RequestError):
                return None
            return await _fetch_state(borrowed)
        return None

    def count_requests(self, entry: EndpointEntry) -> int:
        """Return how many statements hold or await a link to an endpoint."""
        return self.direct_pools.count_requests(
            entry
        ) + self._carrier_pools.count_requests(entry)

    def list_pools(self) -> list[PoolState]:
        """Return the states of all pools, for the state dump."""
        return [
            *self.direct_pools.list_pools(),
            *self._carrier_pools.list_pools(),
        ]

    async def run(self) -> None:
        """Maintain the pools until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.direct_pools.run)
            tasks.start_soon(self._carrier_pools.run)

    def _find_carrier(
        self, entry: EndpointEntry, organisation: str
    ) -> MemberRecord | None:
        now = anyio.current_time()
        if not organisation:
            return self._carriers.find(entry, now)
        return self._carriers.find_shared(
            entry, organisation, now, partial(self._is_busy, entry)
        )

    def _is_busy(self, entry: EndpointEntry, carrier: MemberRecord) -> bool:
        count = self._carrier_pools.count_requests_via(entry, carrier.name)
        return count >= _BUSY_STATEMENTS

    def _share(self, entry: EndpointEntry, *, is_new: bool) -> ConnectionShare:
        share = self._carriers.share(entry)
        return ConnectionShare(1, 1, share.is_contended) if is_new else share


async def _fetch_state(borrowed: BorrowedLink) -> EndpointState | None:
    try:
        state = await borrowed.link.fetch_state()
    except EndpointError:
        borrowed.discard(is_lost=True)
        return None
    except BaseException:
        borrowed.discard(is_lost=True)
        raise
    borrowed.give_back()
    return state


def _share_remote(_entry: EndpointEntry) -> ConnectionShare:
    return ConnectionShare(_MAX_CARRIER_LINKS, _MAX_CARRIER_LINKS)
