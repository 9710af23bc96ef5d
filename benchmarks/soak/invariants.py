"""The promises that a soak checks, from what callers and endpoints saw."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator
from itertools import accumulate
from typing import final

from benchmarks.soak.history import Attempt, History, Outcome
from catkincrank.gateway.position import Position
from catkincrank.registry import Registry
from catkincrank.standins.memorylink import Run

__all__ = ('STALENESS_S', 'find_violations', 'soak_invariants')

_Place = tuple[int, int]
_Check = Callable[[History], Iterator[str]]
soak_invariants: Registry[_Check] = Registry('promise')
# What `make_config` of the trial allows, in seconds, by type of route.
STALENESS_S = {  # noqa: WPS407
    'primary': 0,
    'bounded_staleness': 1.5,
    'read_your_writes': 1.5,
}
_OWN = 'read_your_writes'
# RULES: a request may be cut this long after its last byte, if nobody ran it.
_LOSS_SLACK_S = 0.2
# RULES: unplanned trouble excuses cut requests for `stable_window_ms` more.
_STABLE_S = 6
_NO_POSITION = Position(0, 0)
_OWN_ID = b'-'


def find_violations(history: History) -> list[str]:
    """Return a line for each broken promise."""
    return [
        '{0}: {1}'.format(name, text)
        for name in soak_invariants.names()
        for text in soak_invariants.find(name)(history)
    ]


@soak_invariants.register('asked')
def check_asked(history: History) -> Iterator[str]:
    """Find statements that nobody sent, or that were changed."""
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is None and run.request_id != _OWN_ID:
            yield 'nobody sent {0!r}'.format(run.request_id)
        elif attempt is not None and not _has_same_text(attempt, run):
            yield '{0!r} became {1!r}'.format(attempt.text, run.text)


@soak_invariants.register('once')
def check_once(history: History) -> Iterator[str]:
    """Find writes that took effect more than once."""
    for request_id, runs in history.kept_writes().items():
        if len(runs) > 1:
            yield '{0!r} at {1}'.format(
                request_id, [run.endpoint_id for run in runs]
            )


@soak_invariants.register('refused')
def check_refused(history: History) -> Iterator[str]:
    """Find writes that were kept though the caller was told otherwise.

    In a transaction the promise is about the commit.
    """
    kept = history.kept_writes()
    denied = {
        (attempt.session, attempt.transaction)
        for attempt in history.attempts.values()
        if attempt.transaction and attempt.outcome is Outcome.NOT_RUN
    }
    for request_id in kept:
        attempt = history.attempts.get(request_id)
        if attempt is None:
            continue
        place = (attempt.session, attempt.transaction)
        is_denied = attempt.outcome is Outcome.NOT_RUN or place in denied
        if is_denied:
            yield '{0!r} was kept'.format(attempt)


@soak_invariants.register('whole')
def check_whole(history: History) -> Iterator[str]:
    """Find successes that no endpoint stands for."""
    runs = history.runs_by_id()
    for attempt in history.attempts.values():
        needs_run = attempt.is_read or attempt.text.startswith(b'WRITE')
        if attempt.outcome is not Outcome.DONE or not needs_run:
            continue
        if attempt.request_id not in runs or attempt.rows != 1:
            yield 'success of {0!r}'.format(attempt)


@soak_invariants.register('stale')
def check_stale(history: History) -> Iterator[str]:
    """Find reads that missed a commit which they had to see."""
    commits = _Commits(history)
    runs = history.runs_by_id()
    for attempt in history.attempts.values():
        if attempt.outcome is not Outcome.DONE or not attempt.is_read:
            continue
        required = commits.require(attempt)
        seen = max(
            (run.position for run in runs[attempt.request_id]),
            default=_NO_POSITION,
        )
        if seen < required:
            yield '{0!r} saw {1}, not {2}'.format(attempt, seen, required)


@soak_invariants.register('one primary')
def check_one_primary(history: History) -> Iterator[str]:
    """Find writes that a replaced primary ran and that were acknowledged."""
    for attempt, run in history.list_commits():
        late = [
            turn
            for turn in history.primary_changes
            if turn.at < run.at and run.term < turn.term
        ]
        if late:
            yield '{0!r} ran in term {1}'.format(attempt, run.term)


@soak_invariants.register('pinned')
def check_pinned(history: History) -> Iterator[str]:
    """Find statements of one transaction inside another."""
    owners: dict[_Place, _Place] = {}
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is None:
            continue
        owner = (attempt.session, attempt.transaction)
        place = (id(run.link), run.transaction)
        if bool(attempt.transaction) != bool(run.transaction):
            yield 'transaction state of {0!r}'.format(attempt)
        elif run.transaction and owners.setdefault(place, owner) != owner:
            yield 'inside another transaction: {0!r}'.format(attempt)


@soak_invariants.register('one connection')
def check_connection(history: History) -> Iterator[str]:
    """Find transactions that were spread over connections.

    A first statement that lost its answer may run again on another connection
    with the rest, as what it began is rolled back: TWICE does not count runs
    in such transactions. Nothing else may be elsewhere.
    """
    by_owner: dict[_Place, list[Run]] = defaultdict(list)
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is not None and attempt.transaction:
            by_owner[attempt.session, attempt.transaction].append(run)
    for owner, runs in by_owner.items():
        home = (id(runs[-1].link), runs[-1].transaction)
        for one in runs:
            is_home = (id(one.link), one.transaction) == home
            if not is_home and one.request_id != runs[0].request_id:
                yield '{0!r} of {1}'.format(one.text, owner)


@soak_invariants.register('values')
def check_values(history: History) -> Iterator[str]:
    """Find statements that ran with other session values."""
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is not None and attempt.values != run.values:
            yield '{0!r} ran with {1!r}'.format(attempt, run.values)


@soak_invariants.register('drain')
def check_drain(history: History) -> Iterator[str]:
    """Find requests that planned work cut."""
    ran = history.runs_by_id()
    for cut in history.cuts:
        if not history.is_planned_cut(cut, _STABLE_S):
            continue
        held_s = cut.at - cut.attempt.sent_at
        if cut.attempt.request_id in ran or held_s > _LOSS_SLACK_S:
            yield 'after {0:.2f} s: {1!r}'.format(held_s, cut.attempt)


@soak_invariants.register('versions')
def check_versions(history: History) -> Iterator[str]:
    """Find gateways that went back to an older configuration."""
    newest: dict[tuple[str, int], int] = defaultdict(int)
    for seen in history.versions:
        if seen.version < newest[seen.program]:
            yield '{0!r} after {1}'.format(seen, newest[seen.program])
        newest[seen.program] = max(newest[seen.program], seen.version)


@soak_invariants.register('processes')
def check_processes(history: History) -> Iterator[str]:
    """Find processes that ended by themselves or never came back."""
    yield from history.faults


@final
class _Commits:
    """Acknowledged commits that no promotion rolled back."""

    def __init__(self, history: History) -> None:
        found = [
            (attempt.answered_at, attempt.session, run.position)
            for attempt, run in history.list_commits()
            if not history.is_rolled_back(run.position)
        ]
        found.sort()
        self._all = _Ladder([(at, place) for at, _, place in found])
        by_session: dict[int, list[tuple[float, Position]]] = defaultdict(list)
        for at, owner, place in found:
            by_session[owner].append((at, place))
        self._own = {
            session: _Ladder(places) for session, places in by_session.items()
        }

    def require(self, attempt: Attempt) -> Position:
        """Return the position that a read has to see."""
        age_s = STALENESS_S[attempt.consistency]
        required = self._all.find(attempt.began_at - age_s)
        own = self._own.get(attempt.session)
        if attempt.consistency == _OWN and own is not None:
            required = max(required, own.find(attempt.began_at))
        return required


@final
class _Ladder:
    """Highest positions by time.

    Args:
        places: Times and positions, sorted.
    """

    def __init__(self, places: list[tuple[float, Position]]) -> None:
        self._times = [at for at, _ in places]
        self._highest = list(accumulate((place for _, place in places), max))

    def find(self, before: float) -> Position:
        """Return the highest position up to a time."""
        count = bisect_right(self._times, before)
        return self._highest[count - 1] if count else _NO_POSITION


def _has_same_text(attempt: Attempt, run: Run) -> bool:
    if attempt.text.startswith(b'EXECUTE'):
        return run.text.startswith(b'EXECUTE')
    return attempt.text == run.text
