"""Forwards statements over borrowed links."""

from collections.abc import Awaitable
from typing import final

import anyio

from catkincrank.errors import EndpointError
from catkincrank.gateway.choice import Latencies
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkpools import BorrowedLink
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure, Reply, StatementFailed
from catkincrank.gateway.session import Session
from catkincrank.gateway.statement import Kind, Statement
from catkincrank.verdict import Verdict

__all__ = ('Forwarder',)

# A commit that succeeded waits this long for an expired grant to be renewed, or
# for a proof: grants are read from the store or a peer twice a second.
_GRANT_WAIT_S = 1.0
# Response time recorded for a failure. An endpoint that fails answers fast,
# which would attract reads; this is ten times a usual response.
_FAILURE_LATENCY_S = 0.5


@final
class Forwarder:
    """Forwards statements and records positions and latencies of replies.

    Args:
        groups: Evidence about the groups.
        latencies: Mean response times of the endpoints.
    """

    __slots__ = ('_groups', '_latencies')

    def __init__(self, groups: Groups, latencies: Latencies) -> None:
        self._groups = groups
        self._latencies = latencies

    async def run(
        self,
        borrowed: BorrowedLink,
        session: Session,
        statement: Statement,
        after: Position | None = None,
    ) -> Reply:
        """Run a statement; the link is discarded without a complete reply.

        Raises:
            EndpointError: No complete reply arrived; ``was_sent`` tells whether
                the statement may have run.
        """
        link = borrowed.link
        alias = link.prepared.get(session.prepared.get(statement.name), b'')
        # A read may be tried again after an attempt that was not answered.
        ran_before = session.may_have_run
        session.may_have_run = True
        try:
            reply = await self._await_reply(
                borrowed, link.run(statement, after, alias)
            )
        except EndpointError as error:
            session.may_have_run = ran_before or error.was_sent
            raise
        if reply.refusal is not None:
            verdict = reply.refusal.failure.verdict
            session.may_have_run = ran_before or verdict is not Verdict.NOT_RUN
        return reply

    async def begin(
        self,
        borrowed: BorrowedLink,
        *,
        is_read_only: bool,
        after: Position | None,
    ) -> Reply:
        """Begin a transaction; raises like ``run``."""
        pending = borrowed.link.begin(is_read_only=is_read_only, after=after)
        return await self._await_reply(borrowed, pending)

    async def acknowledge(
        self,
        session: Session,
        service: str,
        term: int,
        reply: Reply,
        deadline: float,
    ) -> None:
        """Record a commit once it may be acknowledged to the caller.

        Args:
            session: The caller's session.
            service: Group that ran the commit.
            term: Term of the primary that it was sent to.
            reply: The primary's answer.
            deadline: When the statement times out.

        Raises:
            StatementFailed: The primary may have been replaced meanwhile.
        """
        until = min(deadline, anyio.current_time() + _GRANT_WAIT_S)
        if not await self._groups.wait_for_confirmation(service, term, until):
            raise StatementFailed(
                Failure.IN_DOUBT,
                'the primary may have been replaced before its reply arrived',
            )
        session.record_commit(reply.position)

    async def roll_back(self, borrowed: BorrowedLink) -> None:
        """Roll back and return the link, or close it."""
        try:
            reply = await borrowed.link.roll_back()
        except EndpointError:
            borrowed.discard(is_lost=True)
            return
        except BaseException:
            borrowed.discard()
            raise
        if reply.refusal is None:
            borrowed.give_back()
        else:
            borrowed.discard()

    async def apply_session(
        self,
        borrowed: BorrowedLink,
        session: Session,
        statement: Statement,
    ) -> None:
        """Apply the session's values and prepared statement to a link.

        Raises:
            EndpointError: The endpoint refused them; nothing ran.
        """
        wanted = None
        if statement.kind is Kind.EXECUTE:
            wanted = session.prepared[statement.name]
        try:
            accepted = await borrowed.link.apply_session(session.values, wanted)
        except BaseException:
            borrowed.discard(is_lost=True)
            raise
        if not accepted:
            borrowed.discard()
            raise EndpointError(
                'endpoint refused the session state', was_sent=False
            )

    async def _await_reply(
        self,
        borrowed: BorrowedLink,
        pending: Awaitable[Reply],
    ) -> Reply:
        """Await and record a reply, or discard the link."""
        sent_at = anyio.current_time()
        try:
            reply = await pending
            self._record_reply(borrowed, reply, sent_at)
        except BaseException:
            borrowed.discard(is_lost=True)
            raise
        return reply

    def _record_reply(
        self,
        borrowed: BorrowedLink,
        reply: Reply,
        sent_at: float,
    ) -> None:
        now = anyio.current_time()
        entry = borrowed.entry
        evidence = self._groups.evidence(entry.service)
        evidence.record_answer(entry, reply.position, sent_at, now)
        took_s = now - sent_at
        if reply.refusal and reply.refusal.failure is Failure.FAILED:
            took_s = max(took_s, _FAILURE_LATENCY_S)
        self._latencies.record_answer(entry, took_s, now)
