"""Structured log: JSON lines with event name, fields, masked passwords."""

import re
import sys
import time
from typing import Any, TextIO, final

import msgspec
from loguru import logger

from catkincrank.journal import Event, Journal
from catkincrank.logpipe import LogPipe

__all__ = ('EventRecorder', 'configure_logs', 'log_event', 'redact')

_MASK = '***'
_SECRET_FIELD = re.compile('password|secret|passphrase', re.IGNORECASE)
_SECRET_TEXT = re.compile(r'(?i)((?:password|secret)["\']?\s*[=:]\s*)\S+')
_URL_LOGIN = re.compile(r'(?<=://)([^:/@\s]+):[^@\s]+@')
_EVENT = 'event'


def configure_logs(
    source: str,
    sink: TextIO | LogPipe = sys.stderr,
) -> None:
    """Write log lines to ``sink`` as JSON with the field ``source``."""
    logger.remove()
    logger.configure(extra={'source': source})
    logger.add(sink, format=_format_record, level='INFO')


def log_event(event: str, level: str = 'INFO', **fields: Any) -> None:
    """Log one event with its typed fields."""
    logger.bind(event=event, **fields).log(level, event)


def redact(value: Any, name: str = '') -> Any:
    """Return ``value`` with passwords masked at any depth."""
    if name and _SECRET_FIELD.search(name):
        return _MASK
    if isinstance(value, str):
        masked = _SECRET_TEXT.sub(r'\1{0}'.format(_MASK), value)
        return _URL_LOGIN.sub(r'\1:{0}@'.format(_MASK), masked)
    if isinstance(value, dict):
        return {key: redact(part, str(key)) for key, part in value.items()}
    if isinstance(value, (list, tuple)):
        return [redact(part) for part in value]
    return value


@final
class EventRecorder:
    """Records events in both the journal and the log.

    Args:
        journal: Journal of the process.
    """

    __slots__ = ('journal',)

    def __init__(self, journal: Journal) -> None:
        self.journal = journal

    def record(self, event: Event) -> Event:
        """Add ``event`` to the journal with the current time and log it."""
        stamped = self.journal.record(event, time.time())
        log_event(
            stamped.name,
            subject=stamped.subject,
            cause=stamped.cause,
            outcome=stamped.outcome,
            evidence=stamped.evidence,
            sequence=stamped.sequence,
        )
        return stamped


def _format_record(record: Any) -> str:
    """Store the JSON line in ``record``; return the template for loguru.

    The line is not returned itself: loguru would parse its braces as fields.
    """
    fields = dict(record['extra'])
    event = fields.pop(_EVENT, 'message')
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        _EVENT: event,
        **fields,
    }
    if record['message'] != event:
        line['message'] = record['message']
    if record['exception'] is not None:
        line['error'] = repr(record['exception'].value)
    encoded = msgspec.json.encode(redact(line), enc_hook=str)
    record['line'] = encoded.decode('utf-8')
    return '{line}\n'
