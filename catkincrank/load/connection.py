"""Connection of a caller to a proxy, through libpq."""

from dataclasses import dataclass
from typing import final

import anyio
from psycopg import pq
from psycopg.conninfo import make_conninfo

from catkincrank.endpoint import Answer, StatementError
from catkincrank.endpoints import libpq
from catkincrank.endpoints.socketwaiter import SocketWaiter
from catkincrank.errors import EndpointError
from catkincrank.verdict import Verdict

__all__ = ('CallerConnection', 'Target', 'parse_verdict', 'read_verdict')

_DETAIL = 'D'
_VERDICT_PREFIX = 'verdict: '
_CONNECT_TIMEOUT_S = 3.0


@final
@dataclass(frozen=True, slots=True)
class Target:
    """A proxy that callers connect to.

    Attributes:
        name: Name of the proxy.
        host: IP address.
        port: TCP port.
        user: Login.
        password: Password of the login.
    """

    name: str
    host: str
    port: int
    user: str = 'caller'
    password: str = ''

    def __repr__(self) -> str:
        return 'Target({0!r}, {1!r}, {2})'.format(
            self.name,
            self.host,
            self.port,
        )


@final
class CallerConnection:
    """An open connection to a proxy.

    Args:
        pgconn: The libpq connection.
        target: The proxy.
    """

    def __init__(self, pgconn: pq.abc.PGconn, target: Target) -> None:
        self.target = target
        self._pgconn = pgconn
        self._waiter = SocketWaiter(pgconn.socket)

    @classmethod
    async def open(
        cls,
        target: Target,
        database: str,
        token: str = '',
    ) -> 'CallerConnection':
        """Open a connection that continues the session of ``token``.

        Raises:
            EndpointError: The proxy was unreachable or refused.
        """
        options = '-c catkincrank.session={0}'.format(token) if token else ''
        conninfo = make_conninfo(
            hostaddr=target.host,
            port=target.port,
            user=target.user,
            password=target.password,
            dbname=database,
            options=options,
            sslmode='disable',
            gssencmode='disable',
        )
        try:
            with anyio.fail_after(_CONNECT_TIMEOUT_S):
                pgconn = await libpq.open_connection(conninfo)
        except TimeoutError:
            raise EndpointError('no answer', was_sent=False) from None
        return cls(pgconn, target)

    async def execute(self, sql: str, *params: str) -> Answer:
        """Run one statement."""
        libpq.check_connection(self._pgconn)
        libpq.send_statement(self._pgconn, sql, params)
        results = await libpq.fetch_results(self._pgconn, self._waiter)
        return libpq.read_answer(self._pgconn, results[-1])

    async def show(self, name: str) -> str:
        """Return the value of a session option."""
        answer = await self.execute('SHOW {0}'.format(name))
        return answer.rows[0][0] or ''

    def is_usable(self) -> bool:
        """Return whether the connection is still open."""
        try:
            self.check()
        except EndpointError:
            return False
        return True

    def check(self) -> None:
        """Check that the proxy has not closed the connection.

        Raises:
            EndpointError: The connection is closed; nothing was sent.
        """
        libpq.check_connection(self._pgconn)

    def close(self) -> None:
        """Close the connection immediately."""
        self._waiter.close()
        self._pgconn.finish()


def read_verdict(error: StatementError) -> Verdict:
    """Return the verdict in a statement error."""
    return parse_verdict(error.fields.get(_DETAIL, ''))


def parse_verdict(detail: str) -> Verdict:
    """Return the verdict in the DETAIL of an error.

    A proxy reports a verdict with each error. An endpoint reports none: a
    statement that it refuses has no effect.
    """
    text = detail.partition(_VERDICT_PREFIX)[2].splitlines()
    return Verdict(text[0].strip()) if text else Verdict.NOT_RUN
