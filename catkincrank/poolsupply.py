"""Supplies a pool's requests with connections within its limit."""

import random
from dataclasses import dataclass
from typing import final

from catkincrank.fairqueue import FairQueue
from catkincrank.poolactions import Close, Grant, Open, PoolAction, Probe
from catkincrank.poolslots import Slot, Slots, SlotState
from catkincrank.retry import Backoff

__all__ = ('PoolOptions', 'Supply', 'close_place')

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
    """Times and bounds of a pool.

    Attributes:
        queue_length: Requests that may wait.
        idle_s: Time after which an unused connection is closed.
        kept_idle: Connections that are kept however long they are unused.
        probe_after_s: Time without an answer after which an idle connection
            is probed.
        probe_timeout_s: Time within which a probe must be answered.
        max_opening: Connections that are opened at once.
        linger_s: Time for which a lost connection holds its place.
        backoff: Delays between failed attempts to open one.
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
class Supply:
    """Connections of one pool and the attempts to open more.

    Attributes:
        limit: Connections that may hold a place.
        options: Times and bounds.
        places: The places taken.
        failures: Failed attempts to open a connection in a row.
        open_at: Earliest time of the next attempt, in seconds.

    Args:
        limit: Connections that may hold a place.
        options: Times and bounds.
        source: Random numbers that spread the attempts.
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
    def is_live(self) -> bool:
        """Whether any connection works, as far as is known."""
        return bool(self.places.of_state(*_LIVE_STATES))

    def serve(self, queue: FairQueue, now: float) -> list[PoolAction]:
        """Give the requests in ``queue`` what there is, and open more."""
        if not queue:
            return []
        return [
            *self._probe_suspects(queue, now),
            *self._grant_idle(queue, now),
            *self._open_more(queue, now),
        ]

    def take_idle(self, login: str, now: float) -> Slot | None:
        """Lease the connection used last; ``None`` while any is suspect."""
        idle = self.places.of_state(SlotState.IDLE)
        if any(place.is_suspect for place in idle):
            return None
        fitting = [place for place in idle if place.login == login]
        if not fitting:
            return None
        chosen = max(fitting, key=_used_at)
        chosen.enter(SlotState.LEASED, now)
        return chosen

    def keep(self, place: Slot, now: float) -> list[PoolAction]:
        """Make a connection that has just answered free for requests."""
        place.hear(now)
        if len(self.places) > self.limit:
            return [close_place(place, now)]
        place.enter(SlotState.IDLE, now)
        return []

    def fail_opening(self, place: Slot, now: float) -> float:
        """Take in a failed attempt; return the delay before the next."""
        self.places.free(place)
        self.failures += 1
        delay = self.options.backoff.delay(self.failures, self._source)
        self.open_at = now + delay
        return delay

    def lose(self, place: Slot, now: float, *, is_lost: bool) -> PoolAction:
        """Close a connection; when it fell silent, suspect the others."""
        place.is_lost = is_lost
        if is_lost:
            for other in self.places.of_state(SlotState.IDLE):
                other.is_suspect = other.heard_at < now
        return close_place(place, now)

    def tend(self, now: float) -> list[PoolAction]:
        """Do what has come due, apart from requests."""
        for place in self.places.of_state(SlotState.LINGERING):
            if now >= place.since + self.options.linger_s:
                self.places.free(place)
        actions: list[PoolAction] = []
        idle = self.places.of_state(SlotState.IDLE)
        spare = len(idle) - self.options.kept_idle
        for connection in sorted(idle, key=_used_at):
            if spare > 0 and now - connection.used_at >= self.options.idle_s:
                spare -= 1
                actions.append(close_place(connection, now))
            elif now - connection.heard_at >= self.options.probe_after_s:
                actions.append(_probe_place(connection, now))
        return actions

    def due_times(self) -> list[float]:
        """Return when ``tend`` has something to do."""
        times: list[float] = []
        for place in self.places:
            if place.state is SlotState.LINGERING:
                times.append(place.since + self.options.linger_s)
            elif place.state is SlotState.IDLE:
                times.append(place.heard_at + self.options.probe_after_s)
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
            for place in self.places.of_state(SlotState.IDLE)
            if place.is_suspect
        ]

    def _grant_idle(self, queue: FairQueue, now: float) -> list[PoolAction]:
        """Grant the connections used last, so that the others can expire."""
        actions: list[PoolAction] = []
        idle = self.places.of_state(SlotState.IDLE)
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
        opening = self.places.of_state(SlotState.OPENING)
        pending = [place.login for place in opening]
        room = self.options.max_opening - len(opening)
        for entry in queue.list_entries():
            if entry.login in pending:
                pending.remove(entry.login)
            elif len(actions) >= room:
                break
            elif len(self.places) < self.limit:
                place = self.places.take(entry.login, now)
                actions.append(Open(place.connection_id, place.login))
            else:
                return [*actions, *self._make_room(now)]
        return actions

    def _make_room(self, now: float) -> list[PoolAction]:
        """Close an idle connection of another login than those that wait."""
        if self.places.of_state(SlotState.CLOSING):
            return []
        idle = self.places.of_state(SlotState.IDLE)
        return [close_place(place, now) for place in idle[:1]]


def close_place(place: Slot, now: float) -> PoolAction:
    """Begin to close the connection of ``place``."""
    place.enter(SlotState.CLOSING, now)
    return Close(place.connection_id)


def _probe_place(place: Slot, now: float) -> PoolAction:
    place.enter(SlotState.PROBING, now)
    return Probe(place.connection_id)


def _used_at(place: Slot) -> float:
    return place.used_at
