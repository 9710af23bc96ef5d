"""PostgreSQL driver; a term is a timeline and a position is an LSN."""

from collections import OrderedDict
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import final

import anyio
from psycopg import pq
from psycopg.conninfo import make_conninfo

from catkincrank.endpoint import (
    Answer,
    Credential,
    Description,
    Driver,
    EndpointAddress,
    EndpointConnection,
    StatementError,
    TransactionStatus,
    drivers,
)
from catkincrank.endpoints import libpq, statements
from catkincrank.endpoints.conninfo import (
    Upstream,
    format_upstream,
    quote_literal,
)
from catkincrank.endpoints.socketwaiter import SocketWaiter
from catkincrank.endpoints.status import has_receiver, read_status
from catkincrank.errors import EndpointError
from catkincrank.history import LogMark
from catkincrank.instance import Ballot, InstanceStatus, Role

__all__ = ('PostgresConnection', 'PostgresDriver')

_MAX_CACHED_DESCRIPTIONS = 512
_RECEIVER_POLL_S = 0.02
_MAX_RECEIVER_POLLS = 100
_ROLLBACK_TAG = 'ROLLBACK'
_STATUS_NAME = b'catkincrank_status'
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 3
_TCP_USER_TIMEOUT_MS = 5000


@final
class PostgresConnection(EndpointConnection):
    """A connection to one PostgreSQL instance.

    Args:
        pgconn: The open connection.
        endpoint: Name of the endpoint.
        incarnation: The instance's start time.
    """

    def __init__(
        self,
        pgconn: pq.abc.PGconn,
        endpoint: str,
        incarnation: str = '',
    ) -> None:
        self.incarnation = incarnation
        self._pgconn = pgconn
        self._readiness = SocketWaiter(pgconn.socket)
        self._endpoint = endpoint
        self._is_status_prepared = False
        self._descriptions: OrderedDict[str, Description] = OrderedDict()

    async def execute(
        self,
        sql: str,
        params: Sequence[str | None] = (),
    ) -> Answer:
        """Run one statement; see the base class."""
        libpq.check_connection(self._pgconn)
        libpq.send_statement(self._pgconn, sql, params)
        return await libpq.fetch_answer(self._pgconn, self._readiness)

    async def describe(self, sql: str) -> Description:
        """Return a statement's description, cached per connection."""
        known = self._descriptions.get(sql)
        if known is not None:
            self._descriptions.move_to_end(sql)
            return known
        description = await self._describe_new(sql)
        self._descriptions[sql] = description
        if len(self._descriptions) > _MAX_CACHED_DESCRIPTIONS:
            self._descriptions.popitem(last=False)
        return description

    async def commit(self) -> LogMark | None:
        """Commit and read the log mark in one round trip.

        Returns:
            The mark; ``None`` when the transaction had failed and was rolled
            back, or when the instance is a replica.
        """
        libpq.check_connection(self._pgconn)
        self._pgconn.enter_pipeline_mode()
        libpq.send_statement(self._pgconn, statements.COMMIT, ())
        libpq.send_statement(self._pgconn, statements.MARK, ())
        self._pgconn.pipeline_sync()
        committed, marked = await self._fetch_commit_answers()
        if committed.command.startswith(_ROLLBACK_TAG):
            return None
        term, position = marked.rows[0]
        if term is None or position is None:
            return None
        return LogMark(int(term), int(position))

    async def fetch_status(self) -> InstanceStatus:
        """Return the instance's status."""
        return read_status(self._endpoint, await self._read_status())

    async def seal(self, ballot: Ballot) -> InstanceStatus:
        """Promise ``ballot``; see the base class."""
        async with self._locked():
            status = await self.fetch_status()
            if _may_seal(status, ballot):
                await _execute_all(
                    self,
                    _configure(Upstream(None, ballot)),
                    *_stop_writes(status.role),
                )
        return await self._fetch_settled_status()

    async def promote(self, ballot: Ballot) -> InstanceStatus:
        """Promote the instance to ``ballot.term``; see the base class."""
        async with self._locked():
            status = await self.fetch_status()
            if status.sealed == ballot and not status.follows:
                await _execute_all(
                    self,
                    statements.PROMOTE,
                    statements.READ_ONLY_OFF,
                    statements.RELOAD,
                )
        return await self.fetch_status()

    async def follow(
        self,
        primary: EndpointAddress,
        ballot: Ballot,
    ) -> InstanceStatus:
        """Stream from ``primary``; see the base class."""
        async with self._locked():
            status = await self.fetch_status()
            if status.sealed is None or status.sealed.term <= ballot.term:
                await _execute_all(
                    self,
                    _configure(Upstream(primary, ballot)),
                    statements.RELOAD,
                )
        return await self.fetch_status()

    async def terminate(self, application: str) -> int:
        """Terminate other connections of ``application``; return the count."""
        answer = await self.execute(statements.TERMINATE, (application,))
        return int(answer.rows[0][0] or 0)

    async def close(self) -> None:
        """Close without waiting for the instance."""
        self._readiness.close()
        self._pgconn.finish()

    @property
    def transaction(self) -> TransactionStatus:
        """The transaction state that the endpoint reported last."""
        return libpq.read_transaction(self._pgconn)

    async def _read_status(self) -> Answer:
        """Run the status statement, prepared once per connection."""
        libpq.check_connection(self._pgconn)
        if not self._is_status_prepared:
            self._pgconn.send_prepare(_STATUS_NAME, statements.STATUS.encode())
            await libpq.fetch_answer(self._pgconn, self._readiness)
            self._is_status_prepared = True
        self._pgconn.send_query_prepared(_STATUS_NAME, ())
        return await libpq.fetch_answer(self._pgconn, self._readiness)

    async def _describe_new(self, sql: str) -> Description:
        libpq.check_connection(self._pgconn)
        self._pgconn.send_prepare(b'', sql.encode('utf-8'))
        results = await libpq.fetch_results(self._pgconn, self._readiness)
        libpq.read_answer(self._pgconn, results[-1])
        self._pgconn.send_describe_prepared(b'')
        results = await libpq.fetch_results(self._pgconn, self._readiness)
        return libpq.read_description(self._pgconn, results[-1])

    async def _fetch_commit_answers(self) -> tuple[Answer, Answer]:
        first = await libpq.fetch_results(self._pgconn, self._readiness)
        second = await libpq.fetch_results(self._pgconn, self._readiness)
        await libpq.fetch_results(self._pgconn, self._readiness)
        self._pgconn.exit_pipeline_mode()
        return (
            libpq.read_answer(self._pgconn, first[-1]),
            libpq.read_answer(self._pgconn, second[-1]),
        )

    @asynccontextmanager
    async def _locked(self) -> AsyncIterator[None]:
        """Hold the instance's advisory lock; a lost connection releases it."""
        await self.execute(statements.LOCK)
        try:
            yield
        except StatementError:
            await self.execute(statements.UNLOCK)
            raise
        await self.execute(statements.UNLOCK)

    async def _fetch_settled_status(self) -> InstanceStatus:
        for _ in range(_MAX_RECEIVER_POLLS):
            answer = await self._read_status()  # noqa: WPS476
            if not has_receiver(answer):
                return read_status(self._endpoint, answer)
            await anyio.sleep(_RECEIVER_POLL_S)  # noqa: WPS476
        raise EndpointError('the log receiver does not stop', was_sent=True)


@drivers.register('postgres')
@final
class PostgresDriver(Driver):
    """Opens connections to PostgreSQL instances."""

    async def connect(
        self,
        address: EndpointAddress,
        credential: Credential,
        application: str,
    ) -> EndpointConnection:
        """Open a connection and read the instance's incarnation."""
        conninfo = make_conninfo(
            hostaddr=address.host,
            port=address.port,
            user=credential.user,
            password=credential.password,
            dbname=credential.database,
            application_name=application,
            sslmode='disable',
            gssencmode='disable',
            keepalives_idle=_KEEPALIVE_IDLE_S,
            keepalives_interval=_KEEPALIVE_INTERVAL_S,
            keepalives_count=_KEEPALIVE_COUNT,
            tcp_user_timeout=_TCP_USER_TIMEOUT_MS,
        )
        pgconn = await libpq.open_connection(conninfo)
        connection = PostgresConnection(pgconn, address.endpoint)
        try:
            answer = await connection.execute(statements.INCARNATION)
        except BaseException:
            await connection.close()
            raise
        connection.incarnation = answer.rows[0][0] or ''
        return connection


def _may_seal(status: InstanceStatus, ballot: Ballot) -> bool:
    """Whether the instance may promise the ballot.

    It promises a term to one keeper only. A ballot that it holds is sealed
    again if the instance has been set to follow a primary under it.
    """
    held = status.sealed
    if held is None or held.term < ballot.term:
        return True
    return held == ballot and bool(status.follows)


def _stop_writes(role: Role) -> tuple[str, ...]:
    if role is Role.REPLICA:
        return (statements.RELOAD,)
    return (
        statements.READ_ONLY_ON,
        statements.RELOAD,
        statements.TERMINATE_OTHERS,
    )


def _configure(upstream: Upstream) -> str:
    literal = quote_literal(format_upstream(upstream))
    return statements.CONFIGURE_PRIMARY.format(literal)


async def _execute_all(connection: EndpointConnection, *texts: str) -> None:
    for text in texts:
        await connection.execute(text)  # noqa: WPS476
