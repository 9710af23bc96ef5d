"""Client side of the session protocol, for endpoints."""

from typing import Final, final

import anyio
from anyio.abc import SocketStream

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import EndpointError
from catkincrank.gateway.callers import DISCONNECT_ERRORS
from catkincrank.gateway.link import (
    EndpointLink,
    EndpointState,
    LinkDriver,
    LinkRefusedError,
    link_drivers,
)
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure, Refusal, Reply
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.statement import Kind, Prepared, Statement
from catkincrank.keepalive import enable_keepalive, has_pending_input
from catkincrank.platform.codes import (
    FAILURES,
    parse_number,
    parse_position,
    parse_status,
)
from catkincrank.platform.lines import LineReader, is_field

__all__ = ('LineDriver', 'LineLink')

# Identifier of requests that the gateway itself sends.
_GATEWAY_REQUEST_ID: Final = b'-'
_IS_PRIMARY_BY_ROLE = {b'primary': True, b'replica': False}  # noqa: WPS407
# Fields: role, term, received, promised, lag_ms, busy, connections; the last
# three are not used.
_MIN_STATE_FIELDS = 4
# Part of an endpoint's explanation that is logged; a line may have 1 MiB.
_MAX_REASON_BYTES = 200


@final
class LineLink(EndpointLink):  # noqa: WPS214
    """One connection to one endpoint.

    Args:
        stream: The connection.
        endpoint_id: The endpoint, for error messages.
    """

    __slots__ = (
        '_endpoint_id',
        '_position',
        '_reader',
        '_status',
        '_stream',
        'prepared',
        'values',
    )

    def __init__(self, stream: SocketStream, endpoint_id: str) -> None:
        self._stream = stream
        self._reader = LineReader(stream)
        self._endpoint_id = endpoint_id
        self._status = TransactionStatus.IDLE
        self._position: Position | None = None
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[Prepared, bytes] = {}

    @property
    def status(self) -> TransactionStatus:
        """The transaction state that the endpoint reported last."""
        return self._status

    @property
    def position(self) -> Position | None:
        """Log position that the endpoint reported last, if any."""
        return self._position

    @property
    def is_alive(self) -> bool:
        """Whether the connection is not known to have ended."""
        return not has_pending_input(self._stream)

    async def start(self, service: str, name: str) -> None:
        """Open the session.

        Args:
            service: Group of the endpoint.
            name: Organisation or process that it belongs to.

        Raises:
            EndpointError: The endpoint refused, or the name cannot be sent.
        """
        if not is_field(name):
            raise EndpointError('unusable name', was_sent=False)
        await self._send(
            ' '.join(
                ('STARTUP', service, name, self._endpoint_id),
            ).encode('ascii')
            + b'\r\n',
        )
        line = await self._read()
        word, _, rest = line.partition(b' ')
        if word == b'ERROR':
            raise LinkRefusedError(
                _parse_refusal(rest).failure,
                rest[:_MAX_REASON_BYTES].decode('ascii', 'replace'),
            )
        if word != b'READY':
            raise EndpointError('malformed answer', was_sent=False)

    async def run(
        self,
        statement: Statement,
        after: Position | None = None,
        alias: bytes = b'',
    ) -> Reply:
        """Run a caller's statement."""
        text = statement.text
        if statement.kind is Kind.EXECUTE:
            text = b'EXECUTE %b %b' % (alias, statement.operand)
        return await self._exchange(statement.request_id, text, after)

    async def begin(
        self,
        *,
        is_read_only: bool,
        after: Position | None,
    ) -> Reply:
        """Begin a transaction."""
        text = b'BEGIN READ' if is_read_only else b'BEGIN'
        return await self._exchange(_GATEWAY_REQUEST_ID, text, after)

    async def roll_back(self) -> Reply:
        """Roll the transaction back."""
        return await self._exchange(_GATEWAY_REQUEST_ID, b'ROLLBACK')

    async def configure(
        self,
        values: dict[bytes, bytes],
        prepared: Prepared | None,
        *,
        is_reset: bool,
    ) -> bool:
        """Set values and prepare a statement, in one round trip."""
        texts = [b'RESET'] if is_reset else []
        if is_reset:
            self.values = {}
            self.prepared = {}
        texts.extend(b'SET %b %b' % item for item in values.items())
        if prepared is not None:
            alias = b'p%d' % len(self.prepared)
            mode = b'WRITE' if prepared.is_write else b'READ'
            texts.append(b'PREPARE %b %b %b' % (alias, mode, prepared.shape))
            self.prepared[prepared] = alias
        self.values.update(values)
        await self._send(
            b''.join(_encode(_GATEWAY_REQUEST_ID, text) for text in texts)
        )
        replies = [
            await self._read_reply()  # noqa: WPS476
            for _ in texts
        ]
        return all(reply.refusal is None for reply in replies)

    async def fetch_state(self) -> EndpointState | None:
        """Return the endpoint's state; ``None`` if it sent no valid one."""
        return await self._command(b'STATUS')

    async def demote(self, term: int) -> EndpointState | None:
        """Make a primary of a term below ``term`` a replica."""
        return await self._command(b'DEMOTE %d' % term)

    async def probe(self) -> None:
        """Check that the endpoint answers."""
        await self.configure({}, None, is_reset=True)

    async def close(self) -> None:
        """Close without waiting for the endpoint."""
        await anyio.aclose_forcefully(self._stream)

    async def _command(self, text: bytes) -> EndpointState | None:
        reply = await self._exchange(_GATEWAY_REQUEST_ID, text)
        if reply.refusal is not None or not reply.rows:
            return None
        return _parse_state(reply.rows[0])

    async def _exchange(
        self,
        request_id: bytes,
        text: bytes,
        after: Position | None = None,
    ) -> Reply:
        if after is not None:
            text = b'AFTER %d.%d %b' % (after.term, after.number, text)
        await self._send(_encode(request_id, text))
        return await self._read_reply()

    async def _read_reply(self) -> Reply:
        rows: list[bytes] = []
        word, rest = await self._read_message()
        while word == b'ROW':
            rows.append(rest)
            word, rest = await self._read_message()
        if word not in {b'COMPLETE', b'ERROR'}:
            raise EndpointError('malformed answer', was_sent=True)
        refusal = _parse_refusal(rest) if word == b'ERROR' else None
        ready, state = await self._read_message()
        letter, _, position = state.partition(b' ')
        status = parse_status(letter)
        if ready != b'READY' or status is None:
            raise EndpointError('incomplete answer', was_sent=True)
        self._status = status
        self._position = parse_position(position)
        return Reply(
            tuple(rows),
            b'' if refusal else rest,
            refusal,
            status,
            self._position,
        )

    async def _read_message(self) -> tuple[bytes, bytes]:
        word, _, rest = (await self._read()).partition(b' ')
        return word, rest

    async def _send(self, payload: bytes) -> None:
        try:
            await self._stream.send(payload)
        except DISCONNECT_ERRORS as error:
            raise EndpointError(repr(error), was_sent=True) from None

    async def _read(self) -> bytes:
        try:
            return await self._reader.read()
        except DISCONNECT_ERRORS as error:
            raise EndpointError(repr(error), was_sent=True) from None


@link_drivers.register('lines')
@final
class LineDriver(LinkDriver):
    """Opens links to endpoints that speak the session protocol."""

    async def connect(self, entry: EndpointEntry, name: str) -> LineLink:
        """Open a link and verify that ``entry`` is at its other end."""
        try:
            stream = await anyio.connect_tcp(entry.host, entry.port)
        except OSError as error:
            raise EndpointError(repr(error), was_sent=False) from None
        enable_keepalive(stream)
        link = LineLink(stream, entry.endpoint_id)
        try:
            await link.start(entry.service, name)
        except BaseException:
            await anyio.aclose_forcefully(stream)
            raise
        return link


def _encode(request_id: bytes, text: bytes) -> bytes:
    return b'QUERY %b %b\r\n' % (request_id, text)


def _parse_refusal(rest: bytes) -> Refusal:
    code, _, detail = rest.partition(b' ')
    return Refusal(FAILURES.get(code, Failure.FAILED), detail)


def _parse_state(row: bytes) -> EndpointState | None:
    fields = row.split(b' ')
    if len(fields) < _MIN_STATE_FIELDS or fields[0] not in _IS_PRIMARY_BY_ROLE:
        return None
    received = parse_position(fields[2]) or Position(0, 0)
    term, promised = parse_number(fields[1]), parse_number(fields[3])
    if term is None or promised is None:
        return None
    return EndpointState(
        _IS_PRIMARY_BY_ROLE[fields[0]], term, received, promised
    )
