"""Stand-in for the users' platform on loopback ports.

Its behaviour is implemented in ``standins``; this module serves the protocols.
"""

import base64
from collections.abc import Mapping
from typing import Any, final

import anyio
import msgspec
from anyio.abc import SocketAttribute, SocketStream

from catkincrank.connections import serve_connections
from catkincrank.errors import ConflictError, EndpointError
from catkincrank.gateway.callers import DISCONNECT_ERRORS
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.promoter import PromotionError
from catkincrank.gateway.reply import Failure, Refusal, Reply, refuse
from catkincrank.gateway.rowstore import Condition, Revision, RowChange
from catkincrank.gateway.statement import Kind, Statement
from catkincrank.httpserver import HttpRequest, HttpResponse, HttpServer
from catkincrank.platform.callers import LineCodec, parse_statement
from catkincrank.platform.codes import parse_position
from catkincrank.platform.documents import ROSTER_TABLE
from catkincrank.platform.lines import LineReader
from catkincrank.standins.memoryendpoints import (
    MemoryEndpoint,
    MemoryEndpointGroup,
    MemoryPromoter,
)
from catkincrank.standins.memorylink import MemoryLink, Run
from catkincrank.standins.memoryrows import MemoryRows

__all__ = ('PlatformStandIn',)

_HOST = '127.0.0.1'
_DISCONNECT_ERRORS = (*DISCONNECT_ERRORS, EndpointError)
_PRECONDITION_FAILED = 412
_PROMOTION_REFUSED = 409
_GONE = 410
_MS_PER_S = 1000


@final
class PlatformStandIn:
    """Serves the store, promotions and endpoints on loopback ports.

    Args:
        groups: Groups of endpoints by service.

    Attributes:
        rows: Rows of the store.
        runs: Statements that endpoints ran.
        promotions: Calls for promotions.
        ports: Ports by ``store``, ``promote`` and endpoint.
    """

    def __init__(self, groups: Mapping[str, MemoryEndpointGroup]) -> None:
        self.rows = MemoryRows()
        self.runs: list[Run] = []
        self.promotions: list[Any] = []
        self.ports: dict[str, int] = {}
        self._forwarding_ports: Mapping[str, int] = {}
        self._groups = dict(groups)

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        store = HttpServer(
            {
                'POST /v1/rows-tx': self._write,
                'GET /v1/rows-get': self._read,
                'GET /v1/rows-feed': self._follow,
            },
        )
        cloud = HttpServer({'POST /promote': self._promote})
        async with anyio.create_task_group() as tasks:
            self.ports['store'] = await tasks.start(store.serve)
            self.ports['promote'] = await tasks.start(cloud.serve)
            for group in self._groups.values():
                for instance in group.instances.values():
                    await tasks.start(  # noqa: WPS476
                        self._serve_endpoint,
                        group,
                        instance,
                    )
            self.register_all()
            task_status.started()

    def redirect_endpoints(self, ports: Mapping[str, int]) -> None:
        """Register endpoints at ports that forward to their own."""
        self._forwarding_ports = ports
        self.register_all()

    def register_all(self) -> None:
        """Write registrations of endpoints that are up; remove the others."""
        bodies = {
            instance.endpoint_id: self._describe(group, instance)
            if instance.is_up
            else None
            for group in self._groups.values()
            for instance in group.instances.values()
        }
        self.rows.write(ROSTER_TABLE, [], bodies)

    def _describe(
        self, group: MemoryEndpointGroup, instance: MemoryEndpoint
    ) -> bytes:
        endpoint_id = instance.endpoint_id
        port = self._forwarding_ports.get(endpoint_id, self.ports[endpoint_id])
        return msgspec.json.encode(
            {
                'service': group.service,
                'address': '{0}:{1}'.format(_HOST, port),
                'zone': 'zone-a',
                'version': 'v1',
                'slots': 3,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'db_role': 'primary' if instance.is_primary else 'replica',
                'seq': 1,
                'born': instance.born_ms,
            },
        )

    async def _write(self, request: HttpRequest) -> HttpResponse:
        asked = msgspec.json.decode(request.body)
        rows = (*asked['set_keys'], *asked['remove'])
        table = rows[0]['table']
        bodies = {
            row['key']: base64.b64decode(row['value'])
            for row in asked['set_keys']
        }
        bodies.update((row['key'], None) for row in asked['remove'])
        conditions = [
            Condition(row['key'], Revision(self.rows.era, row['ver']))
            for row in asked['precondition']
        ]
        try:
            revision = self.rows.write(table, conditions, bodies)
        except ConflictError:
            return self._stamp(b'{"rows":[]}', _PRECONDITION_FAILED)
        return self._answer({'ver': revision.version})

    async def _read(self, request: HttpRequest) -> HttpResponse:
        found = self.rows.list_rows(request.query['table'])
        live = [row for row in found if row.body is not None]
        return self._answer_rows(live)

    async def _follow(self, request: HttpRequest) -> HttpResponse:
        table = request.query['table']
        after = int(request.query['after'])
        if not self.rows.horizon <= after <= self.rows.version:
            return self._stamp(b'{}', _GONE)
        with anyio.move_on_after(int(request.query['wait_ms']) / _MS_PER_S):
            while not self.rows.list_rows(table, after):
                await self.rows.changed.wait()
        return self._answer_rows(self.rows.list_rows(table, after))

    def _answer_rows(self, rows: Any) -> HttpResponse:
        return self._answer(
            {
                'rows': [_encode_row(row) for row in rows],
                'truncated': False,
                'ver': self.rows.version,
            },
        )

    def _answer(self, content: dict[str, Any]) -> HttpResponse:
        return self._stamp(msgspec.json.encode(content))

    def _stamp(self, body: bytes, status: int = 200) -> HttpResponse:
        """Return an answer of the store with the era of its rows."""
        headers = {'store-era': str(self.rows.era)}
        return HttpResponse(body, status, headers=headers)

    async def _promote(self, request: HttpRequest) -> HttpResponse:
        asked = msgspec.json.decode(request.body)
        promoter = MemoryPromoter(
            self._groups,
            request.headers['duty-holder'],
            self.promotions,
        )
        token = int(request.headers['fencing-token'])
        try:
            await promoter.promote(asked['service'], asked['id'], token)
        except PromotionError:
            return HttpResponse(b'{}', _PROMOTION_REFUSED)
        self.register_all()
        return HttpResponse(b'{}')

    async def _serve_endpoint(
        self,
        group: MemoryEndpointGroup,
        instance: MemoryEndpoint,
        *,
        task_status: anyio.abc.TaskStatus[None],
    ) -> None:
        async def serve(stream: SocketStream) -> None:  # noqa: WPS430
            link = MemoryLink(group, instance, self.runs)
            async with stream:
                try:
                    await _serve_connection(stream, link)
                except _DISCONNECT_ERRORS:
                    return

        listener = await anyio.create_tcp_listener(local_host=_HOST)
        self.ports[instance.endpoint_id] = listener.extra(
            SocketAttribute.local_port,
        )
        async with listener:
            task_status.started()
            await serve_connections(listener, serve)


async def _serve_connection(stream: SocketStream, link: MemoryLink) -> None:
    """Serve one connection to an endpoint."""
    reader = LineReader(stream)
    codec = LineCodec(stream)
    startup = (await reader.read()).split(b' ')
    link.name = startup[2].decode('ascii', 'replace')
    if not link.instance.is_up:
        await anyio.sleep_forever()
    await stream.send(b'READY I 1.0\r\n')
    while True:
        _, request_id, text = (await reader.read()).split(b' ', 2)
        reply = await _answer_text(link, request_id, text)
        await codec.send(reply, reply.position)


async def _answer_text(
    link: MemoryLink,
    request_id: bytes,
    text: bytes,
) -> Reply:
    after = None
    if text.startswith(b'AFTER '):
        _, place, text = text.split(b' ', 2)
        after = parse_position(place)
    word, _, operand = text.partition(b' ')
    command = _COMMANDS.get(word)
    if command is not None:
        state = await getattr(link, command)(*map(int, operand.split()))
        if state is None:
            busy = Refusal(Failure.BUSY)
            return Reply((), b'', busy, link.status, link.position)
        return Reply((_encode_state(state),), b'-', status=link.status)
    statement = parse_statement(request_id, text)
    if statement.kind in {Kind.BEGIN, Kind.BEGIN_READ}:
        is_read_only = statement.kind is Kind.BEGIN_READ
        return await link.begin(is_read_only=is_read_only, after=after)
    if statement.kind is Kind.ROLLBACK:
        return await link.roll_back()
    return await _run_statement(link, statement, text, after)


async def _run_statement(
    link: MemoryLink,
    statement: Statement,
    text: bytes,
    after: Any,
) -> Reply:
    if text == b'RESET':
        await link.configure({}, None, is_reset=True)
    elif statement.kind is Kind.SET:
        values = {statement.name: statement.operand}
        await link.configure(values, None, is_reset=False)
    elif statement.kind is Kind.PREPARE:
        await link.configure({}, statement.prepared, is_reset=False)
    elif statement.kind is Kind.UNREADABLE:
        return refuse(Failure.MALFORMED, link.status)
    else:
        return await link.run(statement, after, statement.name)
    return Reply(status=link.status)


_COMMANDS = {  # noqa: WPS407
    b'STATUS': 'fetch_state',
    b'DEMOTE': 'demote',
}


def _encode_state(state: EndpointState) -> bytes:
    role = b'primary' if state.is_primary else b'replica'
    return b'%b %d %d.%d %d 0 0 1' % (
        role,
        state.term,
        state.received.term,
        state.received.number,
        state.promised,
    )


def _encode_row(row: RowChange) -> dict[str, Any]:
    if row.body is None:
        return {'key': row.key, 'ver': row.revision.version, 'removed': True}
    return {
        'key': row.key,
        'ver': row.revision.version,
        'value': base64.b64encode(row.body).decode('ascii'),
    }
