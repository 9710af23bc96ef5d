"""Statements over libpq without blocking: send, wait on the socket, collect.

Values pass in text form in both directions, so that none is altered. Uses
psycopg's wrapper of libpq only, none of its cursors and adapters.
"""

from collections.abc import Generator, Sequence
from types import MappingProxyType
from typing import Any, final

import anyio
from psycopg import Error, generators, pq
from psycopg.waiting import Ready, Wait

from catkincrank.endpoint import (
    Answer,
    Column,
    Description,
    StatementError,
    TransactionStatus,
)
from catkincrank.endpoints.socketwaiter import SocketWaiter
from catkincrank.errors import EndpointError

__all__ = (
    'SessionEndedError',
    'check_connection',
    'fetch_answer',
    'fetch_results',
    'open_connection',
    'read_answer',
    'read_description',
    'read_transaction',
    'send_statement',
)

_ENCODING = 'utf-8'
_FATAL = ('FATAL', 'PANIC')
_STATUSES = MappingProxyType(
    {
        pq.TransactionStatus.IDLE: TransactionStatus.IDLE,
        pq.TransactionStatus.INTRANS: TransactionStatus.OPEN,
        pq.TransactionStatus.INERROR: TransactionStatus.FAILED,
    }
)
_SHOWN_FIELDS = MappingProxyType(
    {
        'S': pq.DiagnosticField.SEVERITY,
        'D': pq.DiagnosticField.MESSAGE_DETAIL,
        'H': pq.DiagnosticField.MESSAGE_HINT,
        'P': pq.DiagnosticField.STATEMENT_POSITION,
        's': pq.DiagnosticField.SCHEMA_NAME,
        't': pq.DiagnosticField.TABLE_NAME,
        'c': pq.DiagnosticField.COLUMN_NAME,
        'n': pq.DiagnosticField.CONSTRAINT_NAME,
    }
)
_WHOLE = frozenset(
    (
        pq.ExecStatus.TUPLES_OK,
        pq.ExecStatus.COMMAND_OK,
        pq.ExecStatus.EMPTY_QUERY,
    )
)


@final
class SessionEndedError(EndpointError):
    """The server ended the connection and said why.

    Args:
        reason: Its message.
        sqlstate: Its SQLSTATE.
        detail: Its DETAIL.
    """

    def __init__(self, reason: str, sqlstate: str, detail: str) -> None:
        super().__init__(reason, was_sent=True)
        self.sqlstate = sqlstate
        self.detail = detail


async def open_connection(conninfo: str) -> pq.abc.PGconn:
    """Open a connection.

    Raises:
        EndpointError: The server could not be reached or refused.
    """
    connecting = generators.connect(conninfo)
    try:
        return await _drive_connect(connecting)
    except Error as error:
        reason = str(error).strip()
        raise EndpointError(reason, was_sent=False) from None


async def fetch_results(
    pgconn: pq.abc.PGconn,
    readiness: SocketWaiter,
) -> list[pq.abc.PGresult]:
    """Flush what was queued and wait for one statement's results.

    Raises:
        EndpointError: The connection broke.
    """
    try:
        return await _drive(generators.execute(pgconn), readiness)
    except (Error, OSError) as error:
        raise EndpointError(str(error).strip(), was_sent=True) from None


async def fetch_answer(
    pgconn: pq.abc.PGconn,
    readiness: SocketWaiter,
) -> Answer:
    """Flush what was queued and wait for one statement's whole answer.

    Raises:
        StatementError: The statement failed.
        EndpointError: The connection broke.
    """
    results = await fetch_results(pgconn, readiness)
    return read_answer(pgconn, results[-1])


def send_statement(
    pgconn: pq.abc.PGconn,
    sql: str,
    params: Sequence[str | None],
) -> None:
    """Queue one statement with parameters of unknown type.

    Raises:
        EndpointError: The connection is broken.
    """
    encoded = [
        None if text is None else text.encode(_ENCODING) for text in params
    ]
    try:
        pgconn.send_query_params(sql.encode(_ENCODING), encoded)
    except Error as error:
        raise EndpointError(str(error).strip(), was_sent=True) from None


def check_connection(pgconn: pq.abc.PGconn) -> None:
    """Notice a connection that the other end closed while it was idle.

    Raises:
        EndpointError: The connection is unusable; nothing was sent.
    """
    try:
        pgconn.consume_input()
    except Error as error:
        raise EndpointError(str(error).strip(), was_sent=False) from None
    if pgconn.status != pq.ConnStatus.OK:
        raise EndpointError('the connection is closed', was_sent=False)


def read_transaction(pgconn: pq.abc.PGconn) -> TransactionStatus:
    """Return the transaction state that the server reported last."""
    return _STATUSES.get(pgconn.transaction_status, TransactionStatus.FAILED)


def read_answer(pgconn: pq.abc.PGconn, result: pq.abc.PGresult) -> Answer:
    """Return a result as an answer.

    Raises:
        StatementError: The result is an error of the statement.
        EndpointError: The result says that the connection ended.
    """
    _check_result(pgconn, result)
    command = result.command_status or b''
    columns = None
    rows: tuple[tuple[str | None, ...], ...] = ()
    if result.status == pq.ExecStatus.TUPLES_OK:
        columns = _read_columns(result)
        rows = tuple(
            _read_row(result, row, len(columns))
            for row in range(result.ntuples)
        )
    return Answer(
        command.decode(_ENCODING),
        columns,
        rows,
        read_transaction(pgconn),
    )


def read_description(
    pgconn: pq.abc.PGconn,
    result: pq.abc.PGresult,
) -> Description:
    """Return the shape that a describe's result tells."""
    _check_result(pgconn, result)
    oids = [result.param_type(index) for index in range(result.nparams)]
    columns = _read_columns(result) if result.nfields else None
    return Description(tuple(oids), columns)


def _read_columns(result: pq.abc.PGresult) -> tuple[Column, ...]:
    return tuple(
        Column(
            (result.fname(index) or b'').decode(_ENCODING),
            result.ftype(index),
        )
        for index in range(result.nfields)
    )


def _read_row(
    result: pq.abc.PGresult,
    row: int,
    width: int,
) -> tuple[str | None, ...]:
    texts = [result.get_value(row, column) for column in range(width)]
    return tuple(
        None if text is None else text.decode(_ENCODING) for text in texts
    )


def _check_result(pgconn: pq.abc.PGconn, result: pq.abc.PGresult) -> None:
    if result.status in _WHOLE:
        return
    sqlstate = _read_field(result, pq.DiagnosticField.SQLSTATE)
    message = _read_field(result, pq.DiagnosticField.MESSAGE_PRIMARY)
    severity = _read_field(result, pq.DiagnosticField.SEVERITY)
    if sqlstate and severity in _FATAL:
        detail = _read_field(result, pq.DiagnosticField.MESSAGE_DETAIL)
        raise SessionEndedError(message, sqlstate, detail)
    if not sqlstate:
        reason = message or result.get_error_message(_ENCODING).strip()
        reason = reason or 'the statement mode is not supported'
        raise EndpointError(reason, was_sent=True)
    fields = {
        code: _read_field(result, field)
        for code, field in _SHOWN_FIELDS.items()
    }
    raise StatementError(
        sqlstate,
        message,
        {code: text for code, text in fields.items() if text},
        read_transaction(pgconn),
    )


def _read_field(result: pq.abc.PGresult, field: pq.DiagnosticField) -> str:
    return (result.error_field(field) or b'').decode(_ENCODING, 'replace')


async def _drive_connect(connecting: Generator[Any, Any, Any]) -> Any:
    try:
        descriptor, wait = next(connecting)
        while True:
            ready = await _wait_ready(descriptor, wait)
            descriptor, wait = connecting.send(ready)
    except StopIteration as finished:
        return finished.value
    finally:
        connecting.close()


async def _drive(
    running: Generator[Any, Any, Any],
    readiness: SocketWaiter,
) -> Any:
    try:
        wait = next(running)
        while True:
            ready = await readiness.wait(wait)
            wait = running.send(ready)
    except StopIteration as finished:
        return finished.value


async def _wait_ready(descriptor: int, wait: Wait) -> Ready:
    if wait == Wait.R:
        await anyio.wait_readable(descriptor)
        return Ready.R
    await anyio.wait_writable(descriptor)
    return Ready.RW if wait == Wait.RW else Ready.W
