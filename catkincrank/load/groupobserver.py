"""Turns what stand-in instances report into records of the run."""

from dataclasses import dataclass, field
from typing import final

import anyio

from catkincrank.load.workload import find_request
from catkincrank.records import (
    RecordedHistory,
    StatementPlace,
    StatementRan,
    TermBegan,
)
from catkincrank.standins.observer import ExecutedStatement, InstanceObserver

__all__ = ('GroupObserver', 'ReadCounts')

_SELECT = 'SELECT'


@final
@dataclass(slots=True)
class ReadCounts:
    """Callers' reads by where they ran.

    Attributes:
        by_replicas: Reads that replicas served.
        by_primaries: Reads that primaries served.
        places: When each read ran, and whether on a replica.
    """

    by_replicas: int = 0
    by_primaries: int = 0
    places: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def replica_share(self) -> float:
        """Part of the reads that replicas served."""
        total = self.by_replicas + self.by_primaries
        return self.by_replicas / total if total else 0


@final
class GroupObserver(InstanceObserver):
    """Records what one group's instances run.

    Args:
        group: Name of the group.
        history: Takes the records.
        reads: Counts the callers' reads.
    """

    def __init__(
        self,
        group: str,
        history: RecordedHistory,
        reads: ReadCounts,
    ) -> None:
        self._group = group
        self._history = history
        self._reads = reads
        self._open: dict[str, str] = {}

    def on_statement(self, seen: ExecutedStatement) -> None:
        """Record a statement of a caller, or the end of a transaction."""
        request = _find_caller(seen)
        owner = self._open.get(seen.connection, '')
        if request:
            self._record(seen, request, is_first=not owner)
            if seen.sql.startswith(_SELECT):
                self._count(seen)
        elif owner and not seen.is_open:
            self._add(seen, owner, StatementPlace.LAST)
        if seen.is_open and (request or owner):
            self._open[seen.connection] = owner or request
        else:
            self._open.pop(seen.connection, None)

    def on_term(self, endpoint: str, term: int, position: int) -> None:
        """Record the start of a term."""
        now = anyio.current_time()
        self._history.add(TermBegan(now, self._group, term, position))

    def _record(
        self,
        seen: ExecutedStatement,
        request: str,
        *,
        is_first: bool,
    ) -> None:
        if seen.is_open:
            place = StatementPlace.FIRST if is_first else StatementPlace.INNER
        else:
            place = StatementPlace.ALONE if is_first else StatementPlace.LAST
        self._add(seen, request, place)

    def _add(
        self,
        seen: ExecutedStatement,
        request: str,
        place: StatementPlace,
    ) -> None:
        self._history.add(
            StatementRan(
                anyio.current_time(),
                '{0}/{1}'.format(self._group, seen.endpoint),
                '{0}/{1}'.format(self._group, seen.connection),
                request,
                place,
            ),
        )

    def _count(self, seen: ExecutedStatement) -> None:
        place = (anyio.current_time(), not seen.is_primary)
        self._reads.places.append(place)
        if seen.is_primary:
            self._reads.by_primaries += 1
        else:
            self._reads.by_replicas += 1


def _find_caller(seen: ExecutedStatement) -> str:
    for text in seen.params:
        request = find_request(text)
        if request:
            return request
    return ''
