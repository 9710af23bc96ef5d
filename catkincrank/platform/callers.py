"""Server side of the session protocol, for callers."""

from typing import final

from anyio.abc import ByteStream

from catkincrank.endpoint import TransactionStatus
from catkincrank.gateway.callers import (
    CallerCodec,
    Startup,
    Terminate,
    caller_codecs,
)
from catkincrank.gateway.organisations.keys import digest_key
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure, Refusal, Reply, refuse
from catkincrank.gateway.statement import Kind, Prepared, Statement
from catkincrank.keepalive import has_pending_input
from catkincrank.platform.codes import FAILURE_CODES
from catkincrank.platform.lines import LineReader

__all__ = ('LineCodec',)

# Longest id or name. The protocol limits messages only; names of databases
# are host names, which DNS limits to 253 bytes, and keys of the platform's
# store have up to 200 bytes.
_MAX_FIELD_BYTES = 1024
_IS_WRITE_BY_MODE = {b'READ': False, b'WRITE': True}  # noqa: WPS407
_KINDS_BY_TEXT = {  # noqa: WPS407
    b'BEGIN': Kind.BEGIN,
    b'BEGIN READ': Kind.BEGIN_READ,
    b'COMMIT': Kind.COMMIT,
    b'ROLLBACK': Kind.ROLLBACK,
}


@caller_codecs.register('lines')
@final
class LineCodec(CallerCodec):
    """Decodes requests of one caller and encodes the replies.

    Args:
        stream: The caller's connection.
    """

    __slots__ = ('_reader', '_stream')

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._reader = LineReader(stream)

    @property
    def has_input(self) -> bool:
        """Whether part of a request has arrived."""
        return self._reader.has_bytes or has_pending_input(self._stream)

    async def read_startup(self) -> Startup | None:
        """Return the startup request; ``None`` if it is malformed."""
        line = await self._reader.read()
        word, blank, fields = line.partition(b' ')
        if word != b'STARTUP' or not blank:
            return None
        database, _, key = fields.partition(b' ')
        return Startup(
            _limit_field(database).decode('utf-8', 'replace'),
            digest_key(key),
        )

    async def read_request(self) -> Statement | Terminate:
        """Return the next request."""
        line = await self._reader.read()
        if line == b'TERMINATE':
            return Terminate()
        word, _, rest = line.partition(b' ')
        request_id, _, text = rest.partition(b' ')
        if word != b'QUERY' or not 0 < len(request_id) <= _MAX_FIELD_BYTES:
            return Statement(Kind.UNREADABLE, _limit_field(request_id), text)
        return parse_statement(request_id, text)

    async def send_ready(self) -> None:
        """Tell the caller that its session is open."""
        await self._stream.send(b'READY I -\r\n')

    async def send_rejection(self, failure: Failure) -> None:
        """Tell the caller that its session was refused."""
        refusal = refuse(failure, TransactionStatus.IDLE).refusal
        await self._stream.send(_encode_refusal(refusal))

    async def send(
        self,
        reply: Reply,
        position: Position | None = None,
    ) -> None:
        """Send the complete reply to one request.

        Args:
            reply: The reply.
            position: Log position to report; callers do not use it.
        """
        lines = [b'ROW %b\r\n' % row for row in reply.rows]
        if reply.refusal is None:
            lines.append(b'COMPLETE %b\r\n' % (reply.signature or b'-'))
        else:
            lines.append(_encode_refusal(reply.refusal))
        place = '-' if position is None else str(position)
        ready = 'READY {0} {1}\r\n'.format(reply.status.value, place)
        lines.append(ready.encode('ascii'))
        await self._stream.send(b''.join(lines))


def _limit_field(field: bytes) -> bytes:
    """Return a field, or its length if it is longer than any valid one.

    No caller can send the text that is returned then as a field of its own.
    Part of the field is not shown, as it may be a key.
    """
    if len(field) <= _MAX_FIELD_BYTES:
        return field
    return b'(%d bytes)' % len(field)


def parse_statement(request_id: bytes, text: bytes) -> Statement:
    """Return the statement in ``text``."""
    simple_kind = _KINDS_BY_TEXT.get(text)
    if simple_kind is not None:
        return Statement(simple_kind, request_id, text)
    word, _, rest = text.partition(b' ')
    name, _, operand = rest.partition(b' ')
    parse = _PARSERS.get(word)
    if parse is None or not 0 < len(name) <= _MAX_FIELD_BYTES:
        return Statement(Kind.UNREADABLE, request_id, text)
    return parse(Statement(Kind.UNREADABLE, request_id, text, name, operand))


def _parse_read(found: Statement) -> Statement:
    if found.operand:
        return found
    return _with_kind(found, Kind.READ)


def _parse_write(found: Statement) -> Statement:
    if not found.operand:
        return found
    return _with_kind(found, Kind.WRITE)


def _parse_set(found: Statement) -> Statement:
    return _with_kind(found, Kind.SET)


def _parse_close(found: Statement) -> Statement:
    return _with_kind(found, Kind.CLOSE)


def _parse_execute(found: Statement) -> Statement:
    if not found.operand:
        return found
    return _with_kind(found, Kind.EXECUTE)


def _parse_prepare(found: Statement) -> Statement:
    mode, _, shape = found.operand.partition(b' ')
    if mode not in _IS_WRITE_BY_MODE or not shape:
        return found
    return Statement(
        Kind.PREPARE,
        found.request_id,
        found.text,
        found.name,
        prepared=Prepared(_IS_WRITE_BY_MODE[mode], shape),
    )


def _with_kind(found: Statement, kind: Kind) -> Statement:
    return Statement(
        kind,
        found.request_id,
        found.text,
        found.name,
        found.operand,
    )


_PARSERS = {  # noqa: WPS407
    b'READ': _parse_read,
    b'WRITE': _parse_write,
    b'SET': _parse_set,
    b'PREPARE': _parse_prepare,
    b'EXECUTE': _parse_execute,
    b'CLOSE': _parse_close,
}


def _encode_refusal(refusal: Refusal) -> bytes:
    return b'ERROR %b %b\r\n' % (
        FAILURE_CODES[refusal.failure],
        refusal.detail or b'-',
    )
