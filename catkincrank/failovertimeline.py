"""Finds the events of a failover in the journals of several processes."""

from collections.abc import Iterable

import msgspec

from catkincrank.adminclient import ProcessState
from catkincrank.journal import Event

__all__ = ('collect_events', 'describe_event', 'find_last_failover')

_QUIET_GAP_S = 60
_GROUP = 'group'
_PROMOTION = 'promotion'


def collect_events(states: Iterable[ProcessState]) -> list[Event]:
    """Return the events of all journals, ordered by time."""
    events = [
        msgspec.convert(entry, Event)
        for process in states
        for entry in process.state.get('journal', [])
    ]
    return sorted(
        events,
        key=lambda event: (event.at, event.source, event.sequence),
    )


def find_last_failover(events: Iterable[Event], group: str) -> list[Event]:
    """Return the events of the last failover of ``group``.

    A failover's events follow one another closely, so a quiet minute parts
    one failover from the next. The last one with a promotion counts, or the
    last of all when nothing was promoted.
    """
    failovers: list[list[Event]] = [[]]
    for event in events:
        if not _concerns(event, group):
            continue
        newest = failovers[-1]
        if newest and event.at - newest[-1].at > _QUIET_GAP_S:
            newest = []
            failovers.append(newest)
        newest.append(event)
    promoted = [found for found in failovers if _has_promotion(found)]
    return promoted[-1] if promoted else failovers[-1]


def describe_event(event: Event, began_at: float) -> str:
    """Return one line that describes an event."""
    evidence = ', '.join(
        '{0}={1}'.format(name, shown)
        for name, shown in sorted(event.evidence.items())
    )
    return '{0:+8.3f} s  {1:<12}  {2}: {3}; {4}{5}'.format(
        event.at - began_at,
        event.source,
        event.name,
        event.cause,
        event.outcome,
        ' [{0}]'.format(evidence) if evidence else '',
    )


def _concerns(event: Event, group: str) -> bool:
    named = {event.subject, event.evidence.get(_GROUP, '')}
    return group in named or event.subject.startswith('{0}/'.format(group))


def _has_promotion(events: list[Event]) -> bool:
    return any(event.name == _PROMOTION for event in events)
