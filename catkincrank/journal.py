"""Journal of decisions: typed events with cause, evidence and outcome.

Each decision that an operator would ask about is recorded once. The journal is
bounded, shown in the state dump, and each entry is also a line of the log.
"""

import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import final

__all__ = ('Event', 'Journal')

_CAPACITY = 512


@final
@dataclass(frozen=True, slots=True)
class Event:
    """One decision.

    Attributes:
        name: Name of the event, e.g. ``promotion``.
        subject: What it is about: a group, an endpoint, a peer.
        cause: Why the decision came up.
        outcome: What was decided or what came of it.
        evidence: What it rests on, as short texts by name.
        at: Wall-clock time in seconds since 1970.
        sequence: Place in its process's journal.
        source: Name of the process.
    """

    name: str
    subject: str
    cause: str
    outcome: str
    evidence: dict[str, str] = field(default_factory=dict)
    at: float = 0
    sequence: int = 0
    source: str = ''


@final
class Journal:
    """Keeps the newest events of one process.

    Args:
        source: Name of the process.
        capacity: How many events are kept.
    """

    def __init__(self, source: str, capacity: int = _CAPACITY) -> None:
        self.source = source
        self._events: deque[Event] = deque(maxlen=capacity)
        self._numbers = itertools.count(1)

    def record(self, event: Event, at: float) -> Event:
        """Keep ``event``, stamped with time, number and source."""
        stamped = Event(
            event.name,
            event.subject,
            event.cause,
            event.outcome,
            event.evidence,
            at=at,
            sequence=next(self._numbers),
            source=self.source,
        )
        self._events.append(stamped)
        return stamped

    def list_events(self, subject: str = '') -> list[Event]:
        """Return the events kept, oldest first, of one subject if given."""
        return [
            event
            for event in self._events
            if not subject or event.subject == subject
        ]
