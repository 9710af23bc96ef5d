"""A group of instances in memory: stand-ins connected without sockets.

Tests and the fault matrix run it in virtual time. Each process that connects
to the group has a name, its origin, by which it can be cut off or paused.
"""

from collections.abc import Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self, final

import anyio

from catkincrank.endpoint import (
    Credential,
    Driver,
    EndpointAddress,
    EndpointConnection,
)
from catkincrank.endpoints.conninfo import Upstream, format_upstream
from catkincrank.errors import EndpointError
from catkincrank.instance import Ballot, Role
from catkincrank.standins.instance import InstanceOptions, StandinInstance
from catkincrank.standins.modelconnection import ModelConnection
from catkincrank.standins.modelnetwork import ModelNetwork, ModelPath
from catkincrank.standins.modelserver import ModelServer
from catkincrank.standins.replication import Lag, Receiver

__all__ = ('ModelDriver', 'ModelGroup')

_DEFAULT_NAMES = ('a', 'b', 'c')
_FIRST_BALLOT = Ballot(1, 'initial')
_HOST = '127.0.0.1'
_CONNECTION_LIMIT_ERROR = 'too many clients'


@final
class ModelGroup:
    """Instances in memory that replicate a log; an async context manager.

    Args:
        names: Names of the instances; the first one starts as primary.
        options: Limits and delays of each instance.
        delay_s: One-way delay of the network.
        network: Network to share with other groups; a new one by default.

    Attributes:
        network: Network between processes and instances.
        servers: Instances with their connections, by name.
    """

    def __init__(
        self,
        names: Sequence[str] = _DEFAULT_NAMES,
        options: InstanceOptions | None = None,
        *,
        delay_s: float = 0,
        network: ModelNetwork | None = None,
    ) -> None:
        self.network = network or ModelNetwork(delay_s)
        self.servers: dict[str, ModelServer] = {}
        self._receivers: dict[str, Receiver] = {}
        self._stack = AsyncExitStack()
        for name in names:
            instance = StandinInstance(name, options or InstanceOptions())
            self.servers[name] = ModelServer(instance)

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        tasks = await self._stack.enter_async_context(
            anyio.create_task_group(),
        )
        self._stack.callback(tasks.cancel_scope.cancel)
        self.network.set_task_group(tasks)
        for name, server in self.servers.items():
            server.instance.start()
            receiver = Receiver(server, self.servers, self.network.cuts)
            self._receivers[name] = receiver
            tasks.start_soon(receiver.run)
        self._set_first_primary(next(iter(self.servers)))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(kind, error, traceback)

    def addresses(self) -> dict[str, EndpointAddress]:
        """Return the address of each instance."""
        return {
            name: EndpointAddress(name, _HOST, number)
            for number, name in enumerate(self.servers, start=1)
        }

    def driver(self, origin: str) -> 'ModelDriver':
        """Return the driver of the process ``origin``."""
        return ModelDriver(self, origin)

    def instance(self, name: str) -> StandinInstance:
        """Return an instance."""
        return self.servers[name].instance

    def kill(self, name: str, *, keep_state: bool = True) -> None:
        """Stop an instance and reset its connections."""
        self.instance(name).stop(keep_state=keep_state)
        self.servers[name].reset_connections()

    def restart(self, name: str) -> None:
        """Start a killed instance again."""
        self.instance(name).start()

    def freeze(self, name: str) -> None:
        """Freeze an instance: its connections stay open without an answer."""
        self.instance(name).freeze()

    def resume(self, name: str) -> None:
        """End a freeze."""
        self.instance(name).resume()

    def silence(self, origin: str) -> None:
        """Drop all traffic on the open connections of a process for good."""
        for server in self.servers.values():
            for connection in server.connections:
                if connection.origin == origin:
                    connection.is_silent = True

    def set_lag(self, name: str, ship_s: float, apply_s: float = 0) -> None:
        """Set the replication lag of a replica."""
        self._receivers[name].lag = Lag(ship_s, apply_s)

    def _set_first_primary(self, primary: str) -> None:
        address = self.addresses()[primary]
        conninfo = format_upstream(Upstream(address, _FIRST_BALLOT))
        for server in self.servers.values():
            server.instance.conninfo = conninfo
        self.instance(primary).role = Role.PRIMARY


@final
class ModelDriver(Driver):
    """Opens connections to the instances of a model group.

    Args:
        group: The group.
        origin: Name of the process that opens them.
    """

    def __init__(self, group: ModelGroup, origin: str) -> None:
        self._group = group
        self._origin = origin

    async def connect(
        self,
        address: EndpointAddress,
        credential: Credential,
        application: str,
    ) -> EndpointConnection:
        """Open a connection; waits while the path or instance is blocked."""
        network = self._group.network
        server = self._group.servers[address.endpoint]
        instance = server.instance
        path = ModelPath(network, self._origin, address.endpoint)
        await network.wait_unpaused(self._origin)
        while path.is_cut:
            await path.wait_for_change()
        await instance.wait_running()
        await anyio.sleep(instance.options.connect_s)
        if not instance.is_serving:
            raise EndpointError('connection refused', was_sent=False)
        if len(server.connections) >= instance.options.connections:
            raise EndpointError(_CONNECTION_LIMIT_ERROR, was_sent=False)
        return ModelConnection(server, path, application)
