"""Puts log lines of several processes together into what led to a failure."""

import json
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from datetime import datetime
from typing import Any, final

__all__ = ('LogLine', 'describe_line', 'correlate_lines', 'read_lines')

# What happened to a group this long before a request failed may have caused
# it: a replacement takes up to 6 s.
_BEFORE_S = 8.0
_AFTER_S = 3.0
_HIDDEN = frozenset(('time', 'level', 'event', 'source'))


@final
@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process's log.

    Attributes:
        at: Time of day, in seconds since 1970, on the clock of its VM.
        source: Name of the process.
        event: Name of the event.
        fields: Its other fields.
    """

    at: float
    source: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Return the log lines in ``texts``; what is none is passed over.

    Anything before the first brace, e.g. a prefix of a log collector, is
    left out.
    """
    for text in texts:
        begin = text.find('{')
        with suppress(ValueError, KeyError, TypeError):
            yield _parse(json.loads(text[max(0, begin) :]))


def correlate_lines(lines: Iterable[LogLine], subject: str) -> list[LogLine]:
    """Return the lines about a request or group, and what may explain them.

    For a request these are the events of its group shortly before it failed,
    in all processes, and those of its own process that concern all groups.
    """
    ordered = sorted(lines, key=_time_of)
    own = [line for line in ordered if line.fields.get('request') == subject]
    if not own:
        return [
            line for line in ordered if line.fields.get('service') == subject
        ]
    begin, end = own[0].at - _BEFORE_S, own[-1].at + _AFTER_S
    return [
        line
        for line in ordered
        if line in own or (begin <= line.at <= end and _explains(line, own[0]))
    ]


def describe_line(line: LogLine, began: float) -> str:
    """Return a line for people, with the time since ``began``."""
    shown = ', '.join(
        '{0}={1}'.format(name, value) for name, value in line.fields.items()
    )
    return '{0:+8.3f} s  {1:<22} {2}: {3}'.format(
        line.at - began,
        line.source,
        line.event,
        shown,
    )


def _parse(found: dict[str, Any]) -> LogLine:
    return LogLine(
        datetime.fromisoformat(found['time']).timestamp(),
        found['source'],
        found['event'],
        {name: value for name, value in found.items() if name not in _HIDDEN},
    )


def _explains(line: LogLine, request: LogLine) -> bool:
    if 'request' in line.fields:
        return False
    service = line.fields.get('service')
    if service is not None:
        return service == request.fields.get('service')
    return line.source == request.source


def _time_of(line: LogLine) -> float:
    return line.at
