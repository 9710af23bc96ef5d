"""Serves the PostgreSQL protocol on one caller's connection."""

import struct
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, final

from pg_mimic import messages
from pg_mimic.arrays import format_array_literal
from pg_mimic.auth import ScramSha256AuthPlugin, SimpleIdentityProvider
from pg_mimic.connection import Connection
from pg_mimic.errors import PgError
from pg_mimic.messages import FieldSpec, ParsedExecute
from pg_mimic.stream import ConnectionClosed, PgStream

from catkincrank.callererrors import fatal_fields
from catkincrank.callersession import (
    CallerPortal,
    CallerSession,
    encode_values,
    find_encoders,
)
from catkincrank.endpoint import Answer
from catkincrank.session import Session
from catkincrank.statement import Kind, Statement, classify, split

if TYPE_CHECKING:
    from catkincrank.frontend import CallerServer

__all__ = ('CallerConnection', 'CallerStream')

_MAX_MESSAGE_BYTES = 0x4000000
_MAX_STARTUP_BYTES = 10_000
_READ_CHUNK_BYTES = 65536
_HEADER_BYTES = 5
_LENGTH = struct.Struct('!i')
_BAD_PASSWORD = '28P01'
_NOT_SUPPORTED = '0A000'
_FLUSHING_TAGS = frozenset((messages.QUERY, messages.SYNC, messages.FLUSH))
_RAN_DETAIL = 'verdict: ran'
_NO_IMPLICIT_TRANSACTION_KINDS = frozenset(
    (
        Kind.BEGIN,
        Kind.COMMIT,
        Kind.ROLLBACK,
        Kind.DISCARD,
        Kind.SESSION,
        Kind.STANDALONE,
    ),
)
_READY_TAGS = frozenset((messages.QUERY, messages.SYNC))


@final
class CallerStream(PgStream):
    """Reads whole messages of bounded length; writes when flushed."""

    def __init__(self, reader: Any, writer: Any) -> None:
        super().__init__(reader, writer)
        self._pending: list[bytes] = []
        self._received = b''
        self._offset = 0

    def write(self, data: bytes) -> None:
        """Buffer ``data`` until ``drain``."""
        self._pending.append(data)

    async def drain(self) -> None:
        """Send the buffered data."""
        if self._pending:
            self.writer.write(b''.join(self._pending))
            self._pending.clear()
        await self.writer.drain()

    async def read_startup_packet(self) -> tuple[int, bytes]:
        """Read the startup message."""
        header = await self._read_exactly(8)
        length, code = struct.unpack('!ii', header)
        if not 8 <= length <= _MAX_STARTUP_BYTES:
            raise ConnectionClosed
        return code, await self._read_exactly(length - 8)

    async def read_message(self) -> tuple[bytes, bytes]:
        """Read one message."""
        begin = await self._buffer_bytes(_HEADER_BYTES)
        length = _LENGTH.unpack_from(self._received, begin + 1)[0]
        if not _LENGTH.size <= length <= _MAX_MESSAGE_BYTES:
            raise ConnectionClosed
        begin = await self._buffer_bytes(length + 1)
        end = begin + length + 1
        self._offset = end
        tag = self._received[begin : begin + 1]
        return tag, self._received[begin + _HEADER_BYTES : end]

    async def _buffer_bytes(self, size: int) -> int:
        """Buffer at least ``size`` unread bytes; return their offset."""
        while len(self._received) - self._offset < size:
            missing = size - len(self._received) + self._offset
            if missing > _READ_CHUNK_BYTES:
                fresh = await self._read_exactly(missing)
            else:
                fresh = await self.reader.read(_READ_CHUNK_BYTES)
            if not fresh:
                raise ConnectionClosed
            self._received = self._received[self._offset :] + fresh
            self._offset = 0
        return self._offset


@final
class CallerConnection(Connection):
    """Serves one caller until it disconnects or the proxy drains."""

    server: 'CallerServer'
    session: CallerSession

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.is_awaiting_request = False

    @property
    def state(self) -> Session:
        """State of the caller's session."""
        return self.session.state

    @property
    def is_idle(self) -> bool:
        """Whether the caller has no statement or transaction in progress."""
        return self.is_awaiting_request and self.state.transaction is None

    def request_cancel(self) -> None:
        """Cancel the running statement."""
        self.state.cancel()

    async def end(self, error: PgError) -> None:
        """Send the caller a fatal error and close its connection."""
        self.stream.write(messages.make_error_response(fatal_fields(error)))
        try:
            await self.stream.drain()
        except OSError:
            return
        await self.stream.close()

    async def _authenticate(self) -> bool:
        password = self.server.find_password(self.state.group)
        if password is not None:
            known = SimpleIdentityProvider({self.username: password})
            plugin = ScramSha256AuthPlugin()
            try:
                is_accepted = await plugin.authenticate(
                    self.stream,
                    self.username,
                    known,
                )
            except PgError:
                is_accepted = False
            if not is_accepted:
                await self.end(_make_password_error(self.username))
                return False
        self.stream.write(messages.make_authentication_ok())
        return True

    async def _command_loop(self) -> None:
        self.is_awaiting_request = True
        while True:
            tag, payload = await self.stream.read_message()
            self.is_awaiting_request = False
            if tag == messages.TERMINATE:
                return
            await self._dispatch(tag, payload)
            if tag in _READY_TAGS:
                self._send_ready()
            if tag in _FLUSHING_TAGS:
                await self.stream.drain()
            if self.server.is_draining:
                await self.server.close_if_idle(self)

    def _send_ready(self) -> None:
        """Send ReadyForQuery."""
        self._ignore_until_sync = False
        self.state.complete_request()
        self.tx_status = self.state.status.value.encode('ascii')
        self.stream.write(messages.make_ready_for_query(self.tx_status))
        self.is_awaiting_request = True

    async def _handle_simple_query(self, sql: str) -> None:
        statements = [classify(text) for text in split(sql)]
        if not statements:
            self.stream.write(messages.make_empty_query_response())
            return
        is_batch = self._needs_transaction(statements)
        if is_batch:
            await self.session.run(classify('BEGIN'), ())
        try:
            for statement in statements:
                await self._answer_simple(statement)  # noqa: WPS476
        except PgError:
            if is_batch:
                await self.session.run(classify('ROLLBACK'), ())
            raise
        if is_batch:
            await self.session.run(classify('COMMIT'), ())

    def _needs_transaction(self, statements: list[Statement]) -> bool:
        """Whether a batch must run in an implicit transaction."""
        if len(statements) < 2 or self.state.transaction is not None:
            return False
        kinds = {statement.kind for statement in statements}
        return (
            Kind.WRITE in kinds and not kinds & _NO_IMPLICIT_TRANSACTION_KINDS
        )

    async def _answer_simple(self, statement: Statement) -> None:
        if statement.kind is Kind.EMPTY:
            self.stream.write(messages.make_empty_query_response())
            return
        answer = await self.session.run(statement, ())
        if answer.columns is not None:
            specs = [FieldSpec(one.name, one.oid) for one in answer.columns]
            self.stream.write(messages.make_row_description(specs))
        self._write_rows(answer, answer.rows, [])
        self.stream.write(messages.make_command_complete(answer.command))

    async def _handle_execute(self, parsed: ParsedExecute) -> None:
        entry = self._get_portal(parsed.portal_name)
        portal: CallerPortal = entry.portal
        if portal.is_empty:
            self.stream.write(messages.make_empty_query_response())
            return
        answer = await portal.run()
        rows, is_suspended = portal.fetch_rows(answer, parsed.max_rows)
        self._write_rows(answer, rows, entry.result_format_codes)
        if is_suspended:
            self.stream.write(messages.make_portal_suspended())
            return
        self.stream.write(messages.make_command_complete(answer.command))

    def _write_rows(
        self,
        answer: Answer,
        rows: Sequence[tuple[str | None, ...]],
        formats: list[int],
    ) -> None:
        encoders = find_encoders(answer.columns or (), formats)
        try:
            for row in rows:
                encoded = encode_values(row, encoders)
                self.stream.write(messages.make_data_row(encoded))
        except ValueError as error:
            raise PgError(_NOT_SUPPORTED, str(error), D=_RAN_DETAIL) from None

    def _decode_param(self, *args: Any) -> Any:
        """Return a parameter in text form; arrays become array literals."""
        decoded = super()._decode_param(*args)
        if isinstance(decoded, list):
            _, _, oids, index = args
            return format_array_literal(oids[index], decoded)
        return decoded


def _make_password_error(user: str) -> PgError:
    return PgError(
        _BAD_PASSWORD,
        'password authentication failed for user "{0}"'.format(user),
    )
