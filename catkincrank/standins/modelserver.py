"""Server side of a model group: instances and their connections."""

import itertools
from collections.abc import Callable
from typing import Any, Protocol, final

import anyio
from pg_mimic import PgError

from catkincrank.endpoint import (
    Answer,
    Column,
    EndpointAddress,
    StatementError,
    TransactionStatus,
)
from catkincrank.endpoints.conninfo import Upstream, format_upstream
from catkincrank.history import LogMark
from catkincrank.instance import Ballot, InstanceStatus, Role
from catkincrank.standins.execution import Execution
from catkincrank.standins.instance import StandinInstance

__all__ = ('ModelServer', 'ServerConnection', 'read_columns')

_KEEPER_PREFIX = 'catkincrank-keeper'
_COMMIT = 'COMMIT'
_FAILED = b'E'
_process_ids = itertools.count(1)
_IDLE = b'I'
_OPEN = b'T'
_FAILED_TRANSACTION_SQLSTATE = '25P02'
_TRANSACTION_ENDS = frozenset(('ROLLBACK', 'COMMIT', 'END', 'ABORT'))
_ROW_COUNT_COMMANDS = frozenset(('SELECT', 'UPDATE', 'DELETE'))


class _ClientConnection(Protocol):
    """The client's end of a connection."""

    application: str
    origin: str
    is_silent: bool

    def reset(self) -> None:
        """End the connection from the instance's side."""


@final
class ModelServer:
    """One instance of a model group with its open connections.

    Args:
        instance: The instance.
    """

    def __init__(self, instance: StandinInstance) -> None:
        self.instance = instance
        self.connections: set[_ClientConnection] = set()

    def reset_connections(self) -> None:
        """Reset every connection."""
        self.reset_matching(bool)

    def reset_matching(
        self, matches: Callable[[_ClientConnection], bool]
    ) -> int:
        """Reset the connections that match; return their number."""
        ended = [one for one in self.connections if matches(one)]
        for connection in ended:
            connection.reset()
        return len(ended)

    def describe(self) -> InstanceStatus:
        """Return the instance's status."""
        instance = self.instance
        upstream = instance.upstream
        return InstanceStatus(
            instance.name,
            instance.incarnation,
            instance.role,
            instance.log.history,
            instance.log.end,
            instance.replayed,
            instance.follows if instance.role is Role.REPLICA else '',
            upstream.ballot if upstream else None,
            len(self.connections),
        )

    def seal(self, ballot: Ballot) -> InstanceStatus:
        """Seal to ``ballot``; a primary stops writes and drops its callers."""
        held = self.describe().sealed
        if held is None or held < ballot:
            instance = self.instance
            instance.conninfo = format_upstream(Upstream(None, ballot))
            if instance.role is Role.PRIMARY:
                instance.is_read_only = True
                self.reset_matching(_is_caller)
            instance.notify()
        return self.describe()

    def promote(self, ballot: Ballot) -> InstanceStatus:
        """Promote the instance if it is sealed to exactly ``ballot``."""
        status = self.describe()
        if status.sealed == ballot and not status.follows:
            self.instance.promote()
            self.instance.is_read_only = False
        return self.describe()

    def follow(
        self,
        primary: EndpointAddress,
        ballot: Ballot,
    ) -> InstanceStatus:
        """Stream from ``primary`` unless sealed to a newer ballot."""
        held = self.describe().sealed
        if held is None or held <= ballot:
            upstream = Upstream(primary, ballot)
            self.instance.conninfo = format_upstream(upstream)
            self.instance.notify()
        return self.describe()


@final
class ServerConnection:
    """State that an instance keeps of one connection.

    Its transaction state may be ahead of the one the client knows.

    Args:
        instance: The instance.
    """

    def __init__(self, instance: StandinInstance) -> None:
        self.pid = next(_process_ids)
        self.tx_status = _IDLE
        self.busy = anyio.Lock()
        self._instance = instance
        self._execution = Execution(instance, self)

    @property
    def transaction(self) -> TransactionStatus:
        """The transaction state."""
        return TransactionStatus(self.tx_status.decode())

    def roll_back(self) -> None:
        """Roll back the open transaction."""
        self._execution.transaction.rollback()

    def prepare(self, sql: str) -> Any:
        """Return the prepared statement for ``sql``."""
        keyword = sql.split(maxsplit=1)[0].lower()
        return self._execution.prepare(sql, keyword, [])

    async def run(self, sql: str, params: list[str | None]) -> Answer:
        """Run one statement."""
        keyword = sql.split(maxsplit=1)[0].upper()
        if self.tx_status == _FAILED and keyword not in _TRANSACTION_ENDS:
            raise PgError(
                _FAILED_TRANSACTION_SQLSTATE, 'current transaction is aborted'
            )
        statement = self.prepare(sql)
        rows, _ = await statement.bind(params).execute(0)
        columns = read_columns(await statement.describe())
        return Answer(
            _make_command_tag(keyword, len(rows)),
            columns,
            () if columns is None else tuple(map(_read_row, rows)),
            self.transaction,
        )

    async def commit(self) -> LogMark | None:
        """Commit and return the log's end."""
        await self.prepare(_COMMIT).bind([]).execute(0)
        if self._instance.role is Role.REPLICA:
            return None
        return self._instance.log.mark

    def fail_transaction(self, error: PgError) -> StatementError:
        """Fail the open transaction; return the error to send."""
        if self.tx_status == _OPEN:
            self.tx_status = _FAILED
        return StatementError(
            error.sqlstate,
            error.message,
            {},
            self.transaction,
        )


def read_columns(columns: Any) -> tuple[Column, ...] | None:
    """Return the result columns of a statement."""
    if columns is None:
        return None
    return tuple(Column(one.name, one.oid) for one in columns)


def _is_caller(connection: _ClientConnection) -> bool:
    return not connection.application.startswith(_KEEPER_PREFIX)


def _make_command_tag(keyword: str, rows: int) -> str:
    if keyword == 'INSERT':
        return 'INSERT 0 {0}'.format(rows)
    if keyword in _ROW_COUNT_COMMANDS:
        return '{0} {1}'.format(keyword, rows)
    return keyword


def _read_row(row: tuple[object, ...]) -> tuple[str | None, ...]:
    return tuple(None if one is None else str(one) for one in row)
