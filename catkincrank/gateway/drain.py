"""Serves callers, and stops without cutting a request."""

from collections.abc import Awaitable, Callable
from typing import final

import anyio
from anyio.abc import Listener, TaskGroup

from catkincrank.gateway.carrierservice import CarrierService
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.sessionserver import SessionServer
from catkincrank.logs import log_event

__all__ = ('Drain',)

# The balancer asks each second and stops sending callers after two misses.
_ROTATION_S = 2.2
# What is left of the grace when the process ends by itself.
_EXIT_MARGIN_S = 0.4
_STEP_S = 0.05


@final
class Drain:
    """Listens for callers until the process is to stop.

    Args:
        front: Serves callers.
        carriage: Carries statements of other processes.
        options: Options of the process.
        leave: Tells the fleet that this process goes.

    Attributes:
        is_started: Whether the process is stopping.
        is_listening: Whether callers can connect.
    """

    __slots__ = (
        '_carriage',
        '_front',
        '_leave',
        '_options',
        '_started',
        'is_listening',
        'is_started',
    )

    def __init__(
        self,
        front: SessionServer,
        carrier_service: CarrierService,
        options: GatewayOptions,
        leave: Callable[[], Awaitable[None]],
    ) -> None:
        self._front = front
        self._carriage = carrier_service
        self._options = options
        self._leave = leave
        self._started = anyio.Event()
        self.is_started = False
        self.is_listening = False

    def start(self) -> None:
        """Begin to stop; a second call changes nothing."""
        if not self.is_started:
            self.is_started = True
            self._carriage.is_leaving = True
            self._started.set()
            log_event('drain_started', callers=len(self._front.callers))

    async def run(self) -> None:
        """Serve callers; return when the process may end."""
        address = self._options.callers
        listener = await anyio.create_tcp_listener(
            local_host=address.host,
            local_port=address.port,
            backlog=1024,
        )
        async with anyio.create_task_group() as tasks:
            accepting = anyio.CancelScope()
            tasks.start_soon(self._accept, listener, accepting, tasks)
            self.is_listening = True
            await self._started.wait()
            ends_at = (
                anyio.current_time() + self._options.grace_s - _EXIT_MARGIN_S
            )
            await anyio.sleep(min(_ROTATION_S, self._options.grace_s / 2))
            accepting.cancel()
            await self._finish(ends_at)
            tasks.cancel_scope.cancel()
        await self._leave()
        log_event('drain_finished', callers=len(self._front.callers))

    async def _accept(
        self,
        listener: Listener,
        accepting: anyio.CancelScope,
        tasks: TaskGroup,
    ) -> None:
        """Serve callers in ``tasks``, so that they outlast the listener."""
        with accepting:
            await listener.serve(self._front.serve, tasks)
        await listener.aclose()
        self.is_listening = False

    async def _finish(self, ends_at: float) -> None:
        while self._count_busy() and anyio.current_time() < ends_at:
            self._front.close_idle()
            await anyio.sleep(_STEP_S)

    def _count_busy(self) -> int:
        return len(self._front.callers) + len(self._carriage.busy)
