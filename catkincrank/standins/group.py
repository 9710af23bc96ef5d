"""A group of stand-in instances in one process, with fault injection."""

from collections.abc import Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self, final

import anyio

from catkincrank.endpoint import Credential, EndpointAddress
from catkincrank.endpoints.conninfo import Upstream, format_upstream
from catkincrank.instance import Ballot, Role
from catkincrank.standins.instance import InstanceOptions, StandinInstance
from catkincrank.standins.replication import Lag, Receiver
from catkincrank.standins.server import StandinServer

__all__ = ('StandinGroup',)

_HOST = '127.0.0.1'
_DEFAULT_NAMES = ('a', 'b', 'c')
_FIRST_BALLOT = Ballot(1, 'initial')


@final
class StandinGroup:
    """Instances with sockets that replicate a log; an async context manager.

    Args:
        names: Names of the endpoints; the first one starts as primary.
        options: Limits and delays of each instance.
    """

    def __init__(
        self,
        names: Sequence[str] = _DEFAULT_NAMES,
        options: InstanceOptions | None = None,
    ) -> None:
        self._options = options or InstanceOptions()
        self._names = tuple(names)
        self._servers: dict[str, StandinServer] = {}
        self._receivers: dict[str, Receiver] = {}
        self._cuts: set[frozenset[str]] = set()
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        for server in self._servers.values():
            server.stop()
        return await self._stack.__aexit__(kind, error, traceback)

    @property
    def credential(self) -> Credential:
        """Credential that every instance accepts."""
        return Credential(
            self._options.user,
            self._options.password,
            'postgres',
        )

    @property
    def primary(self) -> str:
        """Name of the primary with the highest term; empty when none."""
        primaries = [
            instance
            for instance in self.instances()
            if instance.role is Role.PRIMARY and instance.is_serving
        ]
        best = max(
            primaries,
            key=lambda instance: instance.log.history.term,
            default=None,
        )
        return best.name if best else ''

    def instances(self) -> list[StandinInstance]:
        """Return the instances."""
        return [server.instance for server in self._servers.values()]

    def addresses(self) -> dict[str, EndpointAddress]:
        """Return the address of each instance."""
        return {
            name: EndpointAddress(name, _HOST, server.port)
            for name, server in self._servers.items()
        }

    async def start(self) -> None:
        """Start the instances and log replication between them."""
        tasks = await self._stack.enter_async_context(
            anyio.create_task_group(),
        )
        self._stack.callback(tasks.cancel_scope.cancel)
        for name in self._names:
            instance = StandinInstance(name, self._options)
            self._servers[name] = StandinServer(instance)
            await self._servers[name].start()  # noqa: WPS476
        self._set_first_primary(self._names[0])
        for name, server in self._servers.items():
            receiver = Receiver(server, self._servers, self._cuts)
            self._receivers[name] = receiver
            tasks.start_soon(receiver.run)

    def kill(self, name: str, *, keep_state: bool = True) -> None:
        """Stop an instance and reset its connections.

        Args:
            name: The endpoint.
            keep_state: Whether its data survives until a restart.
        """
        self._servers[name].stop(keep_state=keep_state)

    async def restart(self, name: str) -> None:
        """Start a killed instance again on the same port."""
        await self._servers[name].start()

    def freeze(self, name: str) -> None:
        """Freeze an instance: it accepts bytes, but does not answer."""
        self._servers[name].instance.freeze()

    def resume(self, name: str) -> None:
        """End a freeze."""
        self._servers[name].instance.resume()

    def cut(self, one: str, other: str) -> None:
        """Stop replication between two instances."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Restore replication between all instances."""
        self._cuts.clear()

    def set_lag(self, name: str, ship_s: float, apply_s: float = 0) -> None:
        """Set the replication lag of a replica."""
        self._receivers[name].lag = Lag(ship_s, apply_s)

    def _set_first_primary(self, primary: str) -> None:
        address = self.addresses()[primary]
        for server in self._servers.values():
            upstream = Upstream(address, _FIRST_BALLOT)
            server.instance.conninfo = format_upstream(upstream)
        self._servers[primary].instance.role = Role.PRIMARY
