"""The platform's interface for promotions, which may be slow."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import anyio
import msgspec
from anyio.abc import TaskGroup, TaskStatus

from catkincrank.httpserver import HttpRequest, HttpResponse, HttpServer
from review.standin2.group import AsyncGroup

__all__ = ('Cloud', 'PromotionCall')

_NOT_RUNNING = 409


@final
@dataclass(frozen=True, slots=True)
class PromotionCall:
    """A call for a promotion.

    Attributes:
        at: When it arrived, in seconds.
        endpoint_id: Endpoint to promote.
        holder: Name of the gateway that called.
        token: Fencing token of the call.
        delay_s: For how long it waits before it is performed.
    """

    at: float
    endpoint_id: str
    holder: str
    token: int
    delay_s: float

    def describe(self) -> str:
        """Return the line of a record."""
        return (
            '{0:.3f} call of {1} to promote {2}, token {3}, performed after '
            '{4:.1f} s'.format(
                self.at,
                self.holder,
                self.endpoint_id,
                self.token,
                self.delay_s,
            )
        )


@final
class Cloud:
    """Performs promotions of one group.

    Args:
        group: The group.
        choose_delay: Returns how long the call with a number waits, in seconds;
            the first one has the number 0.

    Attributes:
        calls: The calls so far.
        port: Port that it listens on.
    """

    def __init__(
        self, group: AsyncGroup, choose_delay: Callable[[int], float]
    ) -> None:
        self._group = group
        self._choose_delay = choose_delay
        self._tasks: TaskGroup | None = None
        self.calls: list[PromotionCall] = []
        self.port = 0

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        server = HttpServer({'POST /promote': self._promote})
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.port = await tasks.start(server.serve)
            task_status.started()

    async def _promote(self, request: HttpRequest) -> HttpResponse:
        endpoint_id = msgspec.json.decode(request.body)['id']
        delay_s = self._choose_delay(len(self.calls))
        self.calls.append(
            PromotionCall(
                anyio.current_time(),
                endpoint_id,
                request.headers['duty-holder'],
                int(request.headers['fencing-token']),
                delay_s,
            )
        )
        performed = anyio.Event()
        # The call is performed also if the caller has hung up meanwhile.
        self._tasks.start_soon(self._perform, endpoint_id, delay_s, performed)
        await performed.wait()
        if not self._group.instances[endpoint_id].is_up:
            return HttpResponse(b'{}', _NOT_RUNNING)
        return HttpResponse(b'{}')

    async def _perform(
        self, endpoint_id: str, delay_s: float, performed: anyio.Event
    ) -> None:
        await anyio.sleep(delay_s)
        performed.set()
        if self._group.instances[endpoint_id].is_up:
            await anyio.sleep(self._group.promote_s)
            self._group.promote(endpoint_id)
