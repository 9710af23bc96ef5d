"""Opens, leases, probes and closes the connections of a pool."""

import random
from dataclasses import dataclass
from typing import final

from catkincrank.fairqueue import FairQueue
from catkincrank.poolactions import Close, Grant, Open, PoolAction, Probe
from catkincrank.poolslots import Slot, Slots, SlotState
from catkincrank.retry import Backoff

__all__ = ('PoolOptions', 'ConnectionSupply', 'close_slot')

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
    """

    queue_length: int = 256
    idle_s: float = 60
    kept_idle: int = 1
    probe_after_s: float = 5
    probe_timeout_s: float = 0.5
    max_opening: int = 2
    linger_s: float = 0.5
    backoff: Backoff = Backoff(_OPEN_BASE_S, _OPEN_CAP_S)


@final
class ConnectionSupply:
    """Connections of one pool and the attempts to open more.

    Args:
        limit: Most slots that may be occupied.
        options: Time-outs and limits.
        source: Random numbers for the jitter of connection attempts.

    Attributes:
        limit: Most slots that may be occupied.
        options: Time-outs and limits.
        slots: The occupied slots.
        failures: Consecutive failures to open a connection.
        open_at: Earliest time of the next attempt, in seconds.
    """

    __slots__ = (
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
    ) -> None:
        self.limit = limit
        self.slots = Slots()
        self.failures = 0
        self.open_at: float = 0
        self.options = options
        self._source = source

    @property
    def has_live_slot(self) -> bool:
        """Whether any connection is open or being opened."""
        return bool(self.slots.list_in_state(*_LIVE_STATES))

    def serve(self, queue: FairQueue, now: float) -> list[PoolAction]:
        """Grant idle connections to ``queue`` and open more if needed."""
        if not queue:
            return []
        return [
            *self._probe_suspects(queue, now),
            *self._grant_idle(queue, now),
            *self._open_more(queue, now),
        ]

    def lease_idle(self, login: str, now: float) -> Slot | None:
        """Lease the most recently used idle connection.

        Returns ``None`` when none fits, or while any of them is suspect.
        """
        idle = self.slots.list_in_state(SlotState.IDLE)
        if any(slot.is_suspect for slot in idle):
            return None
        fitting = [slot for slot in idle if slot.login == login]
        if not fitting:
            return None
        chosen = max(fitting, key=_used_at)
        chosen.enter(SlotState.LEASED, now)
        return chosen

    def make_available(self, slot: Slot, now: float) -> list[PoolAction]:
        """Make a connection that has just answered idle.

        Closes it instead when the pool is above its limit.
        """
        slot.record_answer(now)
        if len(self.slots) > self.limit:
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
        actions: list[PoolAction] = []
        idle = self.slots.list_in_state(SlotState.IDLE)
        spare = len(idle) - self.options.kept_idle
        for slot in sorted(idle, key=_used_at):
            if spare > 0 and now - slot.used_at >= self.options.idle_s:
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

    def _probe_suspects(
        self,
        queue: FairQueue,
        now: float,
    ) -> list[PoolAction]:
        if not queue:
            return []
        return [
            _probe_slot(slot, now)
            for slot in self.slots.list_in_state(SlotState.IDLE)
            if slot.is_suspect
        ]

    def _grant_idle(self, queue: FairQueue, now: float) -> list[PoolAction]:
        """Grant the most recently used ones, so that the others expire."""
        actions: list[PoolAction] = []
        idle = self.slots.list_in_state(SlotState.IDLE)
        idle.sort(key=_used_at)
        while idle:
            entry = queue.pop(frozenset(one.login for one in idle))
            if entry is None:
                break
            slot = [one for one in idle if one.login == entry.login][-1]
            idle.remove(slot)
            slot.enter(SlotState.LEASED, now)
            actions.append(Grant(entry.request_id, slot.connection_id))
        return actions

    def _open_more(self, queue: FairQueue, now: float) -> list[PoolAction]:
        if now < self.open_at:
            return []
        actions: list[PoolAction] = []
        opening = self.slots.list_in_state(SlotState.OPENING)
        pending = [slot.login for slot in opening]
        room = self.options.max_opening - len(opening)
        for entry in queue.list_entries():
            if entry.login in pending:
                pending.remove(entry.login)
            elif len(actions) >= room:
                break
            elif len(self.slots) < self.limit:
                slot = self.slots.add(entry.login, now)
                actions.append(Open(slot.connection_id, slot.login))
            else:
                return [*actions, *self._make_room(now)]
        return actions

    def _make_room(self, now: float) -> list[PoolAction]:
        """Close an idle connection of a login that no request waits for."""
        if self.slots.list_in_state(SlotState.CLOSING):
            return []
        idle = self.slots.list_in_state(SlotState.IDLE)
        return [close_slot(slot, now) for slot in idle[:1]]


def close_slot(slot: Slot, now: float) -> PoolAction:
    """Return the action that closes the connection of ``slot``."""
    slot.enter(SlotState.CLOSING, now)
    return Close(slot.connection_id)


def _probe_slot(slot: Slot, now: float) -> PoolAction:
    slot.enter(SlotState.PROBING, now)
    return Probe(slot.connection_id)


def _used_at(slot: Slot) -> float:
    return slot.used_at
