"""Counts the reads that a perfect oracle could have sent to replicas."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass
from typing import final

from catkincrank.records import (
    RecordedHistory,
    RequestAnswered,
    RequestSubmitted,
    StatementPlace,
    StatementRan,
)
from catkincrank.verdict import Verdict

__all__ = ('ReadShare', 'measure_read_share')

_FINAL_PLACES = frozenset((StatementPlace.LAST, StatementPlace.ALONE))


@final
@dataclass(frozen=True, slots=True)
class ReadShare:
    """Reads of a run and those served by replicas.

    Attributes:
        reads: Reads that were answered.
        possible: Reads that a replica could have served on arrival.
        by_replicas: Reads that replicas served, including those that waited.
    """

    reads: int
    possible: int
    by_replicas: int

    @property
    def share(self) -> float:
        """Share of all reads that replicas served."""
        return self.by_replicas / self.reads if self.reads else 0

    @property
    def share_of_possible(self) -> float | None:
        """Ratio of reads served by replicas to possible ones, at most 1."""
        if not self.possible:
            return None
        return min(1, self.by_replicas / self.possible)


@final
class _Commits:
    """Commit times of writes, by request and by group."""

    def __init__(self, history: RecordedHistory) -> None:
        writes = {
            one.request.partition('/')[0]
            for one in history.of_kind(RequestSubmitted)
            if one.is_write
        }
        self.at: dict[str, float] = {}
        self.by_group: dict[str, list[float]] = defaultdict(list)
        for ran in history.of_kind(StatementRan):
            if ran.place in _FINAL_PLACES and ran.transaction in writes:
                self.at[ran.transaction] = ran.at
                group = ran.endpoint.rpartition('/')[0]
                self.by_group[group].append(ran.at)
        for times in self.by_group.values():
            times.sort()

    def has_between(self, group: str, after: float, until: float) -> bool:
        """Return whether the group committed in the interval."""
        times = self.by_group[group]
        return bisect_right(times, after) < bisect_right(times, until)


def measure_read_share(
    history: RecordedHistory,
    groups: list[str],
    lag_s: float,
    by_replicas: int,
) -> ReadShare:
    """Return the reads that replicas served and could have served.

    Args:
        history: Records of the run.
        groups: The groups; session ``n`` uses group ``n`` modulo their number.
        lag_s: Replication lag of every replica, in seconds.
        by_replicas: Reads that replicas served.
    """
    commits = _Commits(history)
    own_commits = _list_own_commits(history, commits)
    answered = {
        one.request
        for one in history.of_kind(RequestAnswered)
        if one.verdict is Verdict.RAN
    }
    reads = [
        one
        for one in history.of_kind(RequestSubmitted)
        if not one.is_write and one.request in answered
    ]
    possible = 0
    for read in reads:
        group = groups[_parse_number(read.session) % len(groups)]
        is_seen = _sees_own(own_commits[read.session], read.at, lag_s)
        age_s = read.max_staleness_s
        is_fresh = age_s is None or not commits.has_between(
            group,
            read.at - lag_s,
            read.at - age_s,
        )
        possible += int(is_seen and is_fresh)
    return ReadShare(len(reads), possible, by_replicas)


def _list_own_commits(
    history: RecordedHistory,
    commits: _Commits,
) -> dict[str, list[float]]:
    own_commits: dict[str, list[float]] = defaultdict(list)
    for one in history.of_kind(RequestSubmitted):
        at = commits.at.get(one.request.partition('/')[0])
        if one.is_write and at is not None:
            own_commits[one.session].append(at)
    return own_commits


def _sees_own(times: list[float], at: float, lag_s: float) -> bool:
    index = bisect_left(times, at)
    return not index or times[index - 1] <= at - lag_s


def _parse_number(session: str) -> int:
    return int(session.partition('-')[2].partition('.')[0])
