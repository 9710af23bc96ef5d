"""Runs single statements, each to one final reply."""

from typing import final

import anyio

from catkincrank.errors import EndpointError
from catkincrank.gateway.catalog import Route
from catkincrank.gateway.choice import Choice
from catkincrank.gateway.forwarding import Forwarder
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkpools import BorrowedLink
from catkincrank.gateway.placement import Need, Placement
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
        placement: Finds endpoints.
        passer: Passes statements on.
        metrics: Metrics of the process.
    """

    __slots__ = ('_groups', '_passer', '_placement', '_reads', '_tries')

    def __init__(
        self,
        groups: Groups,
        placement: Placement,
        forwarder: Forwarder,
        metrics: Metrics,
    ) -> None:
        self._groups = groups
        self._placement = placement
        self._passer = forwarder
        self._reads = metrics.counter(
            'reads',
            'Single reads served, by where they ran and what they may miss.',
            ('place', 'consistency'),
        )
        self._tries = metrics.counter(
            'refused_tries',
            'Tries of single statements that were refused or unanswered.',
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
            StatementFailed: It failed; says whether it may have run.
        """
        now = anyio.current_time()
        need = Need(
            route,
            session.mark,
            now,
            now + route.timeout_s,
            session.writes(statement),
        )
        while True:
            choice, borrowed = await self._placement.place(need)
            try:
                reply = await self._attempt(
                    session, statement, need, choice, borrowed
                )
            except EndpointError as error:
                self._tries.labels('unanswered').inc()
                self._judge(need, choice, error)
                await self._placement.pause(need)
                continue
            if reply.refusal is None:
                return await self._accept(session, need, choice, reply)
            if not self._placement.may_move(need, reply.refusal.failure):
                return reply
            self._tries.labels(reply.refusal.failure.name.lower()).inc()
            need.exclude(choice.entry.endpoint_id, reply.refusal.failure)
            await self._placement.pause(need)

    async def _attempt(
        self,
        session: Session,
        statement: Statement,
        need: Need,
        choice: Choice,
        borrowed: BorrowedLink,
    ) -> Reply:
        was_sent = False
        after = None if need.is_write else choice.after
        try_until = self._placement.limit_try(need, choice.entry)
        limit = need.deadline if need.is_write else try_until
        began_at = anyio.current_time()
        with anyio.CancelScope(deadline=limit):
            await self._adopt(session, statement, borrowed, try_until)
            was_sent = True
            reply = await self._passer.run(borrowed, session, statement, after)
            borrowed.give_back()
            return reply
        took_s = anyio.current_time() - began_at
        self._placement.note_late(choice.entry, took_s)
        raise EndpointError('no answer in time', was_sent=was_sent)

    def _count_read(self, need: Need, choice: Choice) -> None:
        grant = self._groups.evidence(need.route.service).grant
        is_primary = (
            grant is not None and grant.endpoint_id == choice.entry.endpoint_id
        )
        place = 'primary' if is_primary else 'replica'
        consistency = need.route.consistency.name.lower()
        self._reads.labels(place, consistency).inc()

    async def _adopt(
        self,
        session: Session,
        statement: Statement,
        borrowed: BorrowedLink,
        until: float,
    ) -> None:
        """Bring the link into the session's state, which can be repeated."""
        with anyio.CancelScope(deadline=until):
            await self._passer.adopt(borrowed, session, statement)
            return
        raise EndpointError('no answer in time', was_sent=False)

    def _judge(
        self,
        need: Need,
        choice: Choice,
        error: EndpointError,
    ) -> None:
        """Raise what the caller is told, unless the statement may be retried.

        Raises:
            StatementFailed: It may have run, or its time is over.
        """
        cause = '{0}: {1}'.format(choice.entry.endpoint_id, error)
        if need.is_write and error.was_sent:
            raise StatementFailed(Failure.IN_DOUBT, cause)
        if anyio.current_time() >= need.deadline:
            raise StatementFailed(
                Failure.TIMED_OUT if error.was_sent else Failure.OVERLOADED,
                cause,
            )
        self._placement.take_refusal(need, choice.entry, error)

    async def _accept(
        self,
        session: Session,
        need: Need,
        choice: Choice,
        reply: Reply,
    ) -> Reply:
        """Return a success that may be acknowledged.

        Raises:
            StatementFailed: The primary may have been replaced meanwhile.
        """
        if not need.is_write:
            self._count_read(need, choice)
            return reply
        service = need.route.service
        await self._passer.acknowledge(
            session, service, choice.term, reply, need.deadline
        )
        return reply
