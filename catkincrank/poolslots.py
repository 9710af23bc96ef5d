"""The places of a connection pool: one for each connection that may count."""

import enum
import itertools
from collections.abc import Iterator
from typing import final

__all__ = ('Slot', 'SlotState', 'Slots')


@final
class SlotState(enum.StrEnum):
    """What a place is taken by.

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
        connection_id: Its number.
        login: What kind of requests it serves.
        state: What it is doing.
        since: When that began, in seconds.
        heard_at: When the endpoint last answered on it.
        used_at: When a request last held it.
        is_suspect: Whether it must answer a probe before its next lease.
        is_lost: Whether it ended without an orderly close.
    """

    __slots__ = (
        'connection_id',
        'heard_at',
        'is_lost',
        'is_suspect',
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
        self.heard_at = now
        self.used_at = now
        self.is_suspect = False
        self.is_lost = False

    def enter(self, state: SlotState, now: float) -> None:
        """Change the state."""
        self.state = state
        self.since = now

    def hear(self, now: float) -> None:
        """Note that the endpoint answered."""
        self.heard_at = now
        self.is_suspect = False


@final
class Slots:
    """All places of one pool, by connection."""

    __slots__ = ('_numbers', '_places')

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._places: dict[int, Slot] = {}

    def __len__(self) -> int:
        return len(self._places)

    def __iter__(self) -> Iterator[Slot]:
        return iter(tuple(self._places.values()))

    def take(self, login: str, now: float) -> Slot:
        """Take a place for a connection that is to be opened."""
        place = Slot(next(self._numbers), login, now)
        self._places[place.connection_id] = place
        return place

    def find(self, connection_id: int) -> Slot | None:
        """Return the place of a connection, unless it is free already."""
        return self._places.get(connection_id)

    def free(self, place: Slot) -> None:
        """Let another connection be opened in its stead."""
        self._places.pop(place.connection_id, None)

    def of_state(self, *states: SlotState) -> list[Slot]:
        """Return the places in ``states``, the oldest first."""
        return [place for place in self if place.state in states]

    def count_of(self, state: SlotState) -> int:
        """Return how many places are in ``state``."""
        return len(
            [place for place in self._places.values() if place.state is state],
        )

    def count(self) -> dict[str, int]:
        """Return how many places are in each state."""
        counts = dict.fromkeys(map(str, SlotState), 0)
        for place in self:
            counts[place.state] += 1
        return counts
