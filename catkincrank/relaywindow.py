"""Window of the newest index entries that a node has received.

The store numbers the entries consecutively, so the sequence number up to
which none is missing is a complete digest of a node's entries.
"""

from collections import OrderedDict
from typing import final

from catkincrank.settingsmessages import SettingsEntry
from catkincrank.store import Row

__all__ = ('ChangeSet', 'EntryWindow', 'RowCache')

_KEPT_ENTRIES = 256
_KEPT_ROWS = 32


@final
class EntryWindow:
    """Entries by number, and the number up to which none is missing.

    Attributes:
        sequence: Every entry up to this number has been received.
    """

    __slots__ = ('_entries', '_oldest', 'sequence')

    def __init__(self) -> None:
        self.sequence = 0
        self._entries: dict[int, SettingsEntry] = {}
        self._oldest = 1

    @property
    def oldest(self) -> int:
        """Number from which no entry up to ``sequence`` is missing."""
        return self._oldest

    def drop_before(self, oldest: int) -> None:
        """Stop waiting for entries before ``oldest``."""
        self._oldest = max(self._oldest, oldest)
        self.sequence = max(self.sequence, oldest - 1)
        self._advance()

    def add(self, entry: SettingsEntry) -> bool:
        """Keep ``entry``; return whether it is new or newly accepted."""
        held = self._entries.get(entry.sequence)
        if entry.sequence < self._oldest:
            return False
        if held is not None and (held.is_accepted or not entry.is_accepted):
            return False
        self._entries[entry.sequence] = entry
        self._advance()
        return True

    def list_after(self, sequence: int) -> tuple[SettingsEntry, ...]:
        """Return the entries after ``sequence`` up to the first gap."""
        first = max(sequence + 1, self._oldest)
        numbers = range(first, self.sequence + 1)
        return tuple(self._entries[number] for number in numbers)

    def mark_accepted(self, team: str, version: int) -> None:
        """Mark entries of ``team`` up to ``version`` as accepted."""
        for number, entry in self._entries.items():
            if entry.team == team and entry.version <= version:
                self._entries[number] = SettingsEntry(
                    number,
                    team,
                    entry.version,
                    is_accepted=True,
                )

    def _advance(self) -> None:
        while self.sequence + 1 in self._entries:
            self.sequence += 1
        expired = self.sequence - _KEPT_ENTRIES
        while self._oldest <= expired:
            self._entries.pop(self._oldest, None)
            self._oldest += 1


@final
class RowCache:
    """The newest rows that passed through a node, of any team."""

    __slots__ = ('_rows',)

    def __init__(self) -> None:
        self._rows: OrderedDict[str, Row] = OrderedDict()

    def put(self, team: str, row: Row) -> None:
        """Keep ``row`` unless the same or a newer version is kept."""
        held = self._rows.get(team)
        if held is not None and held.version >= row.version:
            return
        self._rows[team] = row
        self._rows.move_to_end(team)
        if len(self._rows) > _KEPT_ROWS:
            self._rows.popitem(last=False)

    def find(self, team: str) -> Row | None:
        """Return the row kept for ``team``, or ``None``."""
        return self._rows.get(team)


@final
class ChangeSet:
    """The most recently added changes, as many as ``EntryWindow`` keeps."""

    __slots__ = ('_changes',)

    def __init__(self) -> None:
        self._changes: OrderedDict[str, None] = OrderedDict()

    def add(self, change_id: str) -> bool:
        """Add a change; return whether it is new."""
        if change_id in self._changes:
            return False
        self._changes[change_id] = None
        if len(self._changes) > _KEPT_ENTRIES:
            self._changes.popitem(last=False)
        return True
