"""Runs reads outside transactions on any eligible instance."""

from collections import defaultdict
from typing import final

import anyio

from catkincrank.breaker import GroupBreaker
from catkincrank.endpoint import Answer, StatementError
from catkincrank.errors import EndpointError
from catkincrank.groupupdates import GroupUpdates
from catkincrank.history import Containment
from catkincrank.leases import Lease, Leases
from catkincrank.logs import log_event
from catkincrank.primarycheck import PrimaryCheck
from catkincrank.request import Access, Progress, Request
from catkincrank.retrier import Retrier
from catkincrank.routing import (
    LostMark,
    ReadRequest,
    Route,
    admits_read,
    choose_read,
)
from catkincrank.session import Session
from catkincrank.tally import Tally
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('Reader',)

_AHEAD_TIMEOUT_S = 2
_AHEAD_RETRY_AFTER_S = 1
# Serialization failure, as on a conflict with replication; shutdown, crash and
# start of the instance; snapshot too old.
_UNAVAILABLE_SQLSTATES = frozenset(
    ('40001', '57P01', '57P02', '57P03', '72000')
)


@final
class Reader:
    """Runs reads.

    Args:
        group_updates: Status of the groups, and waiting for updates.
        leases: Leases of pooled connections.
        retrier: Paces retries within the retry budgets.
        tally: Counts served requests.
        zone: Availability zone of the proxy.
    """

    __slots__ = (
        '_breakers',
        '_feed',
        '_leases',
        '_group_updates',
        '_primary_check',
        '_retrier',
        '_tally',
        '_zone',
    )

    def __init__(
        self,
        group_updates: GroupUpdates,
        leases: Leases,
        retrier: Retrier,
        tally: Tally,
        zone: str,
    ) -> None:
        self._group_updates = group_updates
        self._feed = group_updates.feed
        self._primary_check = PrimaryCheck(group_updates)
        self._leases = leases
        self._retrier = retrier
        self._tally = tally
        self._zone = zone
        self._breakers: defaultdict[str, GroupBreaker] = defaultdict(
            GroupBreaker,
        )

    async def run(self, session: Session, request: Request) -> Answer:
        """Run a read; retry on another instance when one fails."""
        excluded: set[str] = set()
        attempt = 0
        while True:
            lease = await self.lease(session, request, excluded)
            request.progress = Progress.RUNNING
            try:
                return await self._run_once(session, request, lease)
            except EndpointError as error:
                failure = _make_read_failure(error)
            except StatementError as error:
                if error.sqlstate not in _UNAVAILABLE_SQLSTATES:
                    raise
                failure = _make_read_failure(error)
            self._record_failure(request.group, lease.endpoint)
            excluded.add(lease.endpoint)
            attempt += 1
            await self._retrier.pause(request, attempt, failure)

    async def lease(
        self,
        session: Session,
        request: Request,
        excluded: set[str],
    ) -> Lease:
        """Lease a connection to an instance that may serve the read.

        Args:
            session: The caller's session.
            request: The read.
            excluded: Endpoints that have failed it. Endpoints that fail here
                are added; all are removed when no endpoint is left.

        Raises:
            RequestError: The session's position was lost in a change of
                primary, or no instance reached it in time.
        """
        while True:
            revision = self._feed.revision(request.group)
            loads = self._leases.pools.loads(request.group)
            now = anyio.current_time()
            ejected = self._breakers[request.group].ejected(loads, now)
            read_request = self._make_read_request(
                session, request, ejected | excluded
            )
            choice = choose_read(read_request, self._feed, loads, now)
            if isinstance(choice, LostMark):
                raise _make_lost_mark_error(choice)
            if isinstance(choice, Route):
                lease = await self._try_lease(
                    read_request, request, choice.endpoint
                )
                if lease is not None:
                    return lease
                excluded.add(choice.endpoint)
            else:
                excluded.clear()
                await self._await_update(read_request, revision)

    async def _run_once(
        self,
        session: Session,
        request: Request,
        lease: Lease,
    ) -> Answer:
        leases = self._leases
        try:
            if session.settings:
                await leases.apply(lease, session.settings)
            answer = await leases.execute(
                lease,
                request.statement.text,
                request.params,
            )
        except StatementError:
            await leases.release(lease)
            raise
        await leases.release(lease)
        if request.is_strict:
            await self._primary_check.confirm(
                request.group,
                lease.endpoint,
                request.arrived_at,
            )
        now = anyio.current_time()
        self._breakers[request.group].record_success(lease.endpoint, now)
        self._tally.count_served(request.group, Access.READ, lease.endpoint)
        return answer

    async def _try_lease(
        self,
        read_request: ReadRequest,
        request: Request,
        endpoint: str,
    ) -> Lease | None:
        try:
            lease = await self._leases.acquire(request, endpoint)
        except EndpointError:
            self._record_failure(request.group, endpoint)
            return None
        incarnation = lease.connection.incarnation
        if admits_read(read_request, self._feed, endpoint, incarnation):
            return lease
        observation = self._feed.observations(request.group).get(endpoint)
        if observation and observation.status.incarnation == incarnation:
            await self._leases.release(lease)
        else:
            self._leases.discard(lease)
        return None

    def _record_failure(self, group: str, endpoint: str) -> None:
        """Record a failure; log it when it ejects the endpoint."""
        now = anyio.current_time()
        if self._breakers[group].record_failure(endpoint, now):
            log_event(
                'endpoint_ejected',
                'WARNING',
                group=group,
                endpoint=endpoint,
            )

    async def _await_update(
        self, read_request: ReadRequest, revision: int
    ) -> None:
        if not self._is_ahead(read_request):
            await self._group_updates.wait(read_request.group, revision)
            return
        wait_until = read_request.arrived_at + _AHEAD_TIMEOUT_S
        with anyio.CancelScope(deadline=wait_until):
            await self._group_updates.wait(read_request.group, revision)
            return
        raise RequestError(
            Verdict.NOT_RUN,
            Reason.TOKEN_AHEAD,
            'the session token is ahead of every position known here',
            retry_after_s=_AHEAD_RETRY_AFTER_S,
        )

    def _is_ahead(self, read_request: ReadRequest) -> bool:
        history = self._feed.history(read_request.group)
        if read_request.mark is None or history is None:
            return False
        return history.locate(read_request.mark) is Containment.AHEAD

    def _make_read_request(
        self,
        session: Session,
        request: Request,
        excluded: frozenset[str],
    ) -> ReadRequest:
        return ReadRequest(
            request.group,
            session.mark,
            request.max_staleness_s,
            self._zone,
            request.arrived_at,
            excluded,
        )


def _make_read_failure(error: Exception) -> RequestError:
    return RequestError(
        Verdict.NOT_RUN,
        Reason.CONNECTION_LOST,
        'the read failed on the endpoint: {0}'.format(error),
        retry_after_s=0,
    )


def _make_lost_mark_error(lost: LostMark) -> RequestError:
    return RequestError(
        Verdict.NOT_RUN,
        Reason.HISTORY_LOST,
        'the session has seen term {0}, position {1}, which was lost in a '
        'change of primary; start a new session'.format(
            lost.mark.term,
            lost.mark.position,
        ),
    )
