"""Runs callers' transactions, each on a single link."""

from typing import final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import EndpointError
from catkincrank.gateway.catalog import Route
from catkincrank.gateway.choice import Choice
from catkincrank.gateway.forwarding import Forwarder
from catkincrank.gateway.linkpools import BorrowedLink
from catkincrank.gateway.placement import Placement, PlacementRequest
from catkincrank.gateway.reply import Failure, Reply, StatementFailed
from catkincrank.gateway.session import Session, Transaction
from catkincrank.gateway.statement import Kind, Statement

__all__ = ('Transactions',)

# Pause before a statement is retried at a busy endpoint within a transaction.
_BUSY_PAUSE_S = 0.03
_ROLLBACK_TIMEOUT_S = 1.0


@final
class Transactions:
    """Runs statements of transactions.

    Args:
        placement: Chooses endpoints and borrows links to them.
        forwarder: Forwards statements to endpoints.
    """

    __slots__ = ('_forwarder', '_placement')

    def __init__(
        self,
        placement: Placement,
        forwarder: Forwarder,
    ) -> None:
        self._placement = placement
        self._forwarder = forwarder

    def begin(
        self,
        session: Session,
        route: Route,
        statement: Statement,
    ) -> Reply:
        """Open a transaction; its link is borrowed by its first statement."""
        if session.status is not TransactionStatus.IDLE:
            raise StatementFailed(Failure.MALFORMED, 'a transaction is open')
        session.transaction = Transaction(
            route,
            anyio.current_time(),
            is_read_only=statement.kind is Kind.BEGIN_READ,
        )
        session.status = TransactionStatus.OPEN
        return Reply(status=session.status)

    async def run(
        self,
        session: Session,
        route: Route,
        statement: Statement,
    ) -> Reply:
        """Run a statement of the open transaction.

        Raises:
            StatementFailed: The transaction has failed and is rolled back.
        """
        transaction = session.transaction
        if transaction.is_read_only and session.writes(statement):
            await self.abandon(transaction)
            session.fail_transaction()
            raise StatementFailed(
                Failure.READ_ONLY,
                'write in a read-only transaction',
            )
        with transaction.limit():
            return await self._run_open(session, transaction, route, statement)
        raise await self.revoke(session)

    async def revoke(self, session: Session) -> StatementFailed:
        """Roll back because the key was withdrawn; return the failure."""
        transaction = session.transaction
        session.end()
        if transaction is not None:
            await self.abandon(transaction)
        return session.deny(Failure.ABORTED)

    async def commit(
        self,
        session: Session,
        route: Route,
        statement: Statement,
    ) -> Reply:
        """Commit the open transaction.

        Raises:
            StatementFailed: The failure tells whether the commit may have
                taken effect.
        """
        transaction = session.transaction
        if session.status is TransactionStatus.FAILED or transaction is None:
            session.end()
            raise StatementFailed(Failure.ABORTED, 'the transaction had failed')
        deadline = anyio.current_time() + route.timeout_s
        try:  # noqa: WPS501
            return await self._commit(
                session, transaction, route, statement, deadline
            )
        finally:
            transaction.close_link()
            session.end()

    async def roll_back(self, session: Session) -> Reply:
        """Roll the open transaction back."""
        transaction = session.transaction
        session.end()
        if transaction is not None:
            await self.abandon(transaction)
        return Reply(status=session.status)

    async def abandon(self, transaction: Transaction) -> None:
        """Roll back at the endpoint and return the link to its pool.

        An interruption closes the link, which makes the endpoint roll back.
        """
        borrowed = transaction.borrowed
        transaction.borrowed = None
        if borrowed is None or not borrowed.is_held:
            return
        with anyio.move_on_after(_ROLLBACK_TIMEOUT_S):
            await self._forwarder.roll_back(borrowed)
        borrowed.discard()

    async def _run_open(
        self,
        session: Session,
        transaction: Transaction,
        route: Route,
        statement: Statement,
    ) -> Reply:
        deadline = anyio.current_time() + route.timeout_s
        try:
            reply = await self._run_placed(
                session, transaction, route, statement, deadline
            )
        except EndpointError as error:
            transaction.close_link()
            session.fail_transaction()
            raise StatementFailed(Failure.ABORTED, str(error)) from None
        except StatementFailed:
            transaction.close_link()
            session.fail_transaction()
            raise
        if reply.refusal is not None:
            await self.abandon(transaction)
            session.fail_transaction()
            return _with_status(reply, session.status)
        if session.writes(statement):
            transaction.has_written = True
        return _with_status(reply, session.status)

    async def _commit(
        self,
        session: Session,
        transaction: Transaction,
        route: Route,
        statement: Statement,
        deadline: float,
    ) -> Reply:
        has_written = transaction.has_written
        try:
            reply = await self._run_placed(
                session, transaction, route, statement, deadline
            )
        except EndpointError as error:
            is_in_doubt = has_written and error.was_sent
            raise StatementFailed(
                Failure.IN_DOUBT if is_in_doubt else Failure.ABORTED,
                str(error),
            ) from None
        if reply.refusal is not None:
            return _with_status(reply, TransactionStatus.IDLE)
        if has_written:
            await self._forwarder.acknowledge(
                session, route.service, transaction.term, reply, deadline
            )
        if reply.status is TransactionStatus.IDLE:
            transaction.borrowed.give_back()
        return reply

    async def _run_placed(
        self,
        session: Session,
        transaction: Transaction,
        route: Route,
        statement: Statement,
        deadline: float,
    ) -> Reply:
        """Run a statement; the first one may be retried at other endpoints."""
        if transaction.borrowed is not None:
            return await self._run_on_link(
                session, transaction, statement, deadline
            )
        request = PlacementRequest(
            route,
            session.last_commit,
            transaction.arrived_at,
            deadline,
            not transaction.is_read_only,
            session.organisation,
        )
        while True:
            choice, borrowed = await self._placement.place(request)
            reply = await self._start(
                session, transaction, statement, request, choice, borrowed
            )
            if reply is not None:
                return reply
            await self._placement.pause(request)

    async def _start(
        self,
        session: Session,
        transaction: Transaction,
        statement: Statement,
        request: PlacementRequest,
        choice: Choice,
        borrowed: BorrowedLink,
    ) -> Reply | None:
        """Begin and run the first statement; ``None`` to retry elsewhere."""
        endpoint_id = choice.entry.endpoint_id
        try:
            begun = await self._begin(
                session, transaction, statement, request, choice, borrowed
            )
        except EndpointError as error:
            self._placement.record_refusal(request, choice.entry, error)
            return None
        if begun.refusal is not None:
            borrowed.give_back()
            request.exclude(endpoint_id, begun.refusal.failure)
            return None
        transaction.borrowed = borrowed
        transaction.term = choice.term
        try:
            reply = await self._run_on_link(
                session, transaction, statement, request.deadline
            )
        except EndpointError:
            if statement.kind is Kind.COMMIT:
                raise
            transaction.close_link()
            request.exclude(endpoint_id, Failure.OVERLOADED)
            return None
        failure = reply.refusal and reply.refusal.failure
        if failure is None or not self._placement.may_retry_elsewhere(
            request, failure
        ):
            return reply
        await self.abandon(transaction)
        request.exclude(endpoint_id, failure)
        return None

    async def _begin(
        self,
        session: Session,
        transaction: Transaction,
        statement: Statement,
        request: PlacementRequest,
        choice: Choice,
        borrowed: BorrowedLink,
    ) -> Reply:
        limit = self._placement.attempt_deadline(request, choice.entry)
        with anyio.CancelScope(deadline=limit):
            await self._forwarder.apply_session(borrowed, session, statement)
            return await self._forwarder.begin(
                borrowed,
                is_read_only=transaction.is_read_only,
                after=choice.after,
            )
        borrowed.discard(is_lost=True)
        raise EndpointError('no answer in time', was_sent=False)

    async def _run_on_link(
        self,
        session: Session,
        transaction: Transaction,
        statement: Statement,
        deadline: float,
    ) -> Reply:
        """Run a statement on the transaction's link; retry while busy."""
        borrowed = transaction.borrowed
        was_sent = False
        with anyio.CancelScope(deadline=deadline):
            await self._forwarder.apply_session(borrowed, session, statement)
            was_sent = True
            while True:
                reply = await self._forwarder.run(borrowed, session, statement)
                if not _is_busy(reply):
                    return reply
                await anyio.sleep(_BUSY_PAUSE_S)
        raise EndpointError('no answer in time', was_sent=was_sent)


def _is_busy(reply: Reply) -> bool:
    if reply.refusal is None or reply.status is not TransactionStatus.OPEN:
        return False
    return reply.refusal.failure is Failure.BUSY


def _with_status(reply: Reply, status: TransactionStatus) -> Reply:
    if reply.status is status:
        return reply
    return Reply(
        reply.rows,
        reply.signature,
        reply.refusal,
        status,
        reply.position,
    )
