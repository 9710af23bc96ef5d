"""A proxy's request path over a model group, without callers' sockets."""

import random
from contextlib import ExitStack
from typing import final

import anyio
from anyio.abc import TaskStatus

from catkincrank.assembly import assemble_executor
from catkincrank.catalog import Catalog
from catkincrank.endpoint import Answer
from catkincrank.errors import CatkincrankError
from catkincrank.executor import Executor
from catkincrank.feed import Feed
from catkincrank.grouppools import ConnectOptions, GroupPools
from catkincrank.groupupdates import GroupUpdates
from catkincrank.leases import Leases
from catkincrank.session import Session
from catkincrank.settings import Team
from catkincrank.standins.modelgroup import ModelGroup
from catkincrank.standins.modelobserver import ModelObserver
from catkincrank.statement import classify
from catkincrank.tally import Tally

__all__ = ('ModelProxy', 'ProxyDiedError')

_WATCH_INTERVAL_S = 0.05


@final
class ProxyDiedError(CatkincrankError):
    """The proxy died before it answered."""


@final
class ModelProxy:
    """One proxy.

    Args:
        name: Name of the process; its origin in the model's network.
        model: The group that it serves.
        group: Name of the group, ``team/service``.

    Attributes:
        feed: What it knows.
        is_alive: Whether it takes requests.
        pools: Its connections; there from its start on.
    """

    def __init__(self, name: str, model: ModelGroup, group: str) -> None:
        self.name = name
        self.feed = Feed()
        self.is_alive = False
        self.pools: GroupPools
        self._executor: Executor
        self._model = model
        self._group = group
        self._catalog = Catalog()
        self._scopes: set[anyio.CancelScope] = set()

    async def run(
        self,
        team: Team,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until killed."""
        async with anyio.create_task_group() as tasks:
            self._scopes.add(tasks.cancel_scope)
            options = ConnectOptions(
                self.name,
                'z1',
                {},
                self._model.driver(self.name),
            )
            source = random.Random(self.name)
            self.pools = GroupPools(options, tasks, source)
            self._executor = assemble_executor(
                GroupUpdates(self.feed),
                Leases(self.pools),
                self._catalog,
                'z1',
                Tally(),
                source,
            )
            self.apply(team)
            watch = ModelObserver(
                self._model, self._group, self.name, self.feed
            )
            tasks.start_soon(watch.run, _WATCH_INTERVAL_S)
            tasks.start_soon(self.pools.run)
            self.is_alive = True
            task_status.started()

    def apply(self, team: Team) -> None:
        """Bring settings into force."""
        self._catalog.replace(self._group.partition('/')[0], team)
        service = self._catalog.find(self._group)
        names = (endpoint.name for endpoint in service.endpoints)
        self.feed.set_members(self._group, names)
        self.pools.configure(self._group, service)

    async def submit(
        self,
        session: Session,
        sql: str,
        params: tuple[str, ...] = (),
    ) -> Answer:
        """Run one statement.

        Raises:
            ProxyDiedError: The proxy died; the caller's connection ends.
        """
        if not self.is_alive:
            raise ProxyDiedError(self.name)
        with anyio.CancelScope() as scope, ExitStack() as stack:
            self._scopes.add(scope)
            stack.callback(self._scopes.discard, scope)
            return await self._executor.run(session, classify(sql), params)
        raise ProxyDiedError(self.name)

    async def end(self, session: Session) -> None:
        """End a session whose caller is gone."""
        if self.is_alive:
            await self._executor.close(session)

    async def kill(self) -> None:
        """Die: nothing that runs here ends in order."""
        self.is_alive = False
        for scope in tuple(self._scopes):
            scope.cancel()
        for server in self._model.servers.values():
            for connection in tuple(server.connections):
                if connection.origin == self.name:
                    await connection.close()  # noqa: WPS476

    @property
    def waiting(self) -> int:
        """Requests that wait for a connection."""
        if not self.is_alive:
            return 0
        return sum(pool.waiting for pool in self.pools.list_pools())
