"""Opens, leases, probes and closes the connections of a pool."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import final

from catkincrank.fairqueue import FairQueue
from catkincrank.poolactions import Close, Grant, Open, PoolAction, Probe
from catkincrank.poolround import RoomLimits, ServingRound
from catkincrank.poolslots import Slot, Slots, SlotState
from catkincrank.retry import Backoff

__all__ = ('ConnectionSupply', 'CountEvent', 'PoolOptions', 'close_slot')

CountEvent = Callable[[str], None]

_LIVE_STATES = (
    SlotState.OPENING,
    SlotState.IDLE,
    SlotState.LEASED,
    SlotState.PROBING,
)
_OPEN_BASE_S = 0.05
_OPEN_CAP_S = 2


@final
@dataclass(frozen=True, slots=True)
class PoolOptions:
    """Time-outs and limits of a pool.

    Attributes:
        queue_length: Most requests that may be queued.
        idle_s: Time after which an unused connection is closed.
        kept_idle: Idle connections that are never closed for being unused.
        probe_after_s: Time without an answer after which an idle connection
            is probed.
        probe_timeout_s: Time within which a probe must be answered.
        max_opening: Most connections that are being opened at a time.
        linger_s: Time for which a lost connection occupies its slot.
        backoff: Delays after failures to open a connection.
        max_held: Most connections held once some have a login, including idle
            ones beyond the limit; the limit applies if it is higher.
        login_idle_s: As ``idle_s``, for connections with a login; ``idle_s``
            applies if it is longer.
    """

    queue_length: int = 256
    idle_s: float = 60
    kept_idle: int = 1
    probe_after_s: float = 5
    probe_timeout_s: float = 0.5
    max_opening: int = 2
    linger_s: float = 0.5
    backoff: Backoff = Backoff(_OPEN_BASE_S, _OPEN_CAP_S)
    max_held: int = 0
    login_idle_s: float = 0


@final
class ConnectionSupply:
    """Connections of one pool and the attempts to open more.

    Args:
        limit: Most connections leased or being opened, and most slots without
            logins.
        options: Time-outs and limits.
        source: Random numbers for the jitter of connection attempts.
        count_event: Counts connections that are ``opened``, ``reused``, or
            ``evicted`` for a request of another login.

    Attributes:
        limit: Most connections leased or being opened, and most slots without
            logins.
        options: Time-outs and limits.
        slots: The occupied slots.
        failures: Consecutive failures to open a connection.
        open_at: Earliest time of the next attempt, in seconds.
    """

    __slots__ = (
        '_count_event',
        '_source',
        'failures',
        'limit',
        'open_at',
        'options',
        'slots',
    )

    def __init__(
        self,
        limit: int,
        options: PoolOptions,
        source: random.Random,
        count_event: CountEvent,
    ) -> None:
        self.limit = limit
        self.slots = Slots()
        self.failures = 0
        self.open_at: float = 0
        self.options = options
        self._source = source
        self._count_event = count_event

    def list_live_logins(self) -> frozenset[str]:
        """Return the logins with a connection open or being opened."""
        live = self.slots.list_in_state(*_LIVE_STATES)
        return frozenset(slot.login for slot in live)

    def count_capacity(self, login: str = '') -> int:
        """Return how many slots may be occupied when ``login`` needs one."""
        if login or any(slot.login for slot in self.slots):
            return max(self.limit, self.options.max_held)
        return self.limit

    def serve(self, queue: FairQueue, now: float) -> list[PoolAction]:
        """Grant idle connections to ``queue`` and open more if needed."""
        if not queue:
            return []
        probes = self._probe_suspects(now)
        limits = RoomLimits(
            self.limit,
            self.options.max_opening if now >= self.open_at else 0,
            self.count_capacity,
        )
        serving = ServingRound(self.slots, queue, limits, now)
        serving.run()
        self._count(serving.actions)
        return [*probes, *serving.actions]

    def lease_idle(self, login: str, now: float) -> Slot | None:
        """Lease the most recently used idle connection.

        Returns ``None`` when none fits, or while any of them is suspect.
        """
        idle = self.slots.list_in_state(SlotState.IDLE)
        if any(slot.is_suspect for slot in idle):
            return None
        if self.slots.count_in_state(SlotState.LEASED) >= self.limit:
            return None
        fitting = [slot for slot in idle if slot.login == login]
        if not fitting:
            return None
        chosen = max(fitting, key=_used_at)
        chosen.lease(now)
        self._count_lease(chosen)
        return chosen

    def make_available(self, slot: Slot, now: float) -> list[PoolAction]:
        """Make a connection that has just answered idle.

        Closes it instead when the pool is above its limit.
        """
        slot.record_answer(now)
        if len(self.slots) > self.count_capacity():
            return [close_slot(slot, now)]
        slot.enter(SlotState.IDLE, now)
        return []

    def record_open_failure(self, slot: Slot, now: float) -> float:
        """Record a failed attempt; return the delay before the next one."""
        self.slots.remove(slot)
        self.failures += 1
        delay_s = self.options.backoff.delay(self.failures, self._source)
        self.open_at = now + delay_s
        return delay_s

    def begin_closing(
        self, slot: Slot, now: float, *, is_lost: bool
    ) -> PoolAction:
        """Close a connection; when it was lost, suspect the idle ones."""
        slot.is_lost = is_lost
        if is_lost:
            for other in self.slots.list_in_state(SlotState.IDLE):
                other.is_suspect = other.answered_at < now
        return close_slot(slot, now)

    def maintain(self, now: float) -> list[PoolAction]:
        """Release lingering slots; close or probe idle connections."""
        for slot in self.slots.list_in_state(SlotState.LINGERING):
            if now >= slot.since + self.options.linger_s:
                self.slots.remove(slot)
        actions = self.close_surplus(now)
        idle = self.slots.list_in_state(SlotState.IDLE)
        spare = len(idle) - self.options.kept_idle
        for slot in sorted(idle, key=_used_at):
            if spare > 0 and self._is_unused(slot, now):
                spare -= 1
                actions.append(close_slot(slot, now))
            elif now - slot.answered_at >= self.options.probe_after_s:
                actions.append(_probe_slot(slot, now))
        return actions

    def list_due_times(self) -> list[float]:
        """Return the times at which ``maintain`` has work to do."""
        times: list[float] = []
        for slot in self.slots:
            if slot.state is SlotState.LINGERING:
                times.append(slot.since + self.options.linger_s)
            elif slot.state is SlotState.IDLE:
                times.append(slot.answered_at + self.options.probe_after_s)
        return times

    def close_surplus(self, now: float) -> list[PoolAction]:
        """Close the least recently used idle connections beyond the limits."""
        closing = self.slots.count_in_state(SlotState.CLOSING)
        surplus = len(self.slots) - closing - self.count_capacity()
        if surplus <= 0:
            return []
        idle = self.slots.list_in_state(SlotState.IDLE)
        idle.sort(key=_used_at)
        return [close_slot(slot, now) for slot in idle[:surplus]]

    def _count(self, actions: Iterable[PoolAction]) -> None:
        for action in actions:
            if isinstance(action, Open):
                self._count_event('opened')
            elif isinstance(action, Close):
                self._count_event('evicted')
            elif isinstance(action, Grant):
                self._count_lease(self.slots.find(action.connection_id))

    def _count_lease(self, slot: Slot | None) -> None:
        if slot is not None and slot.leases > 1:
            self._count_event('reused')

    def _is_unused(self, slot: Slot, now: float) -> bool:
        idle_s = self.options.idle_s
        if slot.login:
            idle_s = max(idle_s, self.options.login_idle_s)
        return now - slot.used_at >= idle_s

    def _probe_suspects(self, now: float) -> list[PoolAction]:
        return [
            _probe_slot(slot, now)
            for slot in self.slots.list_in_state(SlotState.IDLE)
            if slot.is_suspect
        ]


def close_slot(slot: Slot, now: float) -> PoolAction:
    """Return the action that closes the connection of ``slot``."""
    slot.enter(SlotState.CLOSING, now)
    return Close(slot.connection_id)


def _probe_slot(slot: Slot, now: float) -> PoolAction:
    slot.enter(SlotState.PROBING, now)
    return Probe(slot.connection_id)


def _used_at(slot: Slot) -> float:
    return slot.used_at
