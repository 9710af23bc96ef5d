"""Weighted fair queue of requests between teams, bounded and deadline-aware.

Start-time fair queueing: each team's requests are served in order, and teams
in proportion to their weights, whatever the length of their bursts.
"""

from collections import deque
from dataclasses import dataclass
from typing import final

__all__ = ('FairQueue', 'QueueEntry')


@final
@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A request that waits.

    Attributes:
        request_id: Number of the request, unique in its queue.
        team: Team that it counts for.
        deadline: When waiting on is of no use, in seconds.
        weight: The team's share against other teams.
        login: What kind of connection it needs.
        queued_at: When it began to wait, in seconds.
    """

    request_id: int
    team: str
    deadline: float
    weight: int = 1
    login: str = ''
    queued_at: float = 0


@final
class _TeamQueue:
    """Requests of one team with their start tags in virtual time."""

    __slots__ = ('entries', 'finish', 'weight')

    def __init__(self) -> None:
        self.weight = 1
        self.entries: deque[tuple[float, QueueEntry]] = deque()
        self.finish: float = 0

    @property
    def start(self) -> float:
        return self.entries[0][0]

    @property
    def excess(self) -> float:
        """Requests that wait, by the team's weight."""
        return len(self.entries) / self.weight


@final
class FairQueue:
    """Requests of several teams.

    Args:
        capacity: How many requests may wait.
    """

    __slots__ = ('_capacity', '_clock', '_teams')

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._clock: float = 0
        self._teams: dict[str, _TeamQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue.entries) for queue in self._teams.values())

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Let ``entry`` wait; return the request that gives way, if any.

        In a full queue the newest request of the team with the most waiting
        for its weight gives way; it can be ``entry`` itself.
        """
        queue = self._teams.setdefault(entry.team, _TeamQueue())
        start = max(self._clock, queue.finish)
        queue.entries.append((start, entry))
        queue.finish = start + 1 / entry.weight
        queue.weight = entry.weight
        if len(self) <= self._capacity:
            return None
        return self._drop_newest()

    def pop(self, logins: frozenset[str] | None = None) -> QueueEntry | None:
        """Return the next request, of ``logins`` alone if given."""
        heads = [
            (queue.start, team)
            for team, queue in self._teams.items()
            if queue.entries
            and (logins is None or queue.entries[0][1].login in logins)
        ]
        if not heads:
            return None
        start, team = min(heads)
        self._clock = max(self._clock, start)
        _, entry = self._teams[team].entries.popleft()
        self._forget_idle()
        return entry

    def wait_of(self, team: str, weight: int) -> int:
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
        """Take a request out, e.g. when its caller is gone."""
        for queue in self._teams.values():
            for tagged in queue.entries:
                if tagged[1].request_id == request_id:
                    queue.entries.remove(tagged)
                    return tagged[1]
        return None

    def expire(self, now: float) -> list[QueueEntry]:
        """Take out and return the requests whose deadline has come."""
        late = [entry for entry in self.list_entries() if entry.deadline <= now]
        for entry in late:
            self.remove(entry.request_id)
        return late

    def clear(self) -> list[QueueEntry]:
        """Take out and return all requests."""
        entries = self.list_entries()
        self._teams.clear()
        return entries

    def list_entries(self) -> list[QueueEntry]:
        """Return the requests that wait, team by team."""
        return [
            entry
            for queue in self._teams.values()
            for _, entry in queue.entries
        ]

    def _drop_newest(self) -> QueueEntry:
        team = max(self._teams, key=self._excess_of)
        queue = self._teams[team]
        start, entry = queue.entries.pop()
        queue.finish = start
        return entry

    def _excess_of(self, team: str) -> float:
        return self._teams[team].excess

    def _forget_idle(self) -> None:
        """Forget teams without requests that owe the others nothing."""
        idle = [
            team
            for team, queue in self._teams.items()
            if not queue.entries and queue.finish <= self._clock
        ]
        for team in idle:
            self._teams.pop(team)
