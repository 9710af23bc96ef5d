"""A group of instances in memory: the stand-in's engine without sockets.

Tests and the fault matrix run it in virtual time. Each process that talks to
the group has a name, its origin, so that it can be cut off or paused alone.
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

_NAMES = ('a', 'b', 'c')
_FIRST_BALLOT = Ballot(1, 'initial')
_HOST = '127.0.0.1'
_TOO_MANY = 'too many clients'


@final
class ModelGroup:
    """Instances that replicate a log; an async context manager.

    Args:
        names: Names of the instances; the first begins as primary.
        options: Limits and delays of each instance.
        delay_s: One-way delay of the network.
        network: Network to use, shared between groups.

    Attributes:
        network: Network between processes and instances.
        servers: Instances with their connections, by name.
    """

    def __init__(
        self,
        names: Sequence[str] = _NAMES,
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
        self.network.run_in(tasks)
        for name, server in self.servers.items():
            server.instance.start()
            receiver = Receiver(server, self.servers, self.network.cuts)
            self._receivers[name] = receiver
            tasks.start_soon(receiver.run)
        self._appoint(next(iter(self.servers)))
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
        """Return the driver that the process ``origin`` uses."""
        return ModelDriver(self, origin)

    def instance(self, name: str) -> StandinInstance:
        """Return an instance."""
        return self.servers[name].instance

    def kill(self, name: str, *, keep_state: bool = True) -> None:
        """End an instance; its connections are reset."""
        self.instance(name).stop(keep_state=keep_state)
        self.servers[name].drop_sessions()

    def restart(self, name: str) -> None:
        """Start a killed instance again."""
        self.instance(name).start()

    def freeze(self, name: str) -> None:
        """Let an instance stand still without closing anything."""
        self.instance(name).freeze()

    def resume(self, name: str) -> None:
        """End a freeze."""
        self.instance(name).resume()

    def silence(self, origin: str) -> None:
        """Let the open connections of a process never answer again."""
        for server in self.servers.values():
            for connection in server.connections:
                if connection.origin == origin:
                    connection.is_silent = True

    def set_lag(self, name: str, ship_s: float, apply_s: float = 0) -> None:
        """Set how far a replica stays behind."""
        self._receivers[name].lag = Lag(ship_s, apply_s)

    def _appoint(self, primary: str) -> None:
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
        origin: The process that opens them.
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
        """Open a connection; takes as long as the instance needs."""
        network = self._group.network
        server = self._group.servers[address.endpoint]
        instance = server.instance
        path = ModelPath(network, self._origin, address.endpoint)
        await network.wait_unpaused(self._origin)
        while path.is_cut:
            await path.changed()
        await instance.wait_running()
        await anyio.sleep(instance.options.connect_s)
        if not instance.is_serving:
            raise EndpointError('connection refused', was_sent=False)
        if len(server.connections) >= instance.options.connections:
            raise EndpointError(_TOO_MANY, was_sent=False)
        return ModelConnection(server, path, application)
