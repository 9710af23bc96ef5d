"""Correlates log lines of several processes to explain a failure."""

import json
import re
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from datetime import datetime
from typing import Any, final

__all__ = ('LogLine', 'describe_line', 'correlate_lines', 'read_lines')

# Events of a group up to this long before a failed request may have caused
# the failure: a replacement of the primary takes up to 6 s.
_LOOKBACK_S = 8.0
_LOOKAHEAD_S = 3.0
# How a request that exceeds an organisation's limit is explained; the name of
# the organisation follows.
_LIMIT_CAUSE = re.compile(r'limit of (\S+): ')
# Events of any process that change who divides the limits.
_ALLOCATOR_EVENTS = frozenset(
    ('duty_lost', 'duty_taken', 'quotas_known', 'quotas_taken')
)
# A text is no log line, or holds values of other types or ranges.
_PARSE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    OverflowError,
    RecursionError,
)
_HEADER_FIELDS = frozenset(('time', 'level', 'event', 'source'))


@final
@dataclass(frozen=True, slots=True)
class LogLine:
    """Log line of a process.

    Attributes:
        at: Wall-clock time in seconds since 1970, on the clock of its VM.
        source: Name of the process.
        event: Name of the event.
        fields: The other fields.
    """

    at: float
    source: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines; texts that are not log lines are skipped.

    Anything before the first brace, e.g. the prefix of a log collector, is
    ignored.
    """
    for text in texts:
        begin = text.find('{')
        with suppress(*_PARSE_ERRORS):
            yield _parse(json.loads(text[max(0, begin) :]))


def correlate_lines(lines: Iterable[LogLine], subject: str) -> list[LogLine]:
    """Return the log lines about a request or group, in order of time.

    For a request, these also include events shortly before and after its
    failure: those of its group in all processes, and those of its own process
    that concern no single group. For a request that an organisation's limit
    refused, these are also the changes of the process that divides the limits,
    and of the lines about organisations only those about that one.
    """
    ordered = sorted(lines, key=_get_time)
    own = [line for line in ordered if line.fields.get('request') == subject]
    if not own:
        return [
            line for line in ordered if line.fields.get('service') == subject
        ]
    begin, end = (
        own[0].at - _LOOKBACK_S,
        own[-1].at + _LOOKAHEAD_S,
    )
    return [
        line
        for line in ordered
        if line in own
        or (begin <= line.at <= end and _is_related(line, own[0]))
    ]


def describe_line(line: LogLine, started_at: float) -> str:
    """Format a log line as text, with the time since ``started_at``."""
    shown = ', '.join(
        '{0}={1}'.format(name, value) for name, value in line.fields.items()
    )
    return '{0:+8.3f} s  {1:<22} {2}: {3}'.format(
        line.at - started_at,
        line.source,
        line.event,
        shown,
    )


def _parse(found: dict[str, Any]) -> LogLine:
    source, event = found['source'], found['event']
    if not (isinstance(source, str) and isinstance(event, str)):
        raise TypeError(type(source), type(event))
    return LogLine(
        datetime.fromisoformat(found['time']).timestamp(),
        source,
        event,
        {
            name: value
            for name, value in found.items()
            if name not in _HEADER_FIELDS
        },
    )


def _is_related(line: LogLine, request: LogLine) -> bool:
    if 'request' in line.fields:
        return False
    service = line.fields.get('service')
    organisation = _find_limited(request)
    if organisation and line.event in _ALLOCATOR_EVENTS:
        return True
    if line.fields.get('organisation', organisation) != organisation:
        return False
    if service is not None:
        return service == request.fields.get('service')
    return line.source == request.source


def _find_limited(request: LogLine) -> str | None:
    """Return the organisation whose limit refused a request, if one did."""
    found = _LIMIT_CAUSE.match(str(request.fields.get('cause', '')))
    return found and found.group(1)


def _get_time(line: LogLine) -> float:
    return line.at
