"""Invariants that a soak checks on the records of callers and endpoints."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from benchmarks.soak.commits import Commits
from benchmarks.soak.history import Attempt, History, Outcome
from catkincrank.gateway.position import Position
from catkincrank.registry import Registry
from catkincrank.standins.memorylink import Run

__all__ = ('find_violations', 'invariants')

_TransactionId = tuple[int, int]
_Check = Callable[[History], Iterator[str]]
invariants: Registry[_Check] = Registry('invariant')
# The platform's rules allow a request that no endpoint has run to be cut up to
# 0.2 s after its last byte.
_UNEXECUTED_CUT_S = 0.2
# By the platform's rules an unplanned disruption explains cut requests until
# `stable_window_ms` (6 s) after its end.
_STABLE_WINDOW_S = 6
_NO_POSITION = Position(0, 0)
_GATEWAY_REQUEST_ID = b'-'


def find_violations(history: History) -> list[str]:
    """Return a line for each violation."""
    return [
        '{0}: {1}'.format(name, text)
        for name in invariants.names()
        for text in invariants.find(name)(history)
    ]


@invariants.register('asked')
def check_sent(history: History) -> Iterator[str]:
    """Find statements that no caller sent or that were altered."""
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is None and run.request_id != _GATEWAY_REQUEST_ID:
            yield 'nobody sent {0!r}'.format(run.request_id)
        elif attempt is not None and not _has_same_text(attempt, run):
            yield '{0!r} became {1!r}'.format(attempt.text, run.text)


@invariants.register('once')
def check_once(history: History) -> Iterator[str]:
    """Find writes that took effect more than once."""
    for request_id, runs in history.kept_writes().items():
        if len(runs) > 1:
            yield '{0!r} at {1}'.format(
                request_id, [run.endpoint_id for run in runs]
            )


@invariants.register('refused')
def check_refused(history: History) -> Iterator[str]:
    """Find writes that were kept although the caller was told otherwise.

    In a transaction, the answer that nothing is kept concerns the commit.
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
        owner = (attempt.session, attempt.transaction)
        is_denied = attempt.outcome is Outcome.NOT_RUN or owner in denied
        if is_denied:
            yield '{0!r} was kept'.format(attempt)


@invariants.register('whole')
def check_executed(history: History) -> Iterator[str]:
    """Find successes without a matching run at an endpoint."""
    runs = history.runs_by_id()
    for attempt in history.attempts.values():
        needs_run = attempt.is_read or attempt.text.startswith(b'WRITE')
        if attempt.outcome is not Outcome.DONE or not needs_run:
            continue
        if attempt.request_id not in runs or attempt.rows != 1:
            yield 'success of {0!r}'.format(attempt)


@invariants.register('stale')
def check_stale(history: History) -> Iterator[str]:
    """Find reads that missed a commit that they were required to see."""
    commits = Commits(history)
    runs = history.runs_by_id()
    for attempt in history.attempts.values():
        if attempt.outcome is not Outcome.DONE or not attempt.is_read:
            continue
        required = commits.find_required(attempt)
        seen = max(
            (run.position for run in runs[attempt.request_id]),
            default=_NO_POSITION,
        )
        if seen < required:
            yield '{0!r} saw {1}, not {2}'.format(attempt, seen, required)


@invariants.register('durable')
def check_durable(history: History) -> Iterator[str]:
    """Find acknowledged commits that a promotion of another endpoint lost."""
    if not history.is_durable:
        return
    for attempt, run in history.list_commits():
        if history.is_rolled_back(run.position):
            yield '{0!r} at {1}'.format(attempt, run.position)


@invariants.register('one primary')
def check_one_primary(history: History) -> Iterator[str]:
    """Find acknowledged writes that a replaced primary ran."""
    for attempt, run in history.list_commits():
        late = [
            change
            for change in history.primary_changes
            if change.at < run.at and run.term < change.term
        ]
        if late:
            yield '{0!r} ran in term {1}'.format(attempt, run.term)


@invariants.register('pinned')
def check_pinned(history: History) -> Iterator[str]:
    """Find statements that ran in a transaction other than their own."""
    owners: dict[_TransactionId, _TransactionId] = {}
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is None:
            continue
        owner = (attempt.session, attempt.transaction)
        run_transaction = (id(run.link), run.transaction)
        if bool(attempt.transaction) != bool(run.transaction):
            yield 'transaction state of {0!r}'.format(attempt)
        elif (
            run.transaction
            and owners.setdefault(run_transaction, owner) != owner
        ):
            yield 'inside another transaction: {0!r}'.format(attempt)


@invariants.register('one connection')
def check_connection(history: History) -> Iterator[str]:
    """Find transactions that ran on more than one connection.

    A first statement whose answer was lost may run again on another
    connection together with the rest of the transaction, because the
    transaction that it began is rolled back. The platform's check for double
    execution (TWICE) does not count runs in such transactions. All other
    statements must run on one connection.
    """
    by_owner: dict[_TransactionId, list[Run]] = defaultdict(list)
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is not None and attempt.transaction:
            by_owner[attempt.session, attempt.transaction].append(run)
    for owner, runs in by_owner.items():
        last_transaction = (id(runs[-1].link), runs[-1].transaction)
        for one in runs:
            is_same = (id(one.link), one.transaction) == last_transaction
            if not is_same and one.request_id != runs[0].request_id:
                yield '{0!r} of {1}'.format(one.text, owner)


@invariants.register('values')
def check_values(history: History) -> Iterator[str]:
    """Find statements that ran with other session values."""
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is not None and attempt.values != run.values:
            yield '{0!r} ran with {1!r}'.format(attempt, run.values)


@invariants.register('drain')
def check_drain(history: History) -> Iterator[str]:
    """Find requests that were cut by planned work."""
    ran = history.runs_by_id()
    for cut in history.cuts:
        if not history.is_planned_cut(cut, _STABLE_WINDOW_S):
            continue
        held_s = cut.at - cut.attempt.sent_at
        if cut.attempt.request_id in ran or held_s > _UNEXECUTED_CUT_S:
            yield 'after {0:.2f} s: {1!r}'.format(held_s, cut.attempt)


@invariants.register('versions')
def check_versions(history: History) -> Iterator[str]:
    """Find gateways that went back to an older configuration."""
    newest: dict[tuple[str, int], int] = defaultdict(int)
    for seen in history.versions:
        if seen.version < newest[seen.program]:
            yield '{0!r} after {1}'.format(seen, newest[seen.program])
        newest[seen.program] = max(newest[seen.program], seen.version)


@invariants.register('processes')
def check_processes(history: History) -> Iterator[str]:
    """Find processes that ended unexpectedly or did not recover."""
    yield from history.faults


def _has_same_text(attempt: Attempt, run: Run) -> bool:
    if attempt.text.startswith(b'EXECUTE'):
        return run.text.startswith(b'EXECUTE')
    return attempt.text == run.text
