"""Runs statements outside transactions, with retries."""

from typing import final

import anyio

from catkincrank.errors import EndpointError
from catkincrank.gateway.catalog import Route
from catkincrank.gateway.choice import Choice
from catkincrank.gateway.forwarding import Forwarder
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkpools import BorrowedLink
from catkincrank.gateway.placement import Placement, PlacementRequest
from catkincrank.gateway.reply import Failure, Reply, StatementFailed
from catkincrank.gateway.session import Session
from catkincrank.gateway.statement import Statement
from catkincrank.metrics import Metrics

__all__ = ('Execution',)


@final
class Execution:
    """Runs statements outside transactions.

    Args:
        groups: Evidence about the groups.
        placement: Chooses endpoints and borrows links to them.
        forwarder: Forwards statements to endpoints.
        metrics: Metrics of the process.
    """

    __slots__ = (
        '_failed_attempts',
        '_forwarder',
        '_groups',
        '_placement',
        '_reads',
    )

    def __init__(
        self,
        groups: Groups,
        placement: Placement,
        forwarder: Forwarder,
        metrics: Metrics,
    ) -> None:
        self._groups = groups
        self._placement = placement
        self._forwarder = forwarder
        self._reads = metrics.counter(
            'reads',
            'Single reads served, by place and consistency.',
            ('place', 'consistency'),
        )
        self._failed_attempts = metrics.counter(
            'refused_tries',
            'Attempts at single statements that were refused or unanswered.',
            ('failure',),
        )

    async def run(
        self,
        session: Session,
        route: Route,
        statement: Statement,
    ) -> Reply:
        """Run a statement.

        Raises:
            StatementFailed: It failed; the failure tells whether it may
                have run.
        """
        now = anyio.current_time()
        request = PlacementRequest(
            route,
            session.last_commit,
            now,
            now + route.timeout_s,
            session.writes(statement),
            session.organisation,
        )
        while True:
            choice, borrowed = await self._placement.place(request)
            if session.is_revoked:
                borrowed.give_back()
                raise session.deny(Failure.DENIED)
            try:
                reply = await self._attempt(
                    session, statement, request, choice, borrowed
                )
            except EndpointError as error:
                self._failed_attempts.labels('unanswered').inc()
                self._handle_unanswered(request, choice, error)
                await self._placement.pause(request)
                continue
            if reply.refusal is None:
                return await self._confirm(session, request, choice, reply)
            if not self._placement.may_retry_elsewhere(
                request, reply.refusal.failure
            ):
                return reply
            self._failed_attempts.labels(
                reply.refusal.failure.name.lower()
            ).inc()
            request.exclude(choice.entry.endpoint_id, reply.refusal.failure)
            await self._placement.pause(request)

    async def _attempt(
        self,
        session: Session,
        statement: Statement,
        request: PlacementRequest,
        choice: Choice,
        borrowed: BorrowedLink,
    ) -> Reply:
        was_sent = False
        after = None if request.is_write else choice.after
        attempt_until = self._placement.attempt_deadline(request, choice.entry)
        # An unanswered write is not retried, so it may wait until its deadline.
        limit = request.deadline if request.is_write else attempt_until
        began_at = anyio.current_time()
        with anyio.CancelScope(deadline=limit):
            await self._apply_session(
                session, statement, borrowed, attempt_until
            )
            was_sent = True
            reply = await self._forwarder.run(
                borrowed, session, statement, after
            )
            borrowed.give_back()
            return reply
        took_s = anyio.current_time() - began_at
        self._placement.record_timeout(choice.entry, took_s)
        raise EndpointError('no answer in time', was_sent=was_sent)

    def _count_read(self, request: PlacementRequest, choice: Choice) -> None:
        grant = self._groups.evidence(request.route.service).grant
        is_primary = (
            grant is not None and grant.endpoint_id == choice.entry.endpoint_id
        )
        place = 'primary' if is_primary else 'replica'
        consistency = request.route.consistency.name.lower()
        self._reads.labels(place, consistency).inc()

    async def _apply_session(
        self,
        session: Session,
        statement: Statement,
        borrowed: BorrowedLink,
        until: float,
    ) -> None:
        """Apply the session's state to the link; this is safe to repeat."""
        with anyio.CancelScope(deadline=until):
            await self._forwarder.apply_session(borrowed, session, statement)
            return
        raise EndpointError('no answer in time', was_sent=False)

    def _handle_unanswered(
        self,
        request: PlacementRequest,
        choice: Choice,
        error: EndpointError,
    ) -> None:
        """Raise the final failure, unless the statement may be retried.

        Raises:
            StatementFailed: The write may have run, or the deadline has passed.
        """
        cause = '{0}: {1}'.format(choice.entry.endpoint_id, error)
        if request.is_write and error.was_sent:
            raise StatementFailed(Failure.IN_DOUBT, cause)
        if anyio.current_time() >= request.deadline:
            raise StatementFailed(
                Failure.TIMED_OUT if error.was_sent else Failure.OVERLOADED,
                cause,
            )
        self._placement.record_refusal(request, choice.entry, error)

    async def _confirm(
        self,
        session: Session,
        request: PlacementRequest,
        choice: Choice,
        reply: Reply,
    ) -> Reply:
        """Return a success once it may be acknowledged to the caller.

        Raises:
            StatementFailed: The primary may have been replaced meanwhile.
        """
        if not request.is_write:
            self._count_read(request, choice)
            return reply
        service = request.route.service
        await self._forwarder.acknowledge(
            session, service, choice.term, reply, request.deadline
        )
        return reply
