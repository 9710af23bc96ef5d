"""Connections of one process to one endpoint: who gets one, and when.

The pool does no I/O. Each method takes the time and returns what is to be
done; whoever does it reports back. Connections that are being opened, closed
or may still count at the endpoint hold their place under the limit.
"""

import random
from dataclasses import dataclass
from typing import final

from catkincrank.fairqueue import FairQueue, QueueEntry
from catkincrank.poolactions import Grant, PoolAction, RefusalCause, Refuse
from catkincrank.poolslots import SlotState
from catkincrank.poolsupply import PoolOptions, Supply, close_place

__all__ = ('EndpointPool', 'PoolOptions', 'PoolState')

_FOREVER = float('inf')
_HOLD_WEIGHT = 0.1
_FIRST_HOLD_S = 0.01
_ENDED_STATES = frozenset((SlotState.CLOSING, SlotState.LINGERING))


@final
@dataclass(frozen=True, slots=True)
class PoolState:
    """What the state dump shows of a pool.

    Attributes:
        endpoint: Name of the endpoint.
        limit: Connections that it may hold.
        places: Connections by state.
        waiting: Requests that wait.
        failures: Failed attempts to open a connection in a row.
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
        endpoint: Its name.
        limit: Connections that this process may hold.
        options: Times and bounds.
        source: Random numbers that spread attempts to open.
    """

    __slots__ = ('_hold_s', '_queue', '_supply', 'endpoint', 'is_leaving')

    def __init__(
        self,
        endpoint: str,
        limit: int,
        options: PoolOptions,
        source: random.Random,
    ) -> None:
        self.endpoint = endpoint
        self.is_leaving = False
        self._supply = Supply(limit, options, source)
        self._queue = FairQueue(options.queue_length)
        self._hold_s = _FIRST_HOLD_S

    @property
    def limit(self) -> int:
        """Connections that this process may hold."""
        return self._supply.limit

    @property
    def held(self) -> int:
        """Connections that the endpoint may count for this process."""
        return len(self._supply.places)

    @property
    def in_use(self) -> int:
        """Connections that requests hold."""
        return self._supply.places.count_of(SlotState.LEASED)

    @property
    def failures(self) -> int:
        """Failed attempts to open a connection in a row."""
        return self._supply.failures

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def describe(self) -> PoolState:
        """Return what the state dump shows."""
        return PoolState(
            self.endpoint,
            self.limit,
            self._supply.places.count(),
            len(self._queue),
            self._supply.failures,
        )

    def enqueue(self, entry: QueueEntry, now: float) -> list[PoolAction]:
        """Take in a request for a connection."""
        granted = self._grant_at_once(entry, now)
        if granted is not None:
            return [granted]
        refusal = self._refuse_early(entry, now)
        if refusal is not None:
            return [refusal]
        evicted = self._queue.push(entry)
        actions: list[PoolAction] = []
        if evicted is not None:
            again = self._expect_wait(evicted)
            actions.append(_refuse(evicted, RefusalCause.OVERLOADED, again))
        return actions + self._supply.serve(self._queue, now)

    def cancel(self, request_id: int) -> bool:
        """Forget a request that waits; false when it waits no more."""
        return self._queue.remove(request_id) is not None

    def opened(self, connection_id: int, now: float) -> list[PoolAction]:
        """Take in that a connection was opened."""
        self._supply.failures = 0
        return self._keep(connection_id, now)

    def open_failed(self, connection_id: int, now: float) -> list[PoolAction]:
        """Take in that a connection could not be opened."""
        place = self._supply.places.find(connection_id)
        if place is None:
            return []
        delay = self._supply.fail_opening(place, now)
        if self._supply.is_live:
            return self._supply.serve(self._queue, now)
        return self._refuse_all(RefusalCause.UNREACHABLE, delay)

    def give_back(self, connection_id: int, now: float) -> list[PoolAction]:
        """Take back a clean connection."""
        place = self._supply.places.find(connection_id)
        if place is None:
            return []
        place.used_at = now
        if place.state is SlotState.LEASED:
            self._hold_s += _HOLD_WEIGHT * (now - place.since - self._hold_s)
        return self._keep(connection_id, now)

    def discard(
        self,
        connection_id: int,
        now: float,
        *,
        is_lost: bool = False,
    ) -> list[PoolAction]:
        """Take back a connection that nobody may use again.

        Args:
            connection_id: The connection.
            now: The time in seconds.
            is_lost: Whether the endpoint fell silent on it. It may count for
                a while yet, and its neighbours are probed before use.
        """
        place = self._supply.places.find(connection_id)
        if place is None or place.state in _ENDED_STATES:
            return []
        closing = self._supply.lose(place, now, is_lost=is_lost)
        return [closing, *self._supply.serve(self._queue, now)]

    def closed(self, connection_id: int, now: float) -> list[PoolAction]:
        """Take in that a connection was closed."""
        place = self._supply.places.find(connection_id)
        if place is None:
            return []
        if place.is_lost:
            place.enter(SlotState.LINGERING, now)
            return []
        self._supply.places.free(place)
        return self._supply.serve(self._queue, now)

    def probed(
        self,
        connection_id: int,
        now: float,
        *,
        is_alive: bool,
    ) -> list[PoolAction]:
        """Take in the outcome of a probe."""
        if is_alive:
            return self._keep(connection_id, now)
        return self.discard(connection_id, now, is_lost=True)

    def change_options(self, options: PoolOptions) -> None:
        """Change times and bounds other than the length of the queue."""
        self._supply.options = options

    def change_limit(self, limit: int, now: float) -> list[PoolAction]:
        """Change the limit; what is leased above it goes when given back."""
        self._supply.limit = limit
        surplus = max(0, self.held - limit)
        return [
            *self._close_idle(surplus, now),
            *self._supply.serve(self._queue, now),
        ]

    def leave(self, now: float) -> list[PoolAction]:
        """Take no new work; what is leased finishes."""
        self.is_leaving = True
        return [
            *self._close_idle(self.held, now),
            *self._refuse_all(RefusalCause.LEAVING, 0),
        ]

    def rejoin(self) -> None:
        """Take new work again."""
        self.is_leaving = False

    def tick(self, now: float) -> list[PoolAction]:
        """Do what has come due."""
        return [
            *(
                _refuse(entry, RefusalCause.DEADLINE, self._hold_s)
                for entry in self._queue.expire(now)
            ),
            *self._supply.tend(now),
            *self._supply.serve(self._queue, now),
        ]

    def next_tick_at(self) -> float:
        """Return when ``tick`` is due; infinite when nothing will be."""
        times = self._supply.due_times()
        times.extend(entry.deadline for entry in self._queue.list_entries())
        if self._queue and self._supply.failures:
            times.append(self._supply.open_at)
        return min(times, default=_FOREVER)

    def _grant_at_once(self, entry: QueueEntry, now: float) -> Grant | None:
        """Grant an idle connection when nobody waits."""
        if self.is_leaving or entry.deadline <= now or self._queue:
            return None
        place = self._supply.take_idle(entry.login, now)
        if place is None:
            return None
        return Grant(entry.request_id, place.connection_id)

    def _refuse_early(self, entry: QueueEntry, now: float) -> Refuse | None:
        """Refuse at once what could not be served in time."""
        if self.is_leaving:
            return _refuse(entry, RefusalCause.LEAVING, 0)
        if entry.deadline <= now:
            return _refuse(entry, RefusalCause.DEADLINE, 0)
        pause = self._supply.open_at - now
        if pause > 0 and not self._supply.is_live:
            return _refuse(entry, RefusalCause.UNREACHABLE, pause)
        expected = self._expect_wait(entry)
        if now + expected + self._hold_s > entry.deadline:
            return _refuse(entry, RefusalCause.OVERLOADED, expected)
        return None

    def _expect_wait(self, entry: QueueEntry) -> float:
        """Return how long a new request of that team would wait, about."""
        if self.limit < 1:
            return _FOREVER
        if self.in_use < self.limit and not self._queue:
            return 0
        ahead = self._queue.wait_of(entry.team, entry.weight) + 1
        return ahead * self._hold_s / self.limit

    def _keep(self, connection_id: int, now: float) -> list[PoolAction]:
        """Keep a connection that has just answered, if it is wanted."""
        place = self._supply.places.find(connection_id)
        if place is None or place.state in _ENDED_STATES:
            return []
        if self.is_leaving:
            return [close_place(place, now)]
        kept = self._supply.keep(place, now)
        return [*kept, *self._supply.serve(self._queue, now)]

    def _close_idle(self, count: int, now: float) -> list[PoolAction]:
        idle = self._supply.places.of_state(SlotState.IDLE)
        return [close_place(place, now) for place in idle[:count]]

    def _refuse_all(
        self, cause: RefusalCause, delay: float
    ) -> list[PoolAction]:
        return [_refuse(entry, cause, delay) for entry in self._queue.clear()]


def _refuse(
    entry: QueueEntry,
    cause: RefusalCause,
    retry_after_s: float,
) -> Refuse:
    return Refuse(entry.request_id, cause, retry_after_s)
