"""Serves callers, with one session for each connection."""

from typing import final

import anyio
from anyio.abc import SocketStream

from catkincrank.endpoint import TransactionStatus
from catkincrank.gateway.callers import (
    DISCONNECT_ERRORS,
    CallerCodec,
    Startup,
    Terminate,
)
from catkincrank.gateway.catalog import Route
from catkincrank.gateway.execution import Execution
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.reply import Failure, Reply, StatementFailed, refuse
from catkincrank.gateway.requestlog import RequestLog
from catkincrank.gateway.session import Session, answer_locally
from catkincrank.gateway.statement import Kind, Statement
from catkincrank.gateway.transactions import Transactions

__all__ = ('Caller', 'SessionServer')

# A connection that sends no startup request within this time is closed.
_STARTUP_TIMEOUT_S = 5.0
# A request that arrives while an idle session is being closed is still
# answered.
_FINAL_READ_S = 0.02


@final
class Caller:
    """One caller's connection.

    Args:
        codec: Protocol of the connection.

    Attributes:
        codec: Protocol of the connection.
        session: Its session, once startup has succeeded.
        is_ending: Whether the session is closed as soon as it is idle.
    """

    __slots__ = ('_read_scope', 'codec', 'is_ending', 'session')

    def __init__(self, codec: CallerCodec) -> None:
        self.codec = codec
        self.session: Session | None = None
        self._read_scope: anyio.CancelScope | None = None
        self.is_ending = False

    @property
    def is_idle(self) -> bool:
        """Whether no transaction is open; a failed one counts as open."""
        session = self.session
        return session is None or session.status is TransactionStatus.IDLE

    async def read(
        self,
        limit_s: float | None,
    ) -> Statement | Terminate | None:
        """Return the next request.

        Returns ``None`` when none arrives within ``limit_s``, or when ``end``
        is called meanwhile.
        """
        with anyio.move_on_after(limit_s) as scope:
            self._read_scope = scope
            request = await self.codec.read_request()
            self._read_scope = None
            return request
        self._read_scope = None
        return None

    def end(self) -> None:
        """End the session once idle; a request already received is answered."""
        self.is_ending = True
        if self.is_idle and self._read_scope is not None:
            self._read_scope.cancel()


@final
class SessionServer:
    """Accepts callers' connections and runs their statements.

    Args:
        groups: Evidence about the groups.
        execution: Runs single statements.
        transactions: Runs transactions.
        log: Log of requests.
        codec: Protocol of the callers.

    Attributes:
        callers: Open connections.
    """

    __slots__ = (
        '_codec',
        '_execution',
        '_groups',
        '_log',
        '_transactions',
        'callers',
    )

    def __init__(
        self,
        groups: Groups,
        execution: Execution,
        transactions: Transactions,
        log: RequestLog,
        codec: type[CallerCodec],
    ) -> None:
        self._groups = groups
        self._execution = execution
        self._transactions = transactions
        self._log = log
        self._codec = codec
        self.callers: set[Caller] = set()

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until it ends."""
        async with stream:
            caller = Caller(self._codec(stream))
            self.callers.add(caller)
            try:
                await self._serve_session(caller)
            except DISCONNECT_ERRORS:
                self._log.record_disconnect(caller.session)
            except Exception as error:
                # An error in one session must not end the others.
                self._log.record_crash(caller.session, error)
            finally:
                self.callers.discard(caller)
                await self._roll_back_open(caller)

    def end_when_idle(self) -> None:
        """End idle sessions now and the others once they become idle."""
        for caller in tuple(self.callers):
            caller.end()

    async def _serve_session(self, caller: Caller) -> None:
        with anyio.move_on_after(_STARTUP_TIMEOUT_S):
            startup = await caller.codec.read_startup()
            if await self._admit(caller, startup):
                caller.session = Session(startup.database, startup.credential)
        if caller.session is None:
            return
        await caller.codec.send_ready()
        while True:
            request = await self._await_request(caller)
            if request is None or isinstance(request, Terminate):
                return
            reply = await self._answer(caller.session, request)
            await caller.codec.send(reply)

    async def _admit(self, caller: Caller, startup: Startup | None) -> bool:
        if startup is None:
            await caller.codec.send_rejection(Failure.MALFORMED)
            return False
        if self._find_route(startup.database) is None:
            self._log.record_unknown_database(startup.database)
            await caller.codec.send_rejection(Failure.UNKNOWN_DATABASE)
            return False
        return True

    async def _await_request(
        self,
        caller: Caller,
    ) -> Statement | Terminate | None:
        """Return the next request; ``None`` to end the session.

        A transaction that exceeds the idle limit is rolled back meanwhile.
        """
        while True:
            limit_s = self._idle_limit(caller.session)
            is_ending = caller.is_ending and caller.is_idle
            request = await caller.read(_FINAL_READ_S if is_ending else limit_s)
            if request is not None or is_ending:
                return request
            if limit_s is not None:
                await self._abort_idle_transaction(caller.session)

    def _idle_limit(self, session: Session) -> float | None:
        is_open = session.status is TransactionStatus.OPEN
        if not is_open or self._groups.catalog is None:
            return None
        return self._groups.catalog.transaction_idle_s

    async def _abort_idle_transaction(self, session: Session) -> None:
        transaction = session.transaction
        if transaction is None:
            return
        self._log.record_idle_transaction(session)
        await self._transactions.abandon(transaction)
        session.fail_transaction()

    async def _answer(self, session: Session, statement: Statement) -> Reply:
        started = anyio.current_time()
        try:
            reply = await self._run(session, statement)
        except StatementFailed as error:
            reply = error.as_reply(session.status)
        took_s = anyio.current_time() - started
        route = self._find_route(session.database)
        service = '' if route is None else route.service
        self._log.record_statement(session, statement, reply, took_s, service)
        return reply

    async def _run(self, session: Session, statement: Statement) -> Reply:
        local = answer_locally(session, statement)
        if local is not None:
            return local
        if statement.kind is Kind.ROLLBACK:
            return await self._transactions.roll_back(session)
        transaction = session.transaction
        if transaction is None:
            route = self._find_route(session.database)
            if route is None:
                return refuse(Failure.UNKNOWN_DATABASE, session.status)
        else:
            route = transaction.route
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

    async def _roll_back_open(self, caller: Caller) -> None:
        """Roll back the transaction that the caller left open."""
        session = caller.session
        if session is None or session.transaction is None:
            return
        transaction = session.transaction
        session.end()
        with anyio.CancelScope(shield=True):
            await self._transactions.abandon(transaction)
