"""HTTP stand-in for the platform's service, with fault injection."""

from dataclasses import dataclass
from typing import final

import anyio
import msgspec
from anyio.abc import TaskStatus

from catkincrank.errors import ConflictError
from catkincrank.httpserver import HttpRequest, HttpResponse, HttpServer
from catkincrank.store import Row, VirtualMachine
from catkincrank.stores.http import (
    CHANGE_HEADER,
    EXPECTED_HEADER,
    VERSION_HEADER,
)
from catkincrank.stores.table import Table

__all__ = ('StoreFaults', 'StandinStoreServer')

_NOT_FOUND_STATUS = 404
_NOT_FOUND = HttpResponse(status=_NOT_FOUND_STATUS)
_CONFLICT_STATUS = 409
_TABLE_PATH = '/table/'
_OBJECT_PATH = '/object/'
_BINARY = 'application/octet-stream'


@final
@dataclass(slots=True)
class StoreFaults:
    """Injected faults of the service.

    Attributes:
        is_down: Whether connections are closed without an answer.
        delay_s: Time that each request takes, in seconds.
        lost_answers: Number of further writes that take effect but get no
            answer.
        stale_machines: VM list that is returned instead of the current one.
    """

    is_down: bool = False
    delay_s: float = 0
    lost_answers: int = 0
    stale_machines: list[VirtualMachine] | None = None


@final
class StandinStoreServer:
    """Serves tables, objects and the VM list."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.table = Table()
        self.reads = 0
        self.writes = 0
        self._server = HttpServer(
            {
                'GET /table/*': self._read,
                'PUT /table/*': self._write,
                'GET /scan': self._scan,
                'GET /object/*': self._get_object,
                'PUT /object/*': self._put_object,
                'GET /machines': self._list_machines,
            }
        )

    @property
    def address(self) -> str:
        """URL of the service."""
        return 'http://127.0.0.1:{0}'.format(self._server.port)

    async def serve(
        self,
        *,
        task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        await self._server.serve(task_status=task_status)

    async def _read(self, request: HttpRequest) -> HttpResponse | None:
        if not await self._admit_read():
            return None
        row = self.table.read(request.path.removeprefix(_TABLE_PATH))
        return _NOT_FOUND if row is None else _respond_with_row(row)

    async def _write(self, request: HttpRequest) -> HttpResponse | None:
        if not await self._admit_write():
            return None
        try:
            row = self.table.write(
                request.path.removeprefix(_TABLE_PATH),
                request.body,
                int(request.headers[EXPECTED_HEADER]),
                request.headers[CHANGE_HEADER],
            )
        except ConflictError as conflict:
            fields = {VERSION_HEADER: str(conflict.found)}
            return HttpResponse(status=_CONFLICT_STATUS, headers=fields)
        return None if self._loses_answer() else _respond_with_row(row)

    async def _scan(self, request: HttpRequest) -> HttpResponse | None:
        if not await self._admit_read():
            return None
        rows = self.table.scan(
            request.query.get('prefix', ''),
            request.query.get('after', ''),
        )
        return HttpResponse(msgspec.msgpack.encode(rows), content_type=_BINARY)

    async def _get_object(self, request: HttpRequest) -> HttpResponse | None:
        if not await self._admit_read():
            return None
        body = self.table.get_object(request.path.removeprefix(_OBJECT_PATH))
        if body is None:
            return _NOT_FOUND
        return HttpResponse(body, content_type=_BINARY)

    async def _put_object(self, request: HttpRequest) -> HttpResponse | None:
        if not await self._admit_write():
            return None
        name = request.path.removeprefix(_OBJECT_PATH)
        self.table.put_object(name, request.body)
        return None if self._loses_answer() else HttpResponse()

    async def _list_machines(
        self,
        request: HttpRequest,
    ) -> HttpResponse | None:
        if not await self._admit_read():
            return None
        listed = self.faults.stale_machines
        if listed is None:
            listed = self.table.machines
        body = msgspec.msgpack.encode(listed)
        return HttpResponse(body, content_type=_BINARY)

    async def _admit_read(self) -> bool:
        self.reads += 1
        await anyio.sleep(self.faults.delay_s)
        return not self.faults.is_down

    async def _admit_write(self) -> bool:
        self.writes += 1
        await anyio.sleep(self.faults.delay_s)
        return not self.faults.is_down

    def _loses_answer(self) -> bool:
        is_lost = self.faults.lost_answers > 0
        self.faults.lost_answers -= int(is_lost)
        return is_lost


def _respond_with_row(row: Row) -> HttpResponse:
    fields = {VERSION_HEADER: str(row.version), CHANGE_HEADER: row.change_id}
    return HttpResponse(row.body, content_type=_BINARY, headers=fields)
