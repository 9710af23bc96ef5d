"""Structured log: JSON lines with event name, fields, masked passwords."""

import select
import sys
import time
from datetime import datetime
from typing import TYPE_CHECKING, Any, TextIO, final

import msgspec

from catkincrank.logmasking import LINE_LIMITS, Masking
from catkincrank.logpipe import LogPipe

if TYPE_CHECKING:
    from catkincrank.journal import Event, Journal

__all__ = (
    'EventRecorder',
    'configure_early_logs',
    'configure_logs',
    'log_event',
    'redact',
    'start_logger',
)

_EVENT = 'event'
# The sink drops lines that a pipe does not take at once.
_MAX_LINE_BYTES = select.PIPE_BUF


class _EarlyLog:
    """Writes lines until the logger is imported."""

    __slots__ = ('sink', 'source')

    def __init__(self) -> None:
        self.source = ''
        self.sink: TextIO | LogPipe | None = None

    def write(self, event: str, level: str, fields: dict[str, Any]) -> None:
        """Write a line; errors end no task, as with the logger."""
        line = {
            'time': datetime.now().astimezone().isoformat(),
            'level': level,
            _EVENT: event,
            'source': self.source,
        }
        try:
            text = _encode_line({**line, **fields})
        except Exception as error:
            text = _encode_line({**line, 'unwritable': type(error).__name__})
        self.sink.write('{0}\n'.format(text))


_early = _EarlyLog()


def configure_early_logs(source: str, sink: TextIO | LogPipe) -> None:
    """Write lines as ``configure_logs`` does, but without the logger.

    The logger's import takes a start longer than all lines that it writes.
    Lines are the same; those of level DEBUG are not written.
    """
    _early.source = source
    _early.sink = sink


def start_logger() -> None:
    """Use the logger from now on, if ``configure_early_logs`` was called."""
    if _early.sink is not None:
        configure_logs(_early.source, _early.sink)


def configure_logs(
    source: str,
    sink: TextIO | LogPipe = sys.stderr,
) -> None:
    """Write log lines to ``sink`` as JSON with the field ``source``."""
    from loguru import logger  # noqa: WPS433

    _early.sink = None
    logger.remove()
    logger.configure(extra={'source': source})
    logger.add(sink, format=_format_record, level='INFO')


def log_event(event: str, level: str = 'INFO', **fields: Any) -> None:
    """Log one event with its typed fields."""
    if _early.sink is None:
        # Configured here or by the program that uses this package.
        from loguru import logger  # noqa: WPS433

        logger.bind(event=event, **fields).log(level, event)
    elif level != 'DEBUG':
        _early.write(event, level, fields)


def redact(value: Any, name: str = '') -> Any:
    """Return ``value`` with passwords masked at any depth that is shown."""
    return Masking().mask(value, name)


@final
class EventRecorder:
    """Records events in both the journal and the log.

    Args:
        journal: Journal of the process.
    """

    __slots__ = ('journal',)

    def __init__(self, journal: 'Journal') -> None:
        self.journal = journal

    def record(self, event: 'Event') -> 'Event':
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
    record['line'] = _encode_line(line)
    return '{line}\n'


def _encode_line(line: dict[str, Any]) -> str:
    for limits in LINE_LIMITS:
        encoded = msgspec.json.encode(Masking(limits).mask(line))
        if len(encoded) < _MAX_LINE_BYTES:
            break
    return encoded.decode('utf-8')
