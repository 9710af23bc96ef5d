"""Journal of decisions: typed events with cause, evidence and outcome.

Each decision that matters to an operator is recorded once. The journal is
bounded and part of the state dump. Each entry is also logged.
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
        subject: The group, endpoint or peer concerned.
        cause: What triggered the decision.
        outcome: The decision or its result.
        evidence: Facts that the decision is based on, as short texts by name.
        at: Wall-clock time in seconds since 1970.
        sequence: Sequence number in the journal of its process.
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
    """The newest events of one process.

    Args:
        source: Name of the process.
        capacity: Maximum number of events; older ones are dropped.
    """

    def __init__(self, source: str, capacity: int = _CAPACITY) -> None:
        self.source = source
        self._events: deque[Event] = deque(maxlen=capacity)
        self._numbers = itertools.count(1)

    def record(self, event: Event, at: float) -> Event:
        """Store ``event`` with its time, sequence number and source."""
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
        """Return the stored events, oldest first, of one subject if given."""
        return [
            event
            for event in self._events
            if not subject or event.subject == subject
        ]
