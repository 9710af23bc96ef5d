"""Replicated statement log of a stand-in instance."""

from bisect import bisect_right
from dataclasses import dataclass
from typing import final

from catkincrank.history import Containment, History, LogMark, TermStart

__all__ = ('Change', 'Log', 'Record')

_FIRST_TERM = 1
_RECORD_OVERHEAD_BYTES = 64


@final
@dataclass(frozen=True, slots=True)
class Change:
    """One write statement as it is replayed.

    Attributes:
        sql: Statement in the engine's dialect.
        params: Parameters by name.
        timestamp: Value of ``now()`` while it runs, in ISO format; the same
            on each replica.
        declaration: PostgreSQL text of a ``CREATE`` statement; empty for
            others.
    """

    sql: str
    params: dict[str, object]
    timestamp: str
    declaration: str = ''


@final
@dataclass(frozen=True, slots=True)
class Record:
    """One committed transaction.

    Attributes:
        end: Log position just after the record.
        changes: Its write statements in order.
        committed_at: Commit time on the runtime's clock.
    """

    end: int
    changes: tuple[Change, ...]
    committed_at: float


@final
class Log:
    """Records in order, with the history of their terms."""

    def __init__(self) -> None:
        self.history = History((TermStart(_FIRST_TERM, 0),))
        self.records: list[Record] = []

    @property
    def end(self) -> int:
        """Log position after the newest record."""
        return self.records[-1].end if self.records else 0

    @property
    def mark(self) -> LogMark:
        """Term and position of the log's end."""
        return LogMark(self.history.term, self.end)

    def append(self, changes: tuple[Change, ...], now: float) -> Record:
        """Append the record of a committed transaction."""
        size = sum(len(change.sql) for change in changes)
        end = self.end + size + _RECORD_OVERHEAD_BYTES
        record = Record(end, changes, now)
        self.records.append(record)
        return record

    def list_after(self, position: int) -> list[Record]:
        """Return the records that end past ``position``."""
        first = bisect_right(self.records, position, key=_get_end)
        return self.records[first:]

    def begin_term(self, term: int) -> None:
        """Begin ``term`` at the log's end."""
        self.history = self.history.extend(term, self.end)

    def has_prefix(self, mark: LogMark) -> bool:
        """Return whether the log that ends at ``mark`` is a prefix."""
        found = self.history.locate(mark)
        return found is Containment.HELD and mark.position <= self.end

    def copy(self) -> 'Log':
        """Return an independent copy."""
        copied = Log()
        copied.history = self.history
        copied.records = list(self.records)
        return copied


def _get_end(record: Record) -> int:
    return record.end
