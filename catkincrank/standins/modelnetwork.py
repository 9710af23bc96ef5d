"""Network of a model group: delay, partitions, pauses and a fault hook."""

import enum
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias, final

import anyio
from anyio.abc import TaskGroup

__all__ = ('Hook', 'ModelNetwork', 'ModelPath', 'Step', 'StepEvent')


@final
class Step(enum.Enum):
    """Steps of a statement on its way to an instance and back."""

    SENDING = 'sending'
    ARRIVED = 'arrived'
    RAN = 'ran'


@final
@dataclass(frozen=True, slots=True)
class StepEvent:
    """A statement whose step is reported to the hook.

    Attributes:
        origin: Name of the process that sends it.
        endpoint: Name of the instance that it is sent to.
        sql: Its text, or the name of a control call.
        connection_id: Unique number of the connection.
        owner: First parameter, which names the request in a scenario;
            empty when there is none.
    """

    origin: str
    endpoint: str
    sql: str
    connection_id: int = 0
    owner: str = ''


Hook: TypeAlias = Callable[[StepEvent, Step], Awaitable[None]]


class Silenceable(Protocol):
    """A connection whose traffic can be dropped."""

    is_silent: bool


@final
class ModelNetwork:
    """Network between the processes and the instances.

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
        self._changed = anyio.Event()
        self._tasks: TaskGroup | None = None

    def set_task_group(self, tasks: TaskGroup) -> None:
        """Set the task group that runs the instances' work."""
        self._tasks = tasks

    def spawn(
        self, function: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        """Run ``function`` in the task group of the instances.

        Raises:
            RuntimeError: No task group is set.
        """
        if self._tasks is None:
            raise RuntimeError('the network is not running')
        self._tasks.start_soon(function, *args)

    def notify_waiters(self) -> None:
        """Wake all tasks that wait for a change."""
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        """Wait for the next change of the network or a statement."""
        await self._changed.wait()

    def cut(self, one: str, other: str) -> None:
        """Cut two names off from each other."""
        self.cuts.add(frozenset((one, other)))
        self.notify_waiters()

    def isolate(self, name: str, others: Iterable[str]) -> None:
        """Cut a name off from ``others``."""
        for other in others:
            if other != name:
                self.cut(name, other)

    def heal(self) -> None:
        """End every cut; traffic that was held up arrives late."""
        self.cuts.clear()
        self.notify_waiters()

    def is_cut(self, one: str, other: str) -> bool:
        """Whether two names are cut off from each other."""
        return frozenset((one, other)) in self.cuts

    def pause(self, origin: str) -> None:
        """Pause a process, as a stopped VM would be."""
        self._paused.add(origin)

    def resume(self, origin: str) -> None:
        """Let a paused process continue."""
        self._paused.discard(origin)
        self.notify_waiters()

    async def wait_unpaused(self, origin: str) -> None:
        """Wait while a process is paused."""
        while origin in self._paused:
            await self.wait_for_change()


@final
class ModelPath:
    """Path between one process and one instance.

    Args:
        network: The network.
        origin: Name of the process.
        endpoint: Name of the instance.
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
        self.notify_waiters = network.notify_waiters

    @property
    def is_cut(self) -> bool:
        """Whether both ends are cut off from each other."""
        return self._network.is_cut(self.origin, self._endpoint)

    async def wait_for_change(self) -> None:
        """Wait for a change, and until the process is not paused."""
        await self._network.wait_for_change()
        await self._network.wait_unpaused(self.origin)

    async def traverse(self, connection: Silenceable) -> None:
        """Pass the network once; a cut only delays, as TCP retransmits."""
        if self._network.delay_s:
            await anyio.sleep(self._network.delay_s)
        while self.is_cut or connection.is_silent:
            await self._network.wait_for_change()

    async def report_step(self, event: StepEvent, step: Step) -> None:
        """Report a step of a statement to the hook."""
        if self._network.hook is not None:
            await self._network.hook(event, step)
