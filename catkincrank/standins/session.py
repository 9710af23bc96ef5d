"""Session of a stand-in instance for one connection, over pg-mimic."""

import re
import socket
import struct
from typing import Any, Final, final

from pg_mimic import BaseSession, ResultColumn, Statement
from pg_mimic.types import TEXT

from catkincrank.standins import control
from catkincrank.standins.execution import Execution
from catkincrank.standins.instance import StandinInstance
from catkincrank.standins.portal import Row, Runner, StandinStatement
from catkincrank.standins.stream import AnswerStream

__all__ = ('StandinSession',)

_LINGER_RESET = struct.pack('ii', 1, 0)
_KEYWORD = re.compile(r'\s*(\w+)')
_SERVER_VERSION = 'PostgreSQL 16.0 (catkincrank stand-in)'
_SHOW_ANSWERS: Final = (
    ('server_version', '16.0'),
    ('standard_conforming_strings', 'on'),
    ('transaction isolation level', 'read committed'),
    ('transaction_read_only', 'off'),
)
_QUERY_ANSWERS: Final = (
    ('select pg_catalog.version()', _SERVER_VERSION),
    ('select version()', _SERVER_VERSION),
    ('select current_schema()', 'public'),
)


@final
class StandinSession(BaseSession):
    """Runs one connection's statements on an instance.

    Args:
        instance: The instance.
        peers: Open sessions of the instance; includes this one while it is
            open.
    """

    def __init__(
        self,
        instance: StandinInstance,
        peers: set['StandinSession'],
    ) -> None:
        self.instance = instance
        self.peers = peers
        self.application = ''
        self.holds_advisory_lock = False
        self._connection: Any = None
        self._execution: Execution | None = None

    async def init(self, connection: Any) -> None:
        """Add the session to those of the instance."""
        connection.stream = AnswerStream(connection.stream)
        self._connection = connection
        self._execution = Execution(self.instance, connection)
        params = connection.startup_params
        self.application = params.get('application_name', '')
        self.peers.add(self)

    async def close(self) -> None:
        """Roll back, release the advisory lock and remove the session."""
        self.peers.discard(self)
        self.release_advisory_lock()
        if self._execution is not None:
            self._execution.transaction.rollback()

    async def prepare(
        self,
        sql: str,
        param_oids: list[int | None],
    ) -> Statement:
        """Return the prepared statement for ``sql``."""
        await self.instance.wait_running()
        control_handler = control.find_handler(sql)
        if control_handler is not None:
            columns = control.find_columns(sql)
            return StandinStatement(
                sql, self._make_runner(control_handler), columns
            )
        constant = _find_constant(sql)
        if constant is not None:
            return _make_constant(sql, *constant)
        execution = self._execution
        if execution is None:
            raise RuntimeError('prepare() before init()')
        return execution.prepare(sql, _read_keyword(sql), param_oids)

    def abort(self) -> None:
        """Reset the connection."""
        writer = self._connection.stream.writer
        raw_socket = writer.get_extra_info('socket')
        if raw_socket is not None and raw_socket.fileno() >= 0:
            raw_socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _LINGER_RESET,
            )
        writer.transport.abort()

    def release_advisory_lock(self) -> None:
        """Release the advisory lock if this session holds it."""
        if self.holds_advisory_lock:
            self.holds_advisory_lock = False
            self.instance.advisory_lock.release()

    def _make_runner(self, control_handler: Any) -> Runner:
        async def run(params: list[str | None]) -> list[Row]:  # noqa: WPS430
            await self.instance.wait_running()
            texts = tuple(text or '' for text in params)
            return await control_handler(self, texts)

        return run


def _read_keyword(sql: str) -> str:
    match = _KEYWORD.match(sql)
    return match.group(1).lower() if match else ''


def _find_constant(sql: str) -> tuple[str, str] | None:
    text = ' '.join(sql.lower().rstrip('; ').split())
    if text.startswith('show '):
        name = text.removeprefix('show ')
        return name, dict(_SHOW_ANSWERS).get(name, '')
    found = dict(_QUERY_ANSWERS).get(text)
    return None if found is None else ('text', found)


def _make_constant(sql: str, name: str, text: str) -> Statement:
    async def run(params: list[str | None]) -> list[Row]:  # noqa: WPS430
        return [(text,)]

    return StandinStatement(sql, run, (ResultColumn(name, TEXT),))
