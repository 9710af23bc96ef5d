"""Accepts callers until the process drains, and lets open requests finish."""

from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from socket import socket
from typing import final

import anyio
from anyio.abc import Listener, SocketListener, SocketStream, TaskGroup

from catkincrank.connections import LimitedHandler, serve_connections
from catkincrank.earlylisteners import CALLER_BACKLOG
from catkincrank.gateway.callers import refuse_caller
from catkincrank.gateway.carrierservice import CarrierService
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.sessionserver import SessionServer
from catkincrank.logs import log_event

__all__ = ('Drain',)

# The load balancer checks readiness every second and stops sending callers
# after two failed checks.
_BALANCER_DELAY_S = 2.2
# Connections are closed this long before the grace period ends, so that the
# process can remove its row and exit by itself.
_EXIT_MARGIN_S = 0.4
_LEAVE_MARGIN_S = 0.2
_POLL_INTERVAL_S = 0.05
_ANSWER_POLL_INTERVAL_S = 0.02
# Every statement is answered this long before the connections are closed.
_ANSWER_MARGIN_S = 0.1
# Part of the grace period in which sessions may begin operations.
_SERVING_SHARE = 0.5


@final
class Drain:
    """Listens for callers until a drain is requested.

    Args:
        session_server: Serves callers.
        carrier_service: Runs statements for other processes.
        options: Options of the process.
        leave: Removes this process's row from the table of the fleet.

    Attributes:
        is_started: Whether the process is draining.
        is_listening: Whether callers can connect.
    """

    __slots__ = (
        '_carrier_service',
        '_leave',
        '_limited',
        '_options',
        '_session_server',
        '_started',
        'is_listening',
        'is_started',
    )

    def __init__(
        self,
        session_server: SessionServer,
        carrier_service: CarrierService,
        options: GatewayOptions,
        leave: Callable[[], Awaitable[None]],
    ) -> None:
        self._session_server = session_server
        self._carrier_service = carrier_service
        self._options = options
        self._leave = leave
        self._limited = LimitedHandler(
            session_server.serve,
            partial(refuse_caller, session_server.codec),
            options.limits.callers,
            options.limits.refusals,
        )
        self._started = anyio.Event()
        self.is_started = False
        self.is_listening = False

    def start(self) -> None:
        """Begin the drain; later calls have no effect."""
        if not self.is_started:
            self.is_started = True
            self._carrier_service.is_leaving = True
            self._started.set()
            log_event(
                'drain_started', callers=len(self._session_server.callers)
            )

    async def run(self, early: socket | None = None) -> None:
        """Serve callers; return when the process may exit.

        Args:
            early: Listening socket that was bound when the process started.
        """
        listener = await self._open_listener(early)
        async with anyio.create_task_group() as tasks:
            accepting = anyio.CancelScope()
            tasks.start_soon(self._accept, listener, accepting, tasks)
            self.is_listening = True
            await self._started.wait()
            ends_at = self._schedule_end()
            await anyio.sleep(min(_BALANCER_DELAY_S, self._options.grace_s / 2))
            accepting.cancel()
            await self._await_idle(ends_at)
            await self._await_answers()
            closed = self._count_by_state()
            tasks.cancel_scope.cancel()
        await self._finish(ends_at, closed)

    async def run_unready(self) -> None:
        """Drain a process that has not served callers."""
        ends_at = self._schedule_end()
        await self._await_idle(ends_at)
        await self._finish(ends_at, self._count_by_state())

    async def _open_listener(
        self, early: socket | None
    ) -> Listener[SocketStream]:
        if early is not None:
            return await SocketListener.from_socket(early)
        address = self._options.callers
        return await anyio.create_tcp_listener(
            local_host=address.host,
            local_port=address.port,
            backlog=CALLER_BACKLOG,
        )

    def _schedule_end(self) -> float:
        """Limit the work of sessions; return when the drain ends."""
        now = anyio.current_time()
        grace_s = self._options.grace_s
        ends_at = now + grace_s - _EXIT_MARGIN_S
        self._session_server.shutdown_limits.schedule(
            refuse_at=now + grace_s * _SERVING_SHARE,
            answer_by=ends_at - _ANSWER_MARGIN_S,
        )
        return ends_at

    async def _finish(self, ends_at: float, closed: Counter[str]) -> None:
        """Leave the fleet.

        Args:
            ends_at: When the drain had to end.
            closed: Number of connections that were closed then, by state.
        """
        stopping_s = self._session_server.shutdown_limits.stopping_s
        log_event(
            'sessions_closed',
            callers=closed.total(),
            stopping_ms=round(stopping_s * 1000),
            **closed,
        )
        await self._leave_by(ends_at + _LEAVE_MARGIN_S)
        log_event('drain_finished', callers=len(self._session_server.callers))

    async def _leave_by(self, deadline: float) -> None:
        with anyio.CancelScope(deadline=deadline):
            await self._leave()
            return
        log_event('unregistration_failed', cause='no answer in time')

    async def _accept(
        self,
        listener: Listener,
        accepting: anyio.CancelScope,
        tasks: TaskGroup,
    ) -> None:
        """Serve callers in ``tasks``, so that they outlast the listener."""
        with accepting:
            await serve_connections(listener, self._limited.serve, tasks)
        await listener.aclose()
        self.is_listening = False

    async def _await_idle(self, ends_at: float) -> None:
        while self._count_busy() and anyio.current_time() < ends_at:
            self._session_server.end_when_idle()
            await anyio.sleep(_POLL_INTERVAL_S)

    async def _await_answers(self) -> None:
        """Wait until each request that has arrived is answered.

        Every statement has been interrupted by now. In a process that was busy
        at the limit the answers are still to be sent, and requests to be read.
        """
        callers = self._session_server.callers
        with anyio.move_on_after(_LEAVE_MARGIN_S):
            is_answering = bool(callers)
            while is_answering:
                await anyio.sleep(_ANSWER_POLL_INTERVAL_S)
                is_answering = any(one.outstanding for one in callers)

    def _count_by_state(self) -> Counter[str]:
        return Counter(caller.state for caller in self._session_server.callers)

    def _count_busy(self) -> int:
        return len(self._session_server.callers) + len(
            self._carrier_service.active_sessions
        )
