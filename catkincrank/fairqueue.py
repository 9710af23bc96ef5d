"""Bounded weighted fair queue of requests with deadlines.

Start-time fair queueing: the requests of a team are served in order, and the
teams in proportion to their weights, whatever the length of their bursts.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import final

__all__ = ('FairQueue', 'QueueEntry')

# Teams without requests whose finish times are kept. Without a bound, each team
# that ever queued while the queue was short would be kept.
_MAX_IDLE_TEAMS = 64


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
    weight: float = 1
    login: str = ''
    queued_at: float = 0


# Virtual start time, number of the arrival, request.
_Tagged = tuple[float, int, QueueEntry]


@final
class _TeamQueue:
    """Queued requests of one team with their virtual start times."""

    __slots__ = ('entries', 'finish', 'weight')

    def __init__(self, finish: float) -> None:
        self.weight: float = 1
        self.entries: deque[_Tagged] = deque()
        self.finish = finish

    @property
    def weighted_length(self) -> float:
        """Number of queued requests divided by the team's weight."""
        return len(self.entries) / self.weight


@final
class FairQueue:
    """Weighted fair queue of the requests of several teams.

    The cost of an operation depends on the number of queued requests, not on
    the number of teams that have ever queued one.

    Args:
        capacity: Most requests that may be queued.
    """

    __slots__ = (
        '_arrivals',
        '_capacity',
        '_idle',
        '_length',
        '_teams',
        '_virtual_time',
    )

    def __init__(self, capacity: int) -> None:
        self._arrivals = itertools.count()
        self._capacity = capacity
        self._length = 0
        self._virtual_time: float = 0
        self._teams: dict[str, _TeamQueue] = {}
        self._idle: dict[str, float] = {}

    def __len__(self) -> int:
        return self._length

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Queue ``entry``; return the request that is evicted, if any.

        A full queue evicts the newest request of the team with the most queued
        requests relative to its weight. That can be ``entry`` itself.
        """
        queue = self._teams.get(entry.team)
        if queue is None:
            queue = _TeamQueue(self._idle.pop(entry.team, 0))
            self._teams[entry.team] = queue
        start = max(self._virtual_time, queue.finish)
        queue.entries.append((start, next(self._arrivals), entry))
        queue.finish = start + 1 / entry.weight
        queue.weight = entry.weight
        self._length += 1
        if self._length <= self._capacity:
            return None
        return self._drop_newest()

    def pop(self, logins: frozenset[str] | None = None) -> QueueEntry | None:
        """Remove and return the next request, only of ``logins`` if given."""
        for _, entry in self.iterate():
            if logins is None or entry.login in logins:
                return self.take(entry)
        return None

    def take(self, entry: QueueEntry) -> QueueEntry:
        """Remove a request that is served now."""
        queue = self._teams[entry.team]
        tagged = next(one for one in queue.entries if one[2] is entry)
        self._virtual_time = max(self._virtual_time, tagged[0])
        self._remove(entry.team, tagged)
        return entry

    def iterate(self) -> Iterator[tuple[float, QueueEntry]]:
        """Return the requests in the order in which they are to be served.

        Each comes with its virtual start time. The queue must not be changed
        before the iteration has ended.
        """
        queues = [queue.entries for queue in self._teams.values()]
        return ((start, entry) for start, _, entry in heapq.merge(*queues))

    def count_ahead(self, team: str, weight: float) -> int:
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
        for team, queue in self._teams.items():
            for tagged in queue.entries:
                if tagged[2].request_id == request_id:
                    self._remove(team, tagged)
                    return tagged[2]
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
        self._idle.clear()
        self._length = 0
        return entries

    def list_entries(self) -> list[QueueEntry]:
        """Return the queued requests, grouped by team."""
        return [
            entry
            for queue in self._teams.values()
            for _, _, entry in queue.entries
        ]

    def _remove(self, team: str, tagged: _Tagged) -> None:
        queue = self._teams[team]
        queue.entries.remove(tagged)
        self._length -= 1
        if not queue.entries:
            self._retire(team)

    def _retire(self, team: str) -> None:
        """Keep the finish time of a team that is ahead of its share.

        It cannot gain by queueing one request at a time.
        """
        finish = self._teams.pop(team).finish
        if finish > self._virtual_time:
            self._idle[team] = finish
        if len(self._idle) > _MAX_IDLE_TEAMS:
            self._forget_idle_teams()

    def _forget_idle_teams(self) -> None:
        """Forget the teams without an advance, or else the older half."""
        ahead = [
            (team, finish)
            for team, finish in self._idle.items()
            if finish > self._virtual_time
        ]
        self._idle = dict(ahead[-_MAX_IDLE_TEAMS // 2 :])

    def _drop_newest(self) -> QueueEntry:
        team = max(self._teams, key=self._find_weighted_length)
        queue = self._teams[team]
        tagged = queue.entries[-1]
        queue.finish = tagged[0]
        self._remove(team, tagged)
        return tagged[2]

    def _find_weighted_length(self, team: str) -> float:
        return self._teams[team].weighted_length
