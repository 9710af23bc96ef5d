"""Injection of network faults into TCP connections."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from catkincrank.gateway.callers import DISCONNECT_ERRORS

__all__ = ('ALL_CLIENTS', 'NetworkFault', 'FaultInjector')

ALL_CLIENTS = ''
_HOST = '127.0.0.1'
_READ_BYTES = 65536
_LINGER_RESET = struct.pack('ii', 1, 0)
_FAILURES = (*DISCONNECT_ERRORS, OSError)
# The client's name is the third field of the first line on connections to
# endpoints.
_NAME_FIELD = 2


@final
@dataclass(frozen=True, slots=True)
class NetworkFault:
    """A fault that is injected into connections.

    Attributes:
        delay_s: Delay added to each chunk of data, in seconds.
        holds_requests: Whether data towards the server is held back.
        holds_answers: Whether data towards the client is held back.
        refuses: Whether new connections are reset at once.
    """

    delay_s: float = 0
    holds_requests: bool = False
    holds_answers: bool = False
    refuses: bool = False


_NO_FAULT = NetworkFault()


@final
@dataclass(slots=True)
class _Connection:
    """A forwarded connection and the name of its client."""

    client: SocketStream
    server: SocketStream
    name: str = ALL_CLIENTS
    is_named: bool = False


@final
class FaultInjector:
    """Forwards connections to one server and injects faults into them.

    Data that is held back is delivered after the fault is removed, as TCP
    delivers it by retransmission.

    Args:
        find_port: Returns the port of the server.

    Attributes:
        port: Port to connect to instead of the server's.
    """

    def __init__(self, find_port: Callable[[], int]) -> None:
        self.port = 0
        self._find_port = find_port
        self._faults: dict[str, NetworkFault] = {}
        self._changed = anyio.Event()
        self._connections: list[_Connection] = []

    def set_fault(
        self, fault: NetworkFault | None, name: str = ALL_CLIENTS
    ) -> None:
        """Inject a fault for one client or for all; ``None`` removes it."""
        self._faults[name] = fault or _NO_FAULT
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def reset(self, name: str = ALL_CLIENTS) -> None:
        """Reset the connections of one client or of all."""
        for one in tuple(self._connections):
            if name in {ALL_CLIENTS, one.name}:
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
        if self._find_fault(ALL_CLIENTS).refuses:
            await _reset(client)
            return
        try:
            server = await anyio.connect_tcp(_HOST, self._find_port())
        except OSError:
            await _reset(client)
            return
        connection = _Connection(client, server)
        self._connections.append(connection)
        async with client, server:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward_requests, connection)
                tasks.start_soon(self._forward_answers, connection)
        self._connections.remove(connection)

    async def _forward_requests(self, connection: _Connection) -> None:
        try:
            while True:
                data = await connection.client.receive(_READ_BYTES)
                _read_client_name(connection, data)
                await self._wait_for_release(connection, 'holds_requests')
                await connection.server.send(data)
        except _FAILURES:
            await self._forward_end(
                connection, connection.server, 'holds_requests'
            )

    async def _forward_answers(self, connection: _Connection) -> None:
        try:
            while True:
                data = await connection.server.receive(_READ_BYTES)
                await self._wait_for_release(connection, 'holds_answers')
                await connection.client.send(data)
        except _FAILURES:
            await self._forward_end(
                connection, connection.client, 'holds_answers'
            )

    async def _wait_for_release(
        self, connection: _Connection, hold_field: str
    ) -> None:
        await anyio.sleep(self._find_fault(connection.name).delay_s)
        while getattr(self._find_fault(connection.name), hold_field):
            await self._changed.wait()

    async def _forward_end(
        self,
        connection: _Connection,
        destination: SocketStream,
        hold_field: str,
    ) -> None:
        """Forward the end of the stream, which is held back like data."""
        await self._wait_for_release(connection, hold_field)
        await anyio.aclose_forcefully(destination)

    def _find_fault(self, name: str) -> NetworkFault:
        shared = self._faults.get(ALL_CLIENTS, _NO_FAULT)
        if shared is not _NO_FAULT:
            return shared
        return self._faults.get(name, _NO_FAULT)


def _read_client_name(connection: _Connection, data: bytes) -> None:
    """Read the client's name from the first data of a connection."""
    if connection.is_named:
        return
    connection.is_named = True
    fields = data.split(b' ', _NAME_FIELD + 1)
    if data.startswith(b'STARTUP') and len(fields) > _NAME_FIELD:
        connection.name = fields[_NAME_FIELD].decode('ascii', 'replace')


async def _reset(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    except OSError:
        return
    await anyio.aclose_forcefully(stream)
