"""Passes one statement on to a borrowed link."""

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

__all__ = ('Forwarder',)

# A commit that is done waits this long for a grant that has lapsed: a reading
# of the store or of a peer comes twice a second.
_REGAIN_LIMIT_S = 1.0
# An endpoint that fails answers fast; reads go elsewhere as if it took this
# long, in seconds: ten times a usual answer.
_FAILED_COST_S = 0.5


@final
class Forwarder:
    """Passes statements on and keeps what their answers tell.

    Args:
        groups: Evidence about the groups.
        latencies: How long endpoints take.
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
        """Run a statement; the link is discarded unless a whole answer came.

        Raises:
            EndpointError: No whole answer came, or the link could not be
                brought into the session's state; ``was_sent`` tells.
        """
        link = borrowed.link
        alias = link.prepared.get(session.prepared.get(statement.name), b'')
        return await self._ask(borrowed, link.run(statement, after, alias))

    async def begin(
        self,
        borrowed: BorrowedLink,
        *,
        is_read_only: bool,
        after: Position | None,
    ) -> Reply:
        """Begin a transaction; as ``run``."""
        asked = borrowed.link.begin(is_read_only=is_read_only, after=after)
        return await self._ask(borrowed, asked)

    async def acknowledge(
        self,
        session: Session,
        service: str,
        term: int,
        reply: Reply,
        deadline: float,
    ) -> None:
        """Take in a commit that the caller may be told of.

        Args:
            session: The caller's session.
            service: Group that ran the commit.
            term: Term of the primary that it was sent to.
            reply: The primary's answer.
            deadline: Until when the caller waits.

        Raises:
            StatementFailed: The primary may have been replaced meanwhile.
        """
        until = min(deadline, anyio.current_time() + _REGAIN_LIMIT_S)
        if not await self._groups.wait_for_grant(service, term, until):
            raise StatementFailed(
                Failure.IN_DOUBT,
                'the grant of the primary ended before its answer came',
            )
        session.advance(reply.position)

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

    async def adopt(
        self,
        borrowed: BorrowedLink,
        session: Session,
        statement: Statement,
    ) -> None:
        """Give a link the session's values and the statement it needs.

        Raises:
            EndpointError: The endpoint did not accept them; nothing ran.
        """
        wanted = None
        if statement.kind is Kind.EXECUTE:
            wanted = session.prepared[statement.name]
        try:
            accepted = await borrowed.link.adopt(session.values, wanted)
        except BaseException:
            borrowed.discard(is_lost=True)
            raise
        if not accepted:
            borrowed.discard()
            raise EndpointError('session state refused', was_sent=False)

    async def _ask(
        self,
        borrowed: BorrowedLink,
        asked: Awaitable[Reply],
    ) -> Reply:
        """Await a reply and learn from it, or discard the link."""
        sent_at = anyio.current_time()
        try:
            reply = await asked
        except BaseException:
            borrowed.discard(is_lost=True)
            raise
        self._learn(borrowed, reply, sent_at)
        return reply

    def _learn(
        self,
        borrowed: BorrowedLink,
        reply: Reply,
        sent_at: float,
    ) -> None:
        now = anyio.current_time()
        entry = borrowed.entry
        evidence = self._groups.evidence(entry.service)
        evidence.record_answer(entry.endpoint_id, reply.position, sent_at, now)
        took_s = now - sent_at
        if reply.refusal and reply.refusal.failure is Failure.FAILED:
            took_s = max(took_s, _FAILED_COST_S)
        self._latencies.record_answer(entry.endpoint_id, took_s, now)
