"""Records whose statements run in whose transactions at the instances."""

from typing import final

import anyio

from catkincrank.records import RecordedHistory, StatementPlace, StatementRan
from catkincrank.standins.modelnetwork import StepEvent

__all__ = ('StatementRecorder',)

_BEGIN = 'BEGIN'
_ENDINGS = frozenset(('COMMIT', 'ROLLBACK'))
_TABLE = 'payments'
_UNKNOWN = 'a transaction begun inside'


@final
class StatementRecorder:
    """Tells from a statement's first parameter whose it is.

    Args:
        history: Where to record.
    """

    __slots__ = ('_history', '_owners')

    def __init__(self, history: RecordedHistory) -> None:
        self._history = history
        self._owners: dict[int, str] = {}

    def record(self, event: StepEvent) -> None:
        """Take in a statement that has arrived at its instance."""
        keyword = event.sql.split(maxsplit=1)[0]
        owner = self._owners.get(event.connection_id)
        if keyword == _BEGIN:
            self._owners[event.connection_id] = ''
            if owner:
                self._add(event, _UNKNOWN, StatementPlace.INNER)
        elif keyword in _ENDINGS:
            self._owners.pop(event.connection_id, None)
            if owner:
                self._add(event, owner, StatementPlace.LAST)
        elif _TABLE in event.sql:
            self._record_work(event, owner)

    def _record_work(self, event: StepEvent, owner: str | None) -> None:
        if owner is None:
            self._add(event, event.owner, StatementPlace.ALONE)
            return
        place = StatementPlace.INNER if owner else StatementPlace.FIRST
        self._owners[event.connection_id] = owner or event.owner
        self._add(event, event.owner, place)

    def _add(
        self,
        event: StepEvent,
        owner: str,
        place: StatementPlace,
    ) -> None:
        self._history.add(
            StatementRan(
                anyio.current_time(),
                event.endpoint,
                str(event.connection_id),
                owner,
                place,
            ),
        )
