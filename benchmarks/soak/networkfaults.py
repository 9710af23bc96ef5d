"""TCP relay on a loopback port that harms the connections it carries."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from catkincrank.gateway.callers import DISCONNECT_ERRORS

__all__ = ('EVERYONE', 'Harm', 'Wire')

EVERYONE = ''
_HOST = '127.0.0.1'
_READ_BYTES = 65536
_RESET = struct.pack('ii', 1, 0)
_FAILURES = (*DISCONNECT_ERRORS, OSError)
# Third field of the first line on connections to endpoints.
_NAME_FIELD = 2


@final
@dataclass(frozen=True, slots=True)
class Harm:
    """What happens to connections.

    Attributes:
        delay_s: Time added to each piece of data, in seconds.
        holds_requests: Whether nothing gets through towards the server.
        holds_answers: Whether nothing gets through towards the client.
        refuses: Whether new connections are reset at once.
    """

    delay_s: float = 0
    holds_requests: bool = False
    holds_answers: bool = False
    refuses: bool = False


_UNHARMED = Harm()


@final
@dataclass(slots=True)
class _Carried:
    """One relayed connection and the name its client gave."""

    client: SocketStream
    server: SocketStream
    name: str = EVERYONE
    is_named: bool = False


@final
class Wire:
    """Relays connections to one server.

    Data that is held back is delivered once the harm is over, as TCP would.

    Args:
        find_port: Returns the port of the server.

    Attributes:
        port: Port to connect to instead.
    """

    def __init__(self, find_port: Callable[[], int]) -> None:
        self.port = 0
        self._find_port = find_port
        self._harms: dict[str, Harm] = {}
        self._changed = anyio.Event()
        self._carried: list[_Carried] = []

    def harm(self, harm: Harm | None, name: str = EVERYONE) -> None:
        """Harm the connections of a client, or of all; ``None`` heals."""
        self._harms[name] = harm or _UNHARMED
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def reset(self, name: str = EVERYONE) -> None:
        """Reset the connections of a client, or all."""
        for one in tuple(self._carried):
            if name in {EVERYONE, one.name}:
                await _reset(one.client)  # noqa: WPS476
                await _reset(one.server)  # noqa: WPS476

    async def run(
        self,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=_HOST)
        self.port = listener.extra(SocketAttribute.local_port)
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    async def _serve(self, client: SocketStream) -> None:
        if self._find(EVERYONE).refuses:
            await _reset(client)
            return
        try:
            server = await anyio.connect_tcp(_HOST, self._find_port())
        except OSError:
            await _reset(client)
            return
        carried = _Carried(client, server)
        self._carried.append(carried)
        async with client, server:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._carry_requests, carried)
                tasks.start_soon(self._carry_answers, carried)
        self._carried.remove(carried)

    async def _carry_requests(self, carried: _Carried) -> None:
        try:
            while True:
                data = await carried.client.receive(_READ_BYTES)
                _name(carried, data)
                await self._pass(carried, 'holds_requests')
                await carried.server.send(data)
        except _FAILURES:
            await self._end(carried, carried.server, 'holds_requests')

    async def _carry_answers(self, carried: _Carried) -> None:
        try:
            while True:
                data = await carried.server.receive(_READ_BYTES)
                await self._pass(carried, 'holds_answers')
                await carried.client.send(data)
        except _FAILURES:
            await self._end(carried, carried.client, 'holds_answers')

    async def _pass(self, carried: _Carried, hold: str) -> None:
        await anyio.sleep(self._find(carried.name).delay_s)
        while getattr(self._find(carried.name), hold):
            await self._changed.wait()

    async def _end(
        self,
        carried: _Carried,
        onward: SocketStream,
        hold: str,
    ) -> None:
        """Carry the end of the stream, which is held back like data."""
        await self._pass(carried, hold)
        await anyio.aclose_forcefully(onward)

    def _find(self, name: str) -> Harm:
        of_all = self._harms.get(EVERYONE, _UNHARMED)
        if of_all is not _UNHARMED:
            return of_all
        return self._harms.get(name, _UNHARMED)


def _name(carried: _Carried, data: bytes) -> None:
    """Take the client's name from the first data of a connection."""
    if carried.is_named:
        return
    carried.is_named = True
    fields = data.split(b' ', _NAME_FIELD + 1)
    if data.startswith(b'STARTUP') and len(fields) > _NAME_FIELD:
        carried.name = fields[_NAME_FIELD].decode('ascii', 'replace')


async def _reset(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except OSError:
        return
    await anyio.aclose_forcefully(stream)
