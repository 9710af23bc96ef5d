"""Lends links to endpoints: own ones, or those of a carrier."""

from collections.abc import Callable, Mapping
from functools import partial
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.gateway.carriers import Carriers, Share
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.link import LinkDriver
from catkincrank.gateway.linkpools import BorrowedLink, Claim, LinkPools
from catkincrank.gateway.remotelink import RemoteDriver
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.pool import PoolState

__all__ = ('LinkProvider',)

# Links to a carrier are cheap, but each statement on one waits at the carrier,
# which serves about this many at once for all.
_REMOTE_LIMIT = 8


@final
class LinkProvider:
    """Lends links to whoever runs statements.

    Args:
        driver: Opens links to endpoints.
        me: Row of this process.
        regions: Regions by availability zone.
        tasks: Runs what takes time.

    Attributes:
        own: Links of this process to endpoints.
    """

    __slots__ = ('_carriers', '_remote', 'own')

    def __init__(
        self,
        driver: LinkDriver,
        me: MemberRecord,
        regions: Mapping[str, str],
        tasks: TaskGroup,
    ) -> None:
        self._carriers = Carriers(me, regions)
        self.own = LinkPools(driver, me.name, tasks)
        self._remote = LinkPools(RemoteDriver(self._carriers), me.name, tasks)

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
            connections: Connections that each takes, by service.
            members: The processes.
            is_new: Whether connections of a process that had this place
                before may still count.
        """
        self._carriers.configure(connections, members)
        self.own.configure(find_entry, partial(self._share, is_new=is_new))
        self._remote.configure(find_entry, _share_remote)

    async def borrow(
        self,
        entry: EndpointEntry,
        claim: Claim,
    ) -> BorrowedLink:
        """Return a link once one is free.

        Raises:
            RequestError: Too many requests wait already.
            EndpointError: The endpoint or carrier cannot be reached.
        """
        carrier = self._carriers.find(entry, anyio.current_time())
        if carrier is None:
            return await self.own.borrow(entry, claim)
        borrowed = await self._remote.borrow(entry, claim)
        borrowed.link.claim(claim)
        return borrowed

    def load_of(self, entry: EndpointEntry) -> int:
        """Return how many requests hold or await a link to an endpoint."""
        return self.own.load_of(entry) + self._remote.load_of(entry)

    def list_pools(self) -> list[PoolState]:
        """Return what the state dump shows of each pool."""
        return [*self.own.list_pools(), *self._remote.list_pools()]

    async def run(self) -> None:
        """Tend the pools until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.own.run)
            tasks.start_soon(self._remote.run)

    def _share(self, entry: EndpointEntry, *, is_new: bool) -> Share:
        share = self._carriers.share(entry)
        return Share(1, 1, share.is_borrowed) if is_new else share


def _share_remote(_entry: EndpointEntry) -> Share:
    return Share(_REMOTE_LIMIT, _REMOTE_LIMIT)
