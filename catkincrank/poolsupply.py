"""Opens, leases, probes and closes the connections of a pool."""

import random
from dataclasses import dataclass
from typing import final

from catkincrank.fairqueue import FairQueue
from catkincrank.poolactions import Close, Grant, Open, PoolAction, Probe
from catkincrank.poolslots import Slot, Slots, SlotState
from catkincrank.retry import Backoff

__all__ = ('PoolOptions', 'ConnectionSupply', 'close_place')

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
        linger_s: Time for which a lost connection occupies its place.
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

    Attributes:
        limit: Most places that may be occupied.
        options: Time-outs and limits.
        places: The occupied places.
        failures: Consecutive failures to open a connection.
        open_at: Earliest time of the next attempt, in seconds.

    Args:
        limit: Most places that may be occupied.
        options: Time-outs and limits.
        source: Random numbers for the jitter of connection attempts.
    """

    __slots__ = (
        '_source',
        'failures',
        'limit',
        'open_at',
        'options',
        'places',
    )

    def __init__(
        self,
        limit: int,
        options: PoolOptions,
        source: random.Random,
    ) -> None:
        self.limit = limit
        self.places = Slots()
        self.failures = 0
        self.open_at: float = 0
        self.options = options
        self._source = source

    @property
    def has_live_place(self) -> bool:
        """Whether any connection is open or being opened."""
        return bool(self.places.list_in_state(*_LIVE_STATES))

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
        idle = self.places.list_in_state(SlotState.IDLE)
        if any(place.is_suspect for place in idle):
            return None
        fitting = [place for place in idle if place.login == login]
        if not fitting:
            return None
        chosen = max(fitting, key=_used_at)
        chosen.enter(SlotState.LEASED, now)
        return chosen

    def make_available(self, place: Slot, now: float) -> list[PoolAction]:
        """Make a connection that has just answered idle.

        Closes it instead when the pool is above its limit.
        """
        place.record_answer(now)
        if len(self.places) > self.limit:
            return [close_place(place, now)]
        place.enter(SlotState.IDLE, now)
        return []

    def record_open_failure(self, place: Slot, now: float) -> float:
        """Record a failed attempt; return the delay before the next one."""
        self.places.remove(place)
        self.failures += 1
        delay = self.options.backoff.delay(self.failures, self._source)
        self.open_at = now + delay
        return delay

    def begin_closing(
        self, place: Slot, now: float, *, is_lost: bool
    ) -> PoolAction:
        """Close a connection; when it was lost, suspect the idle ones."""
        place.is_lost = is_lost
        if is_lost:
            for other in self.places.list_in_state(SlotState.IDLE):
                other.is_suspect = other.answered_at < now
        return close_place(place, now)

    def maintain(self, now: float) -> list[PoolAction]:
        """Release lingering places; close or probe idle connections."""
        for place in self.places.list_in_state(SlotState.LINGERING):
            if now >= place.since + self.options.linger_s:
                self.places.remove(place)
        actions: list[PoolAction] = []
        idle = self.places.list_in_state(SlotState.IDLE)
        spare = len(idle) - self.options.kept_idle
        for connection in sorted(idle, key=_used_at):
            if spare > 0 and now - connection.used_at >= self.options.idle_s:
                spare -= 1
                actions.append(close_place(connection, now))
            elif now - connection.answered_at >= self.options.probe_after_s:
                actions.append(_probe_place(connection, now))
        return actions

    def list_due_times(self) -> list[float]:
        """Return the times at which ``maintain`` has work to do."""
        times: list[float] = []
        for place in self.places:
            if place.state is SlotState.LINGERING:
                times.append(place.since + self.options.linger_s)
            elif place.state is SlotState.IDLE:
                times.append(place.answered_at + self.options.probe_after_s)
        return times

    def _probe_suspects(
        self,
        queue: FairQueue,
        now: float,
    ) -> list[PoolAction]:
        if not queue:
            return []
        return [
            _probe_place(place, now)
            for place in self.places.list_in_state(SlotState.IDLE)
            if place.is_suspect
        ]

    def _grant_idle(self, queue: FairQueue, now: float) -> list[PoolAction]:
        """Grant the most recently used ones, so that the others expire."""
        actions: list[PoolAction] = []
        idle = self.places.list_in_state(SlotState.IDLE)
        idle.sort(key=_used_at)
        while idle:
            entry = queue.pop(frozenset(one.login for one in idle))
            if entry is None:
                break
            place = [one for one in idle if one.login == entry.login][-1]
            idle.remove(place)
            place.enter(SlotState.LEASED, now)
            actions.append(Grant(entry.request_id, place.connection_id))
        return actions

    def _open_more(self, queue: FairQueue, now: float) -> list[PoolAction]:
        if now < self.open_at:
            return []
        actions: list[PoolAction] = []
        opening = self.places.list_in_state(SlotState.OPENING)
        pending = [place.login for place in opening]
        room = self.options.max_opening - len(opening)
        for entry in queue.list_entries():
            if entry.login in pending:
                pending.remove(entry.login)
            elif len(actions) >= room:
                break
            elif len(self.places) < self.limit:
                place = self.places.add(entry.login, now)
                actions.append(Open(place.connection_id, place.login))
            else:
                return [*actions, *self._make_room(now)]
        return actions

    def _make_room(self, now: float) -> list[PoolAction]:
        """Close an idle connection of a login that no request waits for."""
        if self.places.list_in_state(SlotState.CLOSING):
            return []
        idle = self.places.list_in_state(SlotState.IDLE)
        return [close_place(place, now) for place in idle[:1]]


def close_place(place: Slot, now: float) -> PoolAction:
    """Return the action that closes the connection of ``place``."""
    place.enter(SlotState.CLOSING, now)
    return Close(place.connection_id)


def _probe_place(place: Slot, now: float) -> PoolAction:
    place.enter(SlotState.PROBING, now)
    return Probe(place.connection_id)


def _used_at(place: Slot) -> float:
    return place.used_at
