"""Connection pool of one process for one endpoint.

The pool does no I/O. Each method takes the current time and returns the actions
to run; the runner of the pool reports their results. A connection that is being
opened or closed, or that the endpoint may still count, occupies a slot under
the limit.
"""

import random
from dataclasses import dataclass
from typing import final

from catkincrank.fairqueue import FairQueue, QueueEntry
from catkincrank.poolactions import Grant, PoolAction, RefusalCause, Refuse
from catkincrank.poolslots import SlotState
from catkincrank.poolsupply import (
    ConnectionSupply,
    CountEvent,
    PoolOptions,
    close_slot,
)

__all__ = ('EndpointPool', 'PoolOptions', 'PoolState', 'ignore_event')

_FOREVER = float('inf')
_LEASE_DURATION_WEIGHT = 0.1
_INITIAL_LEASE_DURATION_S = 0.01
_ENDED_STATES = frozenset((SlotState.CLOSING, SlotState.LINGERING))


def ignore_event(_event: str) -> None:
    """Count nothing."""


@final
@dataclass(frozen=True, slots=True)
class PoolState:
    """State of a pool for the state dump.

    Attributes:
        endpoint: Name of the endpoint.
        limit: Most connections that the pool may hold.
        places: Number of connections in each state.
        waiting: Number of queued requests.
        failures: Consecutive failures to open a connection.
    """

    endpoint: str
    limit: int
    places: dict[str, int]
    waiting: int
    failures: int


@final
class EndpointPool:  # noqa: WPS214
    """Pool of connections to one endpoint.

    Args:
        endpoint: Name of the endpoint.
        limit: Most connections that this process may hold.
        options: Time-outs and limits.
        source: Random numbers for the jitter of connection attempts.
        count_event: Counts connections that are ``opened``, ``reused``, or
            ``evicted`` for a request of another login.
    """

    __slots__ = (
        '_lease_duration_s',
        '_queue',
        '_supply',
        'endpoint',
        'is_leaving',
    )

    def __init__(
        self,
        endpoint: str,
        limit: int,
        options: PoolOptions,
        source: random.Random,
        count_event: CountEvent = ignore_event,
    ) -> None:
        self.endpoint = endpoint
        self.is_leaving = False
        self._supply = ConnectionSupply(limit, options, source, count_event)
        self._queue = FairQueue(options.queue_length)
        self._lease_duration_s = _INITIAL_LEASE_DURATION_S

    @property
    def limit(self) -> int:
        """Most connections that this process may hold."""
        return self._supply.limit

    @property
    def held(self) -> int:
        """Number of connections that the endpoint may count."""
        return len(self._supply.slots)

    @property
    def in_use(self) -> int:
        """Number of connections leased to requests."""
        return self._supply.slots.count_in_state(SlotState.LEASED)

    @property
    def failures(self) -> int:
        """Consecutive failures to open a connection."""
        return self._supply.failures

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def find_login(self, connection_id: int) -> str | None:
        """Return the login of a connection; ``None`` for one that is closed."""
        slot = self._supply.slots.find(connection_id)
        return None if slot is None else slot.login

    def describe(self) -> PoolState:
        """Return the state for the state dump."""
        return PoolState(
            self.endpoint,
            self.limit,
            self._supply.slots.count(),
            len(self._queue),
            self._supply.failures,
        )

    def enqueue(self, entry: QueueEntry, now: float) -> list[PoolAction]:
        """Grant, queue or refuse a request for a connection."""
        granted = self._grant_at_once(entry, now)
        if granted is not None:
            return [granted]
        refusal = self._refuse_early(entry, now)
        if refusal is not None:
            return [refusal]
        evicted = self._queue.push(entry)
        actions: list[PoolAction] = []
        if evicted is not None:
            wait_s = self._estimate_wait(evicted)
            actions.append(_refuse(evicted, RefusalCause.OVERLOADED, wait_s))
        return actions + self._supply.serve(self._queue, now)

    def cancel(self, request_id: int) -> bool:
        """Remove a request from the queue; false when it is not queued."""
        return self._queue.remove(request_id) is not None

    def opened(self, connection_id: int, now: float) -> list[PoolAction]:
        """Handle the report that a connection was opened."""
        self._supply.failures = 0
        return self._make_available(connection_id, now)

    def open_failed(self, connection_id: int, now: float) -> list[PoolAction]:
        """Handle the report that a connection could not be opened."""
        slot = self._supply.slots.find(connection_id)
        if slot is None:
            return []
        delay_s = self._supply.record_open_failure(slot, now)
        # Idle connections of other logins do not show that the endpoint can
        # still be reached, so the others' requests are not kept waiting.
        live = self._supply.list_live_logins()
        refused = [
            entry
            for entry in self._queue.list_entries()
            if entry.login not in live
        ]
        for entry in refused:
            self._queue.remove(entry.request_id)
        return [
            *(
                _refuse(one, RefusalCause.UNREACHABLE, delay_s)
                for one in refused
            ),
            *self._supply.serve(self._queue, now),
        ]

    def give_back(self, connection_id: int, now: float) -> list[PoolAction]:
        """Return a clean connection to the pool."""
        slot = self._supply.slots.find(connection_id)
        if slot is None:
            return []
        slot.used_at = now
        if slot.state is SlotState.LEASED:
            self._lease_duration_s += _LEASE_DURATION_WEIGHT * (
                now - slot.since - self._lease_duration_s
            )
        return self._make_available(connection_id, now)

    def discard(
        self,
        connection_id: int,
        now: float,
        *,
        is_lost: bool = False,
    ) -> list[PoolAction]:
        """Close a leased connection that must not be reused.

        Args:
            connection_id: The connection.
            now: Current time in seconds.
            is_lost: Whether the endpoint stopped answering on it. The endpoint
                may count it for some time, and the idle connections are probed
                before their next lease.
        """
        slot = self._supply.slots.find(connection_id)
        if slot is None or slot.state in _ENDED_STATES:
            return []
        closing = self._supply.begin_closing(slot, now, is_lost=is_lost)
        return [closing, *self._supply.serve(self._queue, now)]

    def closed(self, connection_id: int, now: float) -> list[PoolAction]:
        """Handle the report that a connection was closed."""
        slot = self._supply.slots.find(connection_id)
        if slot is None:
            return []
        if slot.is_lost:
            slot.enter(SlotState.LINGERING, now)
            return []
        self._supply.slots.remove(slot)
        return self._supply.serve(self._queue, now)

    def probed(
        self,
        connection_id: int,
        now: float,
        *,
        is_alive: bool,
    ) -> list[PoolAction]:
        """Handle the result of a probe."""
        if is_alive:
            return self._make_available(connection_id, now)
        return self.discard(connection_id, now, is_lost=True)

    def change_options(self, options: PoolOptions) -> None:
        """Change the options other than the length of the queue."""
        self._supply.options = options

    def change_limit(self, limit: int, now: float) -> list[PoolAction]:
        """Change the limit.

        Leased connections above it are closed when they are given back.
        """
        self._supply.limit = limit
        return [
            *self._supply.close_surplus(now),
            *self._supply.serve(self._queue, now),
        ]

    def leave(self, now: float) -> list[PoolAction]:
        """Refuse new requests; leased connections stay until given back."""
        self.is_leaving = True
        return [
            *self._close_idle(now),
            *self._refuse_all(RefusalCause.LEAVING, 0),
        ]

    def rejoin(self) -> None:
        """Accept new requests again."""
        self.is_leaving = False

    def tick(self, now: float) -> list[PoolAction]:
        """Run time-outs, probes and retries that are due."""
        return [
            *(
                _refuse(entry, RefusalCause.DEADLINE, self._lease_duration_s)
                for entry in self._queue.expire(now)
            ),
            *self._supply.maintain(now),
            *self._supply.serve(self._queue, now),
        ]

    def next_tick_at(self) -> float:
        """Return when ``tick`` is due; infinity when nothing is pending."""
        times = self._supply.list_due_times()
        times.extend(entry.deadline for entry in self._queue.list_entries())
        if self._queue and self._supply.failures:
            times.append(self._supply.open_at)
        return min(times, default=_FOREVER)

    def _grant_at_once(self, entry: QueueEntry, now: float) -> Grant | None:
        """Grant an idle connection when the queue is empty."""
        if self.is_leaving or entry.deadline <= now or self._queue:
            return None
        slot = self._supply.lease_idle(entry.login, now)
        if slot is None:
            return None
        return Grant(entry.request_id, slot.connection_id)

    def _refuse_early(self, entry: QueueEntry, now: float) -> Refuse | None:
        """Refuse a request that cannot be served before its deadline."""
        if self.is_leaving:
            return _refuse(entry, RefusalCause.LEAVING, 0)
        if entry.deadline <= now:
            return _refuse(entry, RefusalCause.DEADLINE, 0)
        pause_s = self._supply.open_at - now
        if pause_s > 0 and entry.login not in self._supply.list_live_logins():
            return _refuse(entry, RefusalCause.UNREACHABLE, pause_s)
        wait_s = self._estimate_wait(entry)
        if now + wait_s + self._lease_duration_s > entry.deadline:
            return _refuse(entry, RefusalCause.OVERLOADED, wait_s)
        return None

    def _estimate_wait(self, entry: QueueEntry) -> float:
        """Return the estimated wait of a new request of the same team."""
        if self.limit < 1:
            return _FOREVER
        if self.in_use < self.limit and not self._queue:
            return 0
        ahead = self._queue.count_ahead(entry.team, entry.weight) + 1
        return ahead * self._lease_duration_s / self.limit

    def _make_available(
        self, connection_id: int, now: float
    ) -> list[PoolAction]:
        """Make a connection that has just answered idle, or close it."""
        slot = self._supply.slots.find(connection_id)
        if slot is None or slot.state in _ENDED_STATES:
            return []
        if self.is_leaving:
            return [close_slot(slot, now)]
        actions = self._supply.make_available(slot, now)
        return [*actions, *self._supply.serve(self._queue, now)]

    def _close_idle(self, now: float) -> list[PoolAction]:
        idle = self._supply.slots.list_in_state(SlotState.IDLE)
        return [close_slot(slot, now) for slot in idle]

    def _refuse_all(
        self, cause: RefusalCause, retry_after_s: float
    ) -> list[PoolAction]:
        return [
            _refuse(entry, cause, retry_after_s)
            for entry in self._queue.clear()
        ]


def _refuse(
    entry: QueueEntry,
    cause: RefusalCause,
    retry_after_s: float,
) -> Refuse:
    return Refuse(entry.request_id, cause, retry_after_s)
