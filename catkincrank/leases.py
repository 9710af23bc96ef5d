"""Leases of pooled connections, each for one transaction."""

import itertools
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import final

import anyio
from anyio.lowlevel import checkpoint_if_cancelled

from catkincrank.answermonitor import AwaitedAnswer
from catkincrank.endpoint import (
    Answer,
    Description,
    EndpointConnection,
    StatementError,
    TransactionStatus,
)
from catkincrank.errors import EndpointError
from catkincrank.fairqueue import QueueEntry
from catkincrank.grouppools import GroupPools, PooledEndpoint
from catkincrank.history import LogMark
from catkincrank.poolrunner import Ticket
from catkincrank.request import Request

__all__ = ('Lease', 'LeaseTicket', 'Leases')

_RESET_TIMEOUT_S = 1
_RESET_SQL = 'DISCARD ALL'
_ROLLBACK_SQL = 'ROLLBACK'


@final
class Lease:
    """A connection held for one transaction.

    Args:
        member: The endpoint that it is connected to.
        connection_id: Its id in the endpoint's connection pool.

    Attributes:
        connection: The connection.
        group: Group that it serves.
        needs_primary: Whether its transaction may write.
        is_dirty: Whether its caller may have left state on the connection.
        is_open: Whether the lease is still held.
    """

    __slots__ = (
        '_cause',
        '_scope',
        '_sent_at',
        'connection',
        'connection_id',
        'group',
        'is_dirty',
        'is_open',
        'member',
        'needs_primary',
    )

    def __init__(
        self,
        member: PooledEndpoint,
        connection_id: int,
        group: str = '',
    ) -> None:
        self.member = member
        self.group = group
        self.needs_primary = False
        self._cause = ''
        self._scope: anyio.CancelScope | None = None
        self._sent_at: float = 0
        self.connection_id = connection_id
        self.connection = member.runner.connection(connection_id)
        self.is_dirty = False
        self.is_open = True

    @property
    def endpoint(self) -> str:
        """Name of the endpoint that it is connected to."""
        return self.member.endpoint.name

    @contextmanager
    def await_answer(self) -> Iterator[None]:
        """Wait for an answer within this context.

        Raises:
            EndpointError: ``cancel_wait`` ended the wait.
        """
        self._cause = ''
        self._sent_at = anyio.current_time()
        self._scope = anyio.CancelScope()
        try:
            with self._scope:
                yield
        finally:
            self._scope = None
        if self._cause:
            raise EndpointError(self._cause, was_sent=True)

    def describe_wait(self) -> AwaitedAnswer | None:
        """Return the awaited answer; ``None`` if there is none."""
        if self._scope is None:
            return None
        return AwaitedAnswer(
            self.group,
            self.endpoint,
            self.needs_primary,
            self._sent_at,
        )

    def cancel_wait(self, cause: str) -> None:
        """Stop waiting for an answer."""
        if self._scope is not None:
            self._cause = cause
            self._scope.cancel()


@final
@dataclass(frozen=True, slots=True)
class LeaseTicket:
    """A request's place in the admission queue of an endpoint.

    Attributes:
        member: The endpoint.
        ticket: Its place in the queue.
        group: Group of the request.
    """

    member: PooledEndpoint
    ticket: Ticket
    group: str

    @property
    def is_granted(self) -> bool:
        """Whether ``wait`` returns a lease without waiting."""
        return self.ticket.connection_id != 0

    async def wait(self) -> Lease:
        """Return the connection once it is granted."""
        connection_id = await self.member.runner.wait(self.ticket)
        return Lease(self.member, connection_id, self.group)


@final
class Leases:
    """Leases connections of every group that the proxy serves.

    Args:
        pools: Pools of the groups.

    Attributes:
        waiting: Leases whose connection awaits an answer.
    """

    __slots__ = ('_numbers', 'pools', 'waiting')

    def __init__(self, pools: GroupPools) -> None:
        self.pools = pools
        self.waiting: set[Lease] = set()
        self._numbers = itertools.count(1)

    def enqueue(self, request: Request, endpoint: str) -> LeaseTicket:
        """Queue for a connection, which may be granted at once.

        Raises:
            EndpointError: The group no longer has this endpoint.
        """
        member = self.pools.find(request.group, endpoint)
        entry = QueueEntry(
            next(self._numbers),
            request.team,
            request.deadline_at,
            request.weight,
            member.login,
            anyio.current_time(),
        )
        ticket = member.runner.enqueue(entry)
        return LeaseTicket(member, ticket, request.group)

    async def acquire(self, request: Request, endpoint: str) -> Lease:
        """Return a connection once one is free.

        Raises:
            RequestError: The admission queue is full.
            EndpointError: No connection could be opened.
        """
        return await self.enqueue(request, endpoint).wait()

    async def execute(
        self,
        lease: Lease,
        sql: str,
        params: Sequence[str | None] = (),
    ) -> Answer:
        """Run a statement; discard the lease without a complete answer."""
        with self._discard_on_failure(lease):
            return await lease.connection.execute(sql, params)

    async def describe(self, lease: Lease, sql: str) -> Description:
        """Describe a statement; discard the lease without an answer."""
        with self._discard_on_failure(lease):
            return await lease.connection.describe(sql)

    async def commit(self, lease: Lease) -> LogMark | None:
        """Commit; discard the lease without a complete answer.

        Nothing is sent once the request is cancelled.
        """
        with self._discard_on_failure(lease):
            await checkpoint_if_cancelled()
            return await lease.connection.commit()

    async def apply(self, lease: Lease, settings: Mapping[str, str]) -> None:
        """Run a caller's ``SET`` statements; ``release`` undoes them."""
        lease.is_dirty = True
        for sql in settings.values():
            await self.execute(lease, sql)  # noqa: WPS476

    async def roll_back(self, lease: Lease) -> None:
        """Roll back and release the connection, if it is still held."""
        if not lease.is_open:
            return
        try:
            await self.execute(lease, _ROLLBACK_SQL)
        except EndpointError:
            return
        except StatementError:
            self.discard(lease)
            return
        await self.release(lease)

    async def release(self, lease: Lease) -> None:
        """Return a connection to its pool, reset if it is dirty."""
        if not lease.is_open:
            return
        connection = lease.connection
        is_clean = not lease.is_dirty or await _reset(connection)
        if is_clean and connection.transaction is TransactionStatus.IDLE:
            lease.is_open = False
            lease.member.runner.give_back(lease.connection_id)
            return
        self.discard(lease)

    def discard(self, lease: Lease, *, is_lost: bool = False) -> None:
        """Close a connection that must not be reused."""
        if lease.is_open:
            lease.is_open = False
            runner = lease.member.runner
            runner.discard(lease.connection_id, is_lost=is_lost)

    @contextmanager
    def _discard_on_failure(self, lease: Lease) -> Iterator[None]:
        self.waiting.add(lease)
        try:
            with lease.await_answer():
                yield
        except StatementError:
            raise
        except EndpointError:
            self.discard(lease)
            raise
        except BaseException:
            self.discard(lease, is_lost=True)
            raise
        finally:
            self.waiting.discard(lease)


async def _reset(connection: EndpointConnection) -> bool:
    with anyio.move_on_after(_RESET_TIMEOUT_S, shield=True):
        try:
            await connection.execute(_RESET_SQL)
        except (EndpointError, StatementError):
            return False
        return True
    return False
