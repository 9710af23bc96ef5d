"""Finds a group's primary and leases connections to it."""

from collections import Counter
from contextlib import ExitStack
from typing import final

import anyio

from catkincrank.errors import EndpointError
from catkincrank.groupupdates import GroupUpdates
from catkincrank.leases import Lease, Leases, LeaseTicket
from catkincrank.request import Request
from catkincrank.retrier import Retrier
from catkincrank.routing import Route, choose_write
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('PrimaryFinder',)

_RETRY_AFTER_S = 1


@final
class PrimaryFinder:
    """Leases connections to primaries; requests wait here in a failover.

    Args:
        news: Evidence about the groups, and notification of changes to it.
        leases: Leases connections.
        retries: Back-off between attempts to connect.
    """

    __slots__ = ('_feed', '_leases', '_retrier', 'group_updates', '_waiting')

    def __init__(
        self,
        group_updates: GroupUpdates,
        leases: Leases,
        retrier: Retrier,
    ) -> None:
        self.group_updates = group_updates
        self._feed = group_updates.feed
        self._leases = leases
        self._retrier = retrier
        self._waiting: Counter[str] = Counter()

    def count_waiting(self, group: str) -> int:
        """Return how many requests wait for a primary."""
        return self._waiting[group]

    async def lease(self, request: Request) -> Lease:
        """Return a connection to the primary once there is one.

        Raises:
            RequestError: Too many requests are waiting already.
        """
        lease = await self._lease(request)
        lease.needs_primary = True
        return lease

    async def _lease(self, request: Request) -> Lease:
        ticket = self._enqueue(request)
        if ticket is not None and ticket.is_granted:
            return await ticket.wait()
        self._check_queue(request)
        with ExitStack() as stack:
            stack.callback(self._waiting.subtract, (request.group,))
            self._waiting[request.group] += 1
            return await self._wait_for_lease(request, ticket)

    def _enqueue(self, request: Request) -> LeaseTicket | None:
        choice = self._choose(request)
        if isinstance(choice, Route):
            return self._leases.enqueue(request, choice.endpoint)
        return None

    def _check_queue(self, request: Request) -> None:
        limit = request.service.limits.queue_length
        if self._waiting[request.group] < limit:
            return
        raise RequestError(
            Verdict.NOT_RUN,
            Reason.OVERLOADED,
            'too many requests wait for the primary',
            retry_after_s=_RETRY_AFTER_S,
        )

    async def _wait_for_lease(
        self,
        request: Request,
        ticket: LeaseTicket | None,
    ) -> Lease:
        failures = 0
        while True:
            view = self.group_updates.view_primary(request.group)
            if ticket is None:
                ticket = self._enqueue(request)
            if ticket is None:
                await self.group_updates.await_primary_change(
                    request.group, view
                )
                continue
            lease = await self._await_ticket(request, ticket)
            if lease is not None:
                return lease
            ticket = None
            failures += 1
            await anyio.sleep(self._retrier.delay(failures))

    async def _await_ticket(
        self,
        request: Request,
        ticket: LeaseTicket,
    ) -> Lease | None:
        """Wait for the ticket while its endpoint is still the primary."""
        outcome = _TicketOutcome()
        try:
            async with anyio.create_task_group() as tasks:
                scope = tasks.cancel_scope
                tasks.start_soon(self._watch, request, ticket, scope)
                await outcome.await_ticket(ticket)
                scope.cancel()
        except BaseException:
            if outcome.lease is not None:
                await self._leases.release(outcome.lease)
            raise
        if outcome.refusal is not None:
            raise outcome.refusal
        return outcome.lease

    async def _watch(
        self,
        request: Request,
        ticket: LeaseTicket,
        scope: anyio.CancelScope,
    ) -> None:
        endpoint = ticket.member.endpoint.name
        while True:
            view = self.group_updates.view_primary(request.group)
            choice = self._choose(request)
            if not isinstance(choice, Route) or choice.endpoint != endpoint:
                scope.cancel()
                return
            await self.group_updates.await_primary_change(request.group, view)

    def _choose(self, request: Request) -> object:
        loads = self._leases.pools.loads(request.group)
        now = anyio.current_time()
        return choose_write(request.group, self._feed, now, loads)


@final
class _TicketOutcome:
    """Result of waiting for a ticket."""

    __slots__ = ('lease', 'refusal')

    def __init__(self) -> None:
        self.lease: Lease | None = None
        self.refusal: RequestError | None = None

    async def await_ticket(self, ticket: LeaseTicket) -> None:
        """Store the lease or the refusal; neither if the endpoint failed."""
        try:
            self.lease = await ticket.wait()
        except RequestError as refusal:
            self.refusal = refusal
        except EndpointError:
            return
