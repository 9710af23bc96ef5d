"""Reads the status of one instance repeatedly over one connection.

At rest it reads a few times a second. While a caller waits for a change, it
reads again 15 ms after each answer. A read that times out is repeated on a
new connection, since an open connection can stop answering for good while new
ones work.
"""

import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar, final

import anyio

from catkincrank.endpoint import (
    Credential,
    Driver,
    EndpointAddress,
    EndpointConnection,
    StatementError,
)
from catkincrank.errors import EndpointError
from catkincrank.instance import InstanceStatus, Observation

__all__ = ('Watch', 'WatchListener', 'WatchTarget')

_FAST_INTERVAL_S = 0.015
_REST_INTERVAL_S = 0.4
_URGENT_PERIOD_S = 1.0
_ANSWER_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 1.0
_RECONNECT_DELAY_S = 0.2

_ResultT = TypeVar('_ResultT')


@final
@dataclass(frozen=True, slots=True)
class WatchTarget:
    """An instance to watch.

    Attributes:
        group: Name of its group.
        address: Where it listens.
        credential: How to log in.
    """

    group: str
    address: EndpointAddress
    credential: Credential


class WatchListener:
    """Is notified of what a watch finds; the base class ignores it."""

    def on_probe(self, group: str, endpoint: str) -> None:
        """Handle the start of a status probe."""

    def on_status(self, group: str, observation: Observation) -> None:
        """Handle a status that an instance returned."""

    def on_failure(self, group: str, endpoint: str, reason: str) -> None:
        """Handle a status probe that failed."""


@final
class Watch:
    """Watches one instance.

    Args:
        target: The instance.
        driver: Opens connections to it.
        application: Application name of its connections.
        listener: Is notified of statuses and failures.
    """

    __slots__ = (
        '_application',
        '_connection',
        '_driver',
        '_listener',
        '_lock',
        '_urgent_until',
        '_wake_up',
        'target',
    )

    def __init__(
        self,
        target: WatchTarget,
        driver: Driver,
        application: str,
        listener: WatchListener,
    ) -> None:
        self.target = target
        self._driver = driver
        self._application = application
        self._listener = listener
        self._connection: EndpointConnection | None = None
        self._lock = anyio.Lock()
        self._wake_up = anyio.Event()
        self._urgent_until = float('-inf')

    def expedite(self) -> None:
        """Read at the short interval for the next second."""
        was_at_rest = not self._is_urgent()
        self._urgent_until = anyio.current_time() + _URGENT_PERIOD_S
        if was_at_rest:
            self._wake_up.set()

    async def run(self) -> None:
        """Watch until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._drop_connection)
            while True:
                await self._watch_once()

    async def command(
        self,
        work: Callable[[EndpointConnection], Awaitable[_ResultT]],
        timeout_s: float = _ANSWER_TIMEOUT_S,
    ) -> _ResultT:
        """Run ``work`` on the connection of the watch, between two reads.

        Raises:
            EndpointError: The instance did not answer in time; the work may
                have been done.
            StatementError: The instance refused.
        """
        try:
            with anyio.fail_after(timeout_s):
                async with self._lock:
                    return await self._use_connection(work)
        except TimeoutError:
            raise EndpointError('no answer in time', was_sent=True) from None

    async def _watch_once(self) -> None:
        try:
            await self._read()
        except (EndpointError, StatementError) as error:
            self._listener.on_failure(
                self.target.group,
                self.target.address.endpoint,
                str(error),
            )
            await anyio.sleep(_RECONNECT_DELAY_S * (1 + random.random()))
            return
        await self._wait_for_next_read()

    async def _read(self) -> None:
        self._listener.on_probe(
            self.target.group,
            self.target.address.endpoint,
        )
        taken_at, status = await self.command(
            _fetch_status,
            _READ_TIMEOUT_S,
        )
        self._listener.on_status(
            self.target.group,
            Observation(status, taken_at),
        )

    async def _wait_for_next_read(self) -> None:
        if self._is_urgent():
            await anyio.sleep(_FAST_INTERVAL_S)
            return
        self._wake_up = anyio.Event()
        with anyio.move_on_after(_REST_INTERVAL_S):
            await self._wake_up.wait()

    async def _use_connection(
        self,
        work: Callable[[EndpointConnection], Awaitable[_ResultT]],
    ) -> _ResultT:
        if self._connection is None:
            self._connection = await self._driver.connect(
                self.target.address,
                self.target.credential,
                self._application,
            )
        is_usable = False
        try:
            answer = await work(self._connection)
            is_usable = True
        except StatementError:
            is_usable = True
            raise
        finally:
            if not is_usable:
                await self._drop_connection()
        return answer

    async def _drop_connection(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.close()

    def _is_urgent(self) -> bool:
        return anyio.current_time() < self._urgent_until


async def _fetch_status(
    connection: EndpointConnection,
) -> tuple[float, InstanceStatus]:
    taken_at = anyio.current_time()
    return taken_at, await connection.fetch_status()
