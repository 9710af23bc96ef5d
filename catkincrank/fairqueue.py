"""Bounded weighted fair queue of requests with deadlines.

Start-time fair queueing: the requests of a team are served in order, and the
teams in proportion to their weights, whatever the length of their bursts.
"""

from collections import deque
from dataclasses import dataclass
from typing import final

__all__ = ('FairQueue', 'QueueEntry')


@final
@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A queued request.

    Attributes:
        request_id: Number of the request, unique in its queue.
        team: Team of the caller.
        deadline: Time at which the request expires, in seconds.
        weight: Weight of the team relative to other teams.
        login: User and database of the connection that it needs.
        queued_at: When it was queued, in seconds.
    """

    request_id: int
    team: str
    deadline: float
    weight: int = 1
    login: str = ''
    queued_at: float = 0


@final
class _TeamQueue:
    """Queued requests of one team with their virtual start times."""

    __slots__ = ('entries', 'finish', 'weight')

    def __init__(self) -> None:
        self.weight = 1
        self.entries: deque[tuple[float, QueueEntry]] = deque()
        self.finish: float = 0

    @property
    def start(self) -> float:
        return self.entries[0][0]

    @property
    def weighted_length(self) -> float:
        """Number of queued requests divided by the team's weight."""
        return len(self.entries) / self.weight


@final
class FairQueue:
    """Weighted fair queue of the requests of several teams.

    Args:
        capacity: Most requests that may be queued.
    """

    __slots__ = ('_capacity', '_virtual_time', '_teams')

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._virtual_time: float = 0
        self._teams: dict[str, _TeamQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue.entries) for queue in self._teams.values())

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Queue ``entry``; return the request that is evicted, if any.

        A full queue evicts the newest request of the team with the most queued
        requests relative to its weight. That can be ``entry`` itself.
        """
        queue = self._teams.setdefault(entry.team, _TeamQueue())
        start = max(self._virtual_time, queue.finish)
        queue.entries.append((start, entry))
        queue.finish = start + 1 / entry.weight
        queue.weight = entry.weight
        if len(self) <= self._capacity:
            return None
        return self._drop_newest()

    def pop(self, logins: frozenset[str] | None = None) -> QueueEntry | None:
        """Remove and return the next request, only of ``logins`` if given."""
        heads = [
            (queue.start, team)
            for team, queue in self._teams.items()
            if queue.entries
            and (logins is None or queue.entries[0][1].login in logins)
        ]
        if not heads:
            return None
        start, team = min(heads)
        self._virtual_time = max(self._virtual_time, start)
        _, entry = self._teams[team].entries.popleft()
        self._drop_idle_teams()
        return entry

    def count_ahead(self, team: str, weight: int) -> int:
        """Return how many requests would be served before a new one."""
        queue = self._teams.get(team)
        own = len(queue.entries) if queue else 0
        share = (own + 1) / weight
        others = sum(
            min(len(other.entries), share * other.weight)
            for name, other in self._teams.items()
            if name != team
        )
        return own + int(others)

    def remove(self, request_id: int) -> QueueEntry | None:
        """Remove a request, for example when its caller disconnected."""
        for queue in self._teams.values():
            for tagged in queue.entries:
                if tagged[1].request_id == request_id:
                    queue.entries.remove(tagged)
                    return tagged[1]
        return None

    def expire(self, now: float) -> list[QueueEntry]:
        """Remove and return the requests whose deadline has passed."""
        late = [entry for entry in self.list_entries() if entry.deadline <= now]
        for entry in late:
            self.remove(entry.request_id)
        return late

    def clear(self) -> list[QueueEntry]:
        """Remove and return all requests."""
        entries = self.list_entries()
        self._teams.clear()
        return entries

    def list_entries(self) -> list[QueueEntry]:
        """Return the queued requests, grouped by team."""
        return [
            entry
            for queue in self._teams.values()
            for _, entry in queue.entries
        ]

    def _drop_newest(self) -> QueueEntry:
        team = max(self._teams, key=self._find_weighted_length)
        queue = self._teams[team]
        start, entry = queue.entries.pop()
        queue.finish = start
        return entry

    def _find_weighted_length(self, team: str) -> float:
        return self._teams[team].weighted_length

    def _drop_idle_teams(self) -> None:
        """Drop empty queues whose virtual finish time has passed.

        A team that is still ahead of its share keeps its finish time, so that
        it cannot gain by queueing one request at a time.
        """
        idle = [
            team
            for team, queue in self._teams.items()
            if not queue.entries and queue.finish <= self._virtual_time
        ]
        for team in idle:
            self._teams.pop(team)
