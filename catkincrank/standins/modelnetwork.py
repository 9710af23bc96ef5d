"""Network of a model group: delays, cuts, pauses and scripted faults."""

import enum
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias, final

import anyio
from anyio.abc import TaskGroup

__all__ = ('Hook', 'ModelNetwork', 'ModelPath', 'Step', 'StepEvent')


@final
class Step(enum.Enum):
    """How far a statement has come."""

    SENDING = 'sending'
    ARRIVED = 'arrived'
    RAN = 'ran'


@final
@dataclass(frozen=True, slots=True)
class StepEvent:
    """A statement on its way.

    Attributes:
        origin: Process that sends it.
        endpoint: Instance that it is for.
        sql: Its text, or the name of a control call.
        connection_id: Number of the connection.
        owner: First parameter, which names the request in a scenario.
    """

    origin: str
    endpoint: str
    sql: str
    connection_id: int = 0
    owner: str = ''


Hook: TypeAlias = Callable[[StepEvent, Step], Awaitable[None]]


class Silenceable(Protocol):
    """A connection that can fall silent."""

    is_silent: bool


@final
class ModelNetwork:
    """What lies between the processes and the instances.

    Attributes:
        delay_s: One-way delay.
        hook: Called at each step of each statement, e.g. to cause a fault.
        cuts: Pairs of names that are cut off from each other.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.hook: Hook | None = None
        self.cuts: set[frozenset[str]] = set()
        self._paused: set[str] = set()
        self._news = anyio.Event()
        self._tasks: TaskGroup | None = None

    def run_in(self, tasks: TaskGroup) -> None:
        """Run what the instances do in ``tasks``."""
        self._tasks = tasks

    def spawn(
        self, function: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        """Let the instances' side do something on its own."""
        if self._tasks is None:
            raise RuntimeError('the network is not running')
        self._tasks.start_soon(function, *args)

    def wake(self) -> None:
        """Let whoever waits look again."""
        news = self._news
        self._news = anyio.Event()
        news.set()

    async def changed(self) -> None:
        """Wait until something changed."""
        await self._news.wait()

    def cut(self, one: str, other: str) -> None:
        """Cut two names off from each other."""
        self.cuts.add(frozenset((one, other)))
        self.wake()

    def isolate(self, name: str, others: Iterable[str]) -> None:
        """Cut a name off from ``others``."""
        for other in others:
            if other != name:
                self.cut(name, other)

    def heal(self) -> None:
        """End every cut; what was on the way arrives late."""
        self.cuts.clear()
        self.wake()

    def is_cut(self, one: str, other: str) -> bool:
        """Whether two names are cut off from each other."""
        return frozenset((one, other)) in self.cuts

    def pause(self, origin: str) -> None:
        """Stop a process without its knowledge."""
        self._paused.add(origin)

    def resume(self, origin: str) -> None:
        """Let a paused process run on."""
        self._paused.discard(origin)
        self.wake()

    async def wait_unpaused(self, origin: str) -> None:
        """Wait while a process is paused."""
        while origin in self._paused:
            await self.changed()


@final
class ModelPath:
    """Way between one process and one instance.

    Args:
        network: The network.
        origin: The process.
        endpoint: The instance.
    """

    def __init__(
        self,
        network: ModelNetwork,
        origin: str,
        endpoint: str,
    ) -> None:
        self.origin = origin
        self._network = network
        self._endpoint = endpoint
        self.spawn = network.spawn
        self.wake = network.wake

    @property
    def is_cut(self) -> bool:
        """Whether nothing passes."""
        return self._network.is_cut(self.origin, self._endpoint)

    async def changed(self) -> None:
        """Wait until something changed; a paused process notices later."""
        await self._network.changed()
        await self._network.wait_unpaused(self.origin)

    async def cross(self, connection: Silenceable) -> None:
        """Take the way once; a cut only delays, as TCP sends again."""
        if self._network.delay_s:
            await anyio.sleep(self._network.delay_s)
        while self.is_cut or connection.is_silent:
            await self._network.changed()

    async def step(self, event: StepEvent, step: Step) -> None:
        """Tell the hook how far a statement has come."""
        if self._network.hook is not None:
            await self._network.hook(event, step)
