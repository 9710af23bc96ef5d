"""Statement log of a stand-in instance."""

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
    """One changing statement as it is replayed.

    Attributes:
        sql: Statement in the engine's dialect.
        params: Parameters by name.
        stamp: What ``now()`` returns while it runs.
        declaration: PostgreSQL text of a statement that declares a table.
    """

    sql: str
    params: dict[str, object]
    stamp: str
    declaration: str = ''


@final
@dataclass(frozen=True, slots=True)
class Record:
    """One committed transaction.

    Attributes:
        end: Log position just after the record.
        changes: Its changing statements in order.
        committed_at: When it was committed, on the runtime's clock.
    """

    end: int
    changes: tuple[Change, ...]
    committed_at: float


@final
class Log:
    """Records in order and the lineage they belong to."""

    def __init__(self) -> None:
        self.history = History((TermStart(_FIRST_TERM, 0),))
        self.records: list[Record] = []

    @property
    def end(self) -> int:
        """Position after the newest record."""
        return self.records[-1].end if self.records else 0

    @property
    def mark(self) -> LogMark:
        """Mark of the log's end."""
        return LogMark(self.history.term, self.end)

    def append(self, changes: tuple[Change, ...], now: float) -> Record:
        """Add a transaction's record."""
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

    def holds(self, mark: LogMark) -> bool:
        """Return whether a log that ends at ``mark`` is a prefix of this."""
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
