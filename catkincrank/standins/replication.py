"""Replication of a group's log from the primary to a replica."""

from collections.abc import Mapping, Set
from dataclasses import dataclass
from typing import final

import anyio

from catkincrank.instance import Role
from catkincrank.standins.log import Record
from catkincrank.standins.server import StandinServer

__all__ = ('Lag', 'Receiver')

_IDLE_POLL_INTERVAL_S = 0.05
_REBUILD_DURATION_S = 0.2
_CLOCK_TOLERANCE_S = 1e-6


@final
@dataclass(frozen=True, slots=True)
class Lag:
    """Delays of a replica behind its primary, in seconds.

    Attributes:
        ship_s: From a commit to the arrival of its record.
        apply_s: From the arrival of a record to its replay.
    """

    ship_s: float = 0
    apply_s: float = 0


@final
class Receiver:
    """Streams the log of the primary that an instance follows.

    Args:
        server: The instance that receives.
        servers: All instances of the group by name.
        cuts: Pairs of instances that are cut off from each other.
    """

    def __init__(
        self,
        server: StandinServer,
        servers: Mapping[str, StandinServer],
        cuts: Set[frozenset[str]],
    ) -> None:
        self.lag = Lag()
        self._server = server
        self._instance = server.instance
        self._servers = servers
        self._cuts = cuts
        self._arrivals: dict[int, float] = {}

    async def run(self) -> None:
        """Receive and replay until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            tasks.start_soon(self._replay)

    async def _receive(self) -> None:
        while True:
            source = self._find_source()
            if source is None:
                await self._wait_change()
                continue
            await self._adopt_history(source)
            for record in self._list_due(source):
                self._arrivals[record.end] = anyio.current_time()
                self._instance.log.records.append(record)
                self._instance.notify()
            await self._wait_record(source)

    def _find_source(self) -> StandinServer | None:
        instance = self._instance
        source = self._servers.get(instance.follows)
        if source is None or not instance.is_serving:
            return None
        if not source.instance.is_serving:
            return None
        if source.instance.role is not Role.PRIMARY:
            return None
        if source.instance.log.history.term < instance.log.history.term:
            return None
        if frozenset((instance.name, source.instance.name)) in self._cuts:
            return None
        return source

    async def _adopt_history(self, source: StandinServer) -> None:
        instance = self._instance
        own = instance.log
        other = source.instance.log
        is_behind = other.has_prefix(own.mark)
        if instance.role is Role.PRIMARY or not is_behind:
            await anyio.sleep(_REBUILD_DURATION_S)
            if self._find_source() is not source:
                return
            self._server.reset_connections()
            instance.rebuild(source.instance)
            self._arrivals.clear()
            return
        own.history = other.history

    def _list_due(self, source: StandinServer) -> list[Record]:
        now = anyio.current_time() + _CLOCK_TOLERANCE_S
        pending = source.instance.log.list_after(self._instance.log.end)
        return [
            record
            for record in pending
            if record.committed_at + self.lag.ship_s <= now
        ]

    async def _wait_record(self, source: StandinServer) -> None:
        pending = source.instance.log.list_after(self._instance.log.end)
        if not pending:
            await self._wait_change(source)
            return
        due = pending[0].committed_at + self.lag.ship_s
        await anyio.sleep_until(due)

    async def _wait_change(self, source: StandinServer | None = None) -> None:
        watched = self._instance if source is None else source.instance
        with anyio.move_on_after(_IDLE_POLL_INTERVAL_S):
            await watched.changed.wait()

    async def _replay(self) -> None:
        while True:
            instance = self._instance
            pending = instance.log.list_after(instance.replayed)
            if instance.role is Role.PRIMARY or not pending:
                await self._wait_change()
                continue
            record = pending[0]
            arrived = self._arrivals.get(record.end, 0)
            await anyio.sleep_until(arrived + self.lag.apply_s)
            await instance.wait_running()
            self._replay_record(record)

    def _replay_record(self, record: Record) -> None:
        instance = self._instance
        pending = instance.log.list_after(instance.replayed)
        if instance.role is Role.REPLICA and pending[:1] == [record]:
            instance.replay(record)
            self._arrivals.pop(record.end, None)
