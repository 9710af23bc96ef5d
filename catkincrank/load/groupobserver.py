"""Records the statements that stand-in instances report."""

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
    """Reads of callers, by role of the instance that served them.

    Attributes:
        by_replicas: Reads served by replicas.
        by_primaries: Reads served by primaries.
        samples: Time of each read, and whether a replica served it.
    """

    by_replicas: int = 0
    by_primaries: int = 0
    samples: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def replica_share(self) -> float:
        """Fraction of the reads served by replicas."""
        total = self.by_replicas + self.by_primaries
        return self.by_replicas / total if total else 0


@final
class GroupObserver(InstanceObserver):
    """Records the statements run by the instances of a group.

    Args:
        group: Name of the group.
        history: Receives the records.
        reads: Counts the reads of callers.
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
        self._transactions: dict[str, str] = {}

    def on_statement(self, seen: ExecutedStatement) -> None:
        """Record a statement of a caller or the end of its transaction."""
        request = _find_request(seen)
        owner = self._transactions.get(seen.connection, '')
        if request:
            self._record(seen, request, is_first=not owner)
            if seen.sql.startswith(_SELECT):
                self._count_read(seen)
        elif owner and not seen.is_open:
            self._add(seen, owner, StatementPlace.LAST)
        if seen.is_open and (request or owner):
            self._transactions[seen.connection] = owner or request
        else:
            self._transactions.pop(seen.connection, None)

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

    def _count_read(self, seen: ExecutedStatement) -> None:
        sample = (anyio.current_time(), not seen.is_primary)
        self._reads.samples.append(sample)
        if seen.is_primary:
            self._reads.by_primaries += 1
        else:
            self._reads.by_replicas += 1


def _find_request(seen: ExecutedStatement) -> str:
    for text in seen.params:
        request = find_request(text)
        if request:
            return request
    return ''
