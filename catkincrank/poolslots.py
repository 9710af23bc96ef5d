"""Slots of a connection pool, bounded by its limit.

Each connection that the endpoint may count occupies one slot.
"""

import enum
import itertools
from collections.abc import Iterator
from typing import final

__all__ = ('Slot', 'SlotState', 'Slots')


@final
class SlotState(enum.StrEnum):
    """State of the connection in a slot.

    ``LINGERING`` is a lost connection that the endpoint may still count.
    """

    OPENING = 'opening'
    IDLE = 'idle'
    LEASED = 'leased'
    PROBING = 'probing'
    CLOSING = 'closing'
    LINGERING = 'lingering'


@final
class Slot:
    """One connection of a pool.

    Attributes:
        connection_id: Number of the connection, unique in the pool.
        login: User and database of the connection.
        state: State of the connection.
        since: Time of the last change of state, in seconds.
        answered_at: When the endpoint last answered on it, in seconds.
        used_at: When a request last held it, in seconds.
        leases: Number of requests that have held it.
        is_suspect: Whether it must answer a probe before its next lease.
        is_lost: Whether it ended without an orderly close.
    """

    __slots__ = (
        'connection_id',
        'answered_at',
        'is_lost',
        'is_suspect',
        'leases',
        'login',
        'since',
        'state',
        'used_at',
    )

    def __init__(self, connection_id: int, login: str, now: float) -> None:
        self.connection_id = connection_id
        self.login = login
        self.state = SlotState.OPENING
        self.since = now
        self.answered_at = now
        self.used_at = now
        self.leases = 0
        self.is_suspect = False
        self.is_lost = False

    def enter(self, state: SlotState, now: float) -> None:
        """Change the state of the connection."""
        self.state = state
        self.since = now

    def lease(self, now: float) -> None:
        """Lease the connection to a request."""
        self.leases += 1
        self.enter(SlotState.LEASED, now)

    def record_answer(self, now: float) -> None:
        """Record that the endpoint answered on the connection."""
        self.answered_at = now
        self.is_suspect = False


@final
class Slots:
    """The occupied slots of one pool, by connection."""

    __slots__ = ('_ids', '_slots')

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._slots: dict[int, Slot] = {}

    def __len__(self) -> int:
        return len(self._slots)

    def __iter__(self) -> Iterator[Slot]:
        return iter(tuple(self._slots.values()))

    def add(self, login: str, now: float) -> Slot:
        """Occupy a slot for a connection to be opened."""
        slot = Slot(next(self._ids), login, now)
        self._slots[slot.connection_id] = slot
        return slot

    def find(self, connection_id: int) -> Slot | None:
        """Return the slot of a connection; ``None`` when it was released."""
        return self._slots.get(connection_id)

    def remove(self, slot: Slot) -> None:
        """Release the slot for another connection."""
        self._slots.pop(slot.connection_id, None)

    def list_in_state(self, *states: SlotState) -> list[Slot]:
        """Return the slots in one of ``states``, the oldest first."""
        return [slot for slot in self if slot.state in states]

    def count_in_state(self, state: SlotState) -> int:
        """Return the number of slots in ``state``."""
        return len(
            [slot for slot in self._slots.values() if slot.state is state],
        )

    def count(self) -> dict[str, int]:
        """Return the number of slots in each state."""
        counts = dict.fromkeys(map(str, SlotState), 0)
        for slot in self:
            counts[slot.state] += 1
        return counts
