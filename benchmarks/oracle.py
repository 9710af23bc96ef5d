"""Which reads a perfect oracle could have sent to a replica."""

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

__all__ = ('ReadShare', 'judge_reads')

_ENDS = frozenset((StatementPlace.LAST, StatementPlace.ALONE))


@final
@dataclass(frozen=True, slots=True)
class ReadShare:
    """Reads of a run.

    Attributes:
        reads: Reads that were answered.
        possible: Reads that a replica could have served at their arrival.
        by_replicas: Reads that replicas served, also after a wait.
    """

    reads: int
    possible: int
    by_replicas: int

    @property
    def share(self) -> float:
        """Part of all reads that replicas served."""
        return self.by_replicas / self.reads if self.reads else 0

    @property
    def share_of_possible(self) -> float | None:
        """Part of the possible that was reached, at most 1."""
        if not self.possible:
            return None
        return min(1, self.by_replicas / self.possible)


@final
class _Commits:
    """When writes were committed, by group and by request."""

    def __init__(self, history: RecordedHistory) -> None:
        writes = {
            one.request.partition('/')[0]
            for one in history.of_kind(RequestSubmitted)
            if one.is_write
        }
        self.at: dict[str, float] = {}
        self.by_group: dict[str, list[float]] = defaultdict(list)
        for ran in history.of_kind(StatementRan):
            if ran.place in _ENDS and ran.transaction in writes:
                self.at[ran.transaction] = ran.at
                group = ran.endpoint.rpartition('/')[0]
                self.by_group[group].append(ran.at)
        for times in self.by_group.values():
            times.sort()

    def has_between(self, group: str, after: float, until: float) -> bool:
        """Return whether the group committed in that time."""
        times = self.by_group[group]
        return bisect_right(times, after) < bisect_right(times, until)


def judge_reads(
    history: RecordedHistory,
    groups: list[str],
    lag_s: float,
    by_replicas: int,
) -> ReadShare:
    """Return the share of the reads that replicas served and could serve.

    Args:
        history: Records of the run.
        groups: The groups; session ``n`` works on group ``n`` modulo them.
        lag_s: How far every replica stays behind.
        by_replicas: Reads that replicas served.
    """
    commits = _Commits(history)
    own = _list_own_commits(history, commits)
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
        group = groups[_number(read.session) % len(groups)]
        is_seen = _sees_own(own[read.session], read.at, lag_s)
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
    own: dict[str, list[float]] = defaultdict(list)
    for one in history.of_kind(RequestSubmitted):
        at = commits.at.get(one.request.partition('/')[0])
        if one.is_write and at is not None:
            own[one.session].append(at)
    return own


def _sees_own(times: list[float], at: float, lag_s: float) -> bool:
    index = bisect_left(times, at)
    return not index or times[index - 1] <= at - lag_s


def _number(session: str) -> int:
    return int(session.partition('-')[2].partition('.')[0])
