"""Assigns the connections of a pool to its queued requests, in fair order.

A request is granted an idle connection of its login. Without one, a connection
is opened for it, if need be in place of the least recently used idle connection
of another login. Requests further back do not take the connection, or the room
for one, that a request before them needs: a login with many requests would
otherwise keep every connection that is given back. Only those that are served
soon anyway go first, so that logins that wait in turn share one opening.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from catkincrank.fairqueue import FairQueue, QueueEntry
from catkincrank.poolactions import Close, Grant, Open, PoolAction
from catkincrank.poolslots import Slot, Slots, SlotState

__all__ = ('RoomLimits', 'ServingRound')

# Virtual time by which a request may be served before one that needs its
# connection closed; a request of weight 1 takes 1. Without it, 16 logins that
# share 9 connections at full load had more than twice as many opened.
_MAX_ADVANCE = 1.0


@final
@dataclass(frozen=True, slots=True)
class RoomLimits:
    """Limits of one round.

    Attributes:
        in_flight: Most connections leased or being opened.
        opening: Most connections being opened; 0 after a recent failure.
        count_capacity: Returns how many connections may be held, including
            idle ones, when one of a login is opened.
    """

    in_flight: int
    opening: int
    count_capacity: Callable[[str], int]


@final
class ServingRound:
    """One pass over the queued requests.

    Args:
        slots: Slots of the pool.
        queue: The queued requests.
        limits: Limits of the pool.
        now: Current time in seconds.

    Attributes:
        actions: Actions to run.
    """

    __slots__ = (
        '_closing',
        '_granted',
        '_in_flight',
        '_idle',
        '_limits',
        '_now',
        '_opening',
        '_promised',
        '_queue',
        '_slots',
        'actions',
    )

    def __init__(
        self,
        slots: Slots,
        queue: FairQueue,
        limits: RoomLimits,
        now: float,
    ) -> None:
        self._slots = slots
        self._queue = queue
        self._limits = limits
        self._now = now
        self._idle = sorted(
            slots.list_in_state(SlotState.IDLE), key=_find_use_time
        )
        opening = slots.list_in_state(SlotState.OPENING)
        self._opening = Counter(slot.login for slot in opening)
        self._closing = [
            slot
            for slot in slots.list_in_state(SlotState.CLOSING)
            if not slot.is_lost
        ]
        # Connections leased, and requests served by others in this round.
        self._in_flight = slots.count_in_state(SlotState.LEASED)
        # Connections being opened, or to be opened once another is closed.
        self._promised = len(opening)
        self._granted: dict[int, QueueEntry] = {}
        self.actions: list[PoolAction] = []

    def run(self) -> None:
        """Serve as many requests as possible, in fair order."""
        for _, entry in self._queue.iterate():
            if self._in_flight >= self._limits.in_flight:
                break
            if self._grant(entry) or self._provide(entry):
                self._in_flight += 1
        for granted in self._granted.values():
            self._queue.take(granted)

    def _grant(self, entry: QueueEntry) -> bool:
        """Grant the most recently used one, so that the others expire."""
        for slot in reversed(self._idle):
            if slot.login == entry.login:
                self._idle.remove(slot)
                slot.lease(self._now)
                self._granted[entry.request_id] = entry
                grant = Grant(entry.request_id, slot.connection_id)
                self.actions.append(grant)
                return True
        return False

    def _provide(self, entry: QueueEntry) -> bool:
        """Return whether a connection is, or will be, opened for a request."""
        if self._opening[entry.login]:
            self._opening[entry.login] -= 1
            return True
        leased = self._slots.count_in_state(SlotState.LEASED)
        if self._promised >= min(
            self._limits.opening, self._limits.in_flight - leased
        ):
            return False
        if len(self._slots) < self._limits.count_capacity(entry.login):
            self._open(entry)
        elif not self._make_room(entry):
            return False
        self._promised += 1
        return True

    def _open(self, entry: QueueEntry) -> None:
        slot = self._slots.add(entry.login, self._now)
        self.actions.append(Open(slot.connection_id, slot.login))

    def _make_room(self, entry: QueueEntry) -> bool:
        """Wait for a connection that is being closed, or close an idle one."""
        if self._closing:
            self._closing.pop()
            return True
        slot = self._choose_victim(entry) if self._idle else None
        if slot is None:
            return False
        self._idle.remove(slot)
        slot.enter(SlotState.CLOSING, self._now)
        self.actions.append(Close(slot.connection_id))
        return True

    def _choose_victim(self, entry: QueueEntry) -> Slot | None:
        """Return the least recently used one that may be closed.

        One that no queued request needs comes first.
        """
        waiting = [
            (start, other)
            for start, other in self._queue.iterate()
            if other.request_id not in self._granted
        ]
        needed = Counter(other.login for _, other in waiting)
        idle = Counter(slot.login for slot in self._idle)
        for slot in self._idle:
            if idle[slot.login] > needed[slot.login]:
                return slot
        starts = {other.login: start for start, other in reversed(waiting)}
        latest = _MAX_ADVANCE + next(
            start for start, other in waiting if other is entry
        )
        for candidate in self._idle:
            if starts[candidate.login] > latest:
                return candidate
        return None


def _find_use_time(slot: Slot) -> float:
    return slot.used_at
