"""Serves callers, with one session for each connection."""

import math
from typing import final

import anyio
from anyio.abc import SocketStream

from catkincrank.endpoint import TransactionStatus
from catkincrank.gateway.caller import Caller
from catkincrank.gateway.callers import (
    DISCONNECT_ERRORS,
    CallerCodec,
    Startup,
    Terminate,
)
from catkincrank.gateway.catalog import Route
from catkincrank.gateway.execution import Execution
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.interruption import fail_interrupted
from catkincrank.gateway.organisations.admission import UNLIMITED, Quotas
from catkincrank.gateway.organisations.keycheck import KeyCheck
from catkincrank.gateway.reply import Failure, Reply, StatementFailed, refuse
from catkincrank.gateway.requestlog import RequestLog
from catkincrank.gateway.session import Session, answer_locally
from catkincrank.gateway.shutdownlimits import ShutdownLimits
from catkincrank.gateway.statement import Kind, Statement
from catkincrank.gateway.transactions import Transactions

__all__ = ('SessionServer',)

# A connection that sends no startup request within this time is closed.
_STARTUP_TIMEOUT_S = 5.0
# A request that arrives while an idle session is being closed is still
# answered, also if the process was too busy to read it in this time.
_FINAL_READ_S = 0.02
# A request of a session whose key was withdrawn is refused anyway. Waiting
# longer would refuse requests of callers that could have reconnected first.
_REVOKED_READ_S = 0.001


@final
class SessionServer:
    """Accepts callers' connections and runs their statements.

    Args:
        groups: Evidence about the groups.
        execution: Runs single statements.
        transactions: Runs transactions.
        log: Log of requests.
        codec: Protocol of the callers.
        quotas: Limits the operations of organisations.

    Attributes:
        callers: Open connections.
        codec: Protocol of the callers.
        shutdown_limits: Limits on statements while the process stops.
    """

    __slots__ = (
        '_execution',
        '_groups',
        '_key_check',
        '_log',
        '_transactions',
        'callers',
        'codec',
        'shutdown_limits',
    )

    def __init__(
        self,
        groups: Groups,
        execution: Execution,
        transactions: Transactions,
        log: RequestLog,
        codec: type[CallerCodec],
        quotas: Quotas = UNLIMITED,
    ) -> None:
        self._groups = groups
        self._execution = execution
        self._transactions = transactions
        self._log = log
        self.codec = codec
        self._key_check = KeyCheck(groups, transactions, quotas, log)
        self.callers: set[Caller] = set()
        self.shutdown_limits = ShutdownLimits()
        groups.listen(self.end_revoked)

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until it ends."""
        async with stream:
            caller = Caller(self.codec(stream))
            self.callers.add(caller)
            cause = 'the session was cancelled'
            try:  # noqa: WPS501
                cause = await self._run_session(caller)
            finally:
                self.callers.discard(caller)
                self._record_unanswered(caller, cause)
                await self._roll_back_open(caller)

    def end_when_idle(self) -> None:
        """End idle sessions now and the others once they become idle."""
        for caller in tuple(self.callers):
            caller.end()

    def end_revoked(self) -> None:
        """End the sessions whose key the configuration no longer has."""
        self._key_check.review(tuple(self.callers))

    async def _run_session(self, caller: Caller) -> str:
        """Serve a session; return the error that ended it, if any."""
        try:
            await self._serve_session(caller)
        except DISCONNECT_ERRORS as error:
            self._log.record_disconnect(caller.session)
            return repr(error)
        except Exception as failure:
            # An error in one session must not end the others.
            self._log.record_crash(caller.session, failure)
            return repr(failure)
        return ''

    async def _serve_session(self, caller: Caller) -> None:
        with anyio.move_on_after(_STARTUP_TIMEOUT_S):
            startup = await caller.codec.read_startup()
            caller.session = await self._open_session(caller, startup)
        if caller.session is None:
            return
        await caller.codec.send_ready()
        while not caller.session.is_closing:
            request = await self._await_request(caller)
            if request is None or isinstance(request, Terminate):
                return
            caller.outstanding_since = anyio.current_time()
            caller.outstanding = request
            reply = await self._answer(caller.session, request)
            caller.is_replying = True
            await caller.codec.send(reply)
            caller.is_replying = False
            caller.outstanding = None

    async def _open_session(
        self, caller: Caller, startup: Startup | None
    ) -> Session | None:
        """Return the session of a caller, or reject the caller."""
        if startup is None:
            await caller.codec.send_rejection(Failure.MALFORMED)
            return None
        route = self._find_route(startup.database)
        if route is None:
            self._key_check.record_unknown_database(startup.database)
            await caller.codec.send_rejection(Failure.UNKNOWN_DATABASE)
            return None
        session = self._key_check.open_session(startup, route)
        if session is None:
            await caller.codec.send_rejection(Failure.DENIED)
        return session

    async def _await_request(
        self,
        caller: Caller,
    ) -> Statement | Terminate | None:
        """Return the next request; ``None`` to end the session.

        A transaction that exceeds a limit is rolled back meanwhile.
        """
        session = caller.session
        since = anyio.current_time()
        while not caller.is_ending:
            request = await caller.read(self._find_deadline(session, since))
            if request is not None:
                return request
            if anyio.current_time() >= self._find_deadline(session, since):
                if session.status is TransactionStatus.FAILED:
                    return None
                await self._abort_idle_transaction(session)
        limit_s = _REVOKED_READ_S if session.is_revoked else _FINAL_READ_S
        request = await caller.read_last(anyio.current_time() + limit_s)
        if request is None and caller.codec.has_input:
            request = await caller.read_last(anyio.current_time() + limit_s)
        return request

    def _find_deadline(self, session: Session, since: float) -> float:
        """Return when the wait for a request that began at ``since`` ends."""
        transaction = session.transaction
        if transaction is None or self._groups.catalog is None:
            return math.inf
        idle_s = self._groups.catalog.transaction_idle_s
        if session.status is TransactionStatus.OPEN:
            return min(since + idle_s, transaction.expires_at)
        # The caller may still ask for the outcome of a transaction that was
        # rolled back because its key was withdrawn.
        return max(since, transaction.expires_at) + idle_s

    async def _abort_idle_transaction(self, session: Session) -> None:
        transaction = session.transaction
        if transaction is None:
            return
        if anyio.current_time() >= transaction.expires_at:
            self._log.record_revoked_transaction(session)
        else:
            self._log.record_idle_transaction(session)
        try:
            with self.shutdown_limits.limit():
                await self._transactions.abandon(transaction)
        except Exception as error:
            # Its link is closed, so that the endpoint rolls back.
            self._log.record_crash(session, error)
        session.fail_transaction()

    async def _answer(self, session: Session, statement: Statement) -> Reply:
        started = anyio.current_time()
        session.may_have_run = False
        transaction = session.transaction
        try:
            reply = await self.shutdown_limits.run(
                session, statement, self._run(session, statement)
            )
        except StatementFailed as error:
            reply = error.as_reply(session.status)
        except Exception as defect:
            self._log.record_crash(session, defect)
            failure = fail_interrupted(session, statement, transaction)
            reply = refuse(failure, session.status, 'internal error')
            session.is_closing = True
        took_s = anyio.current_time() - started
        route = self._find_route(session.database)
        service = '' if route is None else route.service
        self._log.record_statement(session, statement, reply, took_s, service)
        return reply

    async def _run(self, session: Session, statement: Statement) -> Reply:
        transaction = session.transaction
        route = self._find_route(session.database)
        if transaction is not None:
            route = route or transaction.route
            if statement.kind is not Kind.ROLLBACK:
                await self._key_check.check_transaction(session, route)
        local = answer_locally(session, statement)
        if local is not None:
            return local
        if statement.kind is Kind.ROLLBACK:
            return await self._transactions.roll_back(session)
        if transaction is not None:
            return await self._run_on(transaction.route, session, statement)
        if route is None:
            return refuse(Failure.UNKNOWN_DATABASE, session.status)
        self.shutdown_limits.check_operation(session)
        await self._key_check.admit_operation(session, route)
        return await self._run_on(route, session, statement)

    async def _run_on(
        self,
        route: Route,
        session: Session,
        statement: Statement,
    ) -> Reply:
        if statement.kind in {Kind.BEGIN, Kind.BEGIN_READ}:
            return self._transactions.begin(session, route, statement)
        if statement.kind is Kind.COMMIT:
            return await self._transactions.commit(session, route, statement)
        if session.transaction is not None:
            return await self._transactions.run(session, route, statement)
        return await self._execution.run(session, route, statement)

    def _find_route(self, database: str) -> Route | None:
        catalog = self._groups.catalog
        return None if catalog is None else catalog.routes.get(database)

    def _record_unanswered(self, caller: Caller, cause: str) -> None:
        """Log the request that the end of a session leaves unanswered."""
        if caller.outstanding is not None:
            self._log.record_unanswered(
                caller, cause, self.shutdown_limits.stopping_s
            )

    async def _roll_back_open(self, caller: Caller) -> None:
        """Roll back the transaction that the caller left open."""
        session = caller.session
        if session is None or session.transaction is None:
            return
        transaction = session.transaction
        session.end()
        await self._transactions.abandon(transaction)
