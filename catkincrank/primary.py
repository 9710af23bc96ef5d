"""Finds a group's primary and leases connections to it."""

from collections import Counter
from contextlib import ExitStack
from typing import final

import anyio

from catkincrank.errors import EndpointError
from catkincrank.leases import Lease, Leases
from catkincrank.news import News
from catkincrank.request import Request
from catkincrank.retrying import Retries
from catkincrank.routing import Route, choose_write
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('PrimaryFinder',)

_QUEUE_HINT_S = 1


@final
class PrimaryFinder:
    """Leases connections to primaries; requests wait here in a failover.

    Args:
        news: Evidence about the groups, and a way to wait for more.
        leases: Connections.
        retries: Spreads attempts to connect.
    """

    __slots__ = ('_feed', '_leases', '_retries', '_news', '_waiting')

    def __init__(
        self,
        news: News,
        leases: Leases,
        retries: Retries,
    ) -> None:
        self._news = news
        self._feed = news.feed
        self._leases = leases
        self._retries = retries
        self._waiting: Counter[str] = Counter()

    def count_waiting(self, group: str) -> int:
        """Return how many requests wait for a primary."""
        return self._waiting[group]

    async def lease(self, request: Request) -> Lease:
        """Return a connection to the primary, once there is one.

        Raises:
            RequestError: Too many requests wait already.
        """
        choice = self._choose(request)
        if isinstance(choice, Route):
            lease = self._leases.take_idle(request, choice.endpoint)
            if lease is not None:
                return lease
        if self._waiting[request.group] >= request.service.limits.queue_length:
            raise RequestError(
                Verdict.NOT_RUN,
                Reason.OVERLOADED,
                'too many requests wait for the primary',
                retry_after_s=_QUEUE_HINT_S,
            )
        with ExitStack() as stack:
            stack.callback(self._waiting.subtract, (request.group,))
            self._waiting[request.group] += 1
            return await self._wait_for_lease(request)

    async def _wait_for_lease(self, request: Request) -> Lease:
        failures = 0
        while True:
            revision = self._feed.revision(request.group)
            choice = self._choose(request)
            if not isinstance(choice, Route):
                await self._news.wait(request.group, revision)
                continue
            try:
                lease = await self._acquire(request, choice.endpoint)
            except EndpointError:
                failures += 1
                await anyio.sleep(self._retries.delay(failures))
                continue
            if lease is not None:
                return lease

    async def _acquire(self, request: Request, endpoint: str) -> Lease | None:
        """Lease from ``endpoint``; stop when it is not the primary now."""
        held: list[Lease] = []
        try:
            async with anyio.create_task_group() as tasks:
                scope = tasks.cancel_scope
                tasks.start_soon(self._watch, request, endpoint, scope)
                held.append(await self._leases.acquire(request, endpoint))
                scope.cancel()
        except BaseException as error:
            for lease in held:
                await self._leases.discard(lease)  # noqa: WPS476
            raise _unwrap(error) from None
        return held[0] if held else None

    async def _watch(
        self,
        request: Request,
        endpoint: str,
        scope: anyio.CancelScope,
    ) -> None:
        while True:
            revision = self._feed.revision(request.group)
            choice = self._choose(request)
            if not isinstance(choice, Route) or choice.endpoint != endpoint:
                scope.cancel()
                return
            await self._news.wait(request.group, revision)

    def _choose(self, request: Request) -> object:
        loads = self._leases.loads(request.group, request.service)
        now = anyio.current_time()
        return choose_write(request.group, self._feed, now, loads)


def _unwrap(error: BaseException) -> BaseException:
    """Return the only error of a group."""
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error
