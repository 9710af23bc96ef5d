"""Checkers of the invariants on endpoints, proxies and settings."""

import itertools
from collections import defaultdict
from collections.abc import Iterator

from catkincrank.records import (
    DrainBegan,
    LeavingChanged,
    ProcessChanged,
    ProcessState,
    RecordedHistory,
    RequestAnswered,
    SettingsAccepted,
    SettingsInForce,
    StatementPlace,
    StatementRan,
)
from catkincrank.violation import INVARIANTS, Violation

__all__ = ('check_drains', 'check_leaving', 'check_settings')

_LEAVING_LIMIT_S = 5
_SETTINGS_LIMIT_S = 11
_NEVER = float('inf')
_FIRST_PLACES = frozenset((StatementPlace.FIRST, StatementPlace.ALONE))
_DOWN_STATES = frozenset(
    (ProcessState.STOPPED, ProcessState.KILLED, ProcessState.ISOLATED),
)


@INVARIANTS.register('leaving_endpoint_gets_no_work')
def check_leaving(history: RecordedHistory) -> Iterator[Violation]:
    """A leaving endpoint gets no new transaction after the time limit."""
    changes = sorted(history.of_kind(LeavingChanged), key=_at)
    for ran in history.of_kind(StatementRan):
        since = _leaving_since(changes, ran)
        if ran.place in _FIRST_PLACES and ran.at > since + _LEAVING_LIMIT_S:
            yield Violation(
                ran.endpoint,
                '{0} began at {1} s on an endpoint leaving since {2} s'.format(
                    ran.transaction,
                    ran.at,
                    since,
                ),
            )


def _leaving_since(changes: list[LeavingChanged], ran: StatementRan) -> float:
    since = _NEVER
    for change in changes:
        if change.endpoint != ran.endpoint or change.at > ran.at:
            continue
        since = min(since, change.at) if change.is_leaving else _NEVER
    return since


@INVARIANTS.register('drain_cuts_nothing')
def check_drains(history: RecordedHistory) -> Iterator[Violation]:
    """A proxy that shuts down gracefully answers all its requests."""
    killed = {
        change.process
        for change in history.of_kind(ProcessChanged)
        if change.state is ProcessState.KILLED
    }
    answers = {
        answer.request: answer for answer in history.of_kind(RequestAnswered)
    }
    drained = {drain.proxy for drain in history.of_kind(DrainBegan)} - killed
    for request in history.submissions().values():
        if request.proxy not in drained:
            continue
        answer = answers.get(request.request)
        if answer is None or answer.is_disconnected:
            explanation = 'not answered by {0}, which drained'
            yield Violation(request.request, explanation.format(request.proxy))


@INVARIANTS.register('settings_in_force_never_revert')
def check_settings(history: RecordedHistory) -> Iterator[Violation]:
    """Accepted settings reach every process in time and never revert."""
    yield from _find_conflicting_versions(history)
    yield from _find_reverts(history)
    yield from _find_late_processes(history)


def _find_conflicting_versions(history: RecordedHistory) -> Iterator[Violation]:
    accepted: dict[tuple[str, int], str] = {}
    newest: dict[str, int] = defaultdict(int)
    for new in sorted(history.of_kind(SettingsAccepted), key=_at):
        known = accepted.setdefault((new.team, new.version), new.change_id)
        if known != new.change_id or new.version < newest[new.team]:
            yield Violation(
                new.team,
                'version {0} was accepted from {1} after {2}'.format(
                    new.version,
                    new.change_id,
                    known,
                ),
            )
        newest[new.team] = max(newest[new.team], new.version)
    for applied in history.of_kind(SettingsInForce):
        if accepted.get((applied.team, applied.version)) != applied.change_id:
            yield Violation(
                applied.process,
                'applied {0} of {1} version {2}, which was not accepted'.format(
                    applied.change_id,
                    applied.team,
                    applied.version,
                ),
            )


def _find_reverts(history: RecordedHistory) -> Iterator[Violation]:
    newest: dict[tuple[str, str], int] = defaultdict(int)
    for applied in sorted(history.of_kind(SettingsInForce), key=_at):
        pair = (applied.process, applied.team)
        if applied.version < newest[pair]:
            yield Violation(
                applied.process,
                'reverted from version {0} of {1} to {2}'.format(
                    newest[pair],
                    applied.team,
                    applied.version,
                ),
            )
        newest[pair] = max(newest[pair], applied.version)


def _find_late_processes(history: RecordedHistory) -> Iterator[Violation]:
    """Find processes that were reachable but did not apply a version in time.

    Exempt are processes that go down, and runs that end, before the limit.
    """
    ends_at = max(map(_at, _list_timed_records(history)), default=0)
    applied = history.of_kind(SettingsInForce)
    changes = sorted(history.of_kind(ProcessChanged), key=_at)
    processes = {record.process for record in applied}
    versions = history.of_kind(SettingsAccepted)
    for accepted, process in itertools.product(versions, sorted(processes)):
        since = _reachable_since(changes, process, accepted.at)
        due = max(accepted.at, since) + _SETTINGS_LIMIT_S
        if due > ends_at or _goes_down(changes, process, since, due):
            continue
        if not _has_in_force(applied, process, accepted, due):
            explanation = 'version {0} of {1} was not in force by {2} s'
            yield Violation(
                process,
                explanation.format(accepted.version, accepted.team, due),
            )


def _list_timed_records(
    history: RecordedHistory,
) -> list[SettingsAccepted | SettingsInForce | ProcessChanged]:
    return [
        *history.of_kind(SettingsAccepted),
        *history.of_kind(SettingsInForce),
        *history.of_kind(ProcessChanged),
    ]


def _reachable_since(
    changes: list[ProcessChanged],
    process: str,
    at: float,
) -> float:
    """Return since when the process is reachable, for a change at ``at``.

    A restart or reconnection after ``at`` counts; the result is infinite if
    the process was down at ``at`` and did not return.
    """
    since = float(0)
    for change in changes:
        if change.process != process:
            continue
        if change.state not in _DOWN_STATES:
            since = change.at
        elif change.at <= at:
            since = _NEVER
    return since


def _goes_down(
    changes: list[ProcessChanged],
    process: str,
    since: float,
    until: float,
) -> bool:
    return any(
        change.process == process
        and change.state in _DOWN_STATES
        and since <= change.at <= until
        for change in changes
    )


def _has_in_force(
    applied: list[SettingsInForce],
    process: str,
    accepted: SettingsAccepted,
    due: float,
) -> bool:
    return any(
        record.process == process
        and record.team == accepted.team
        and record.version >= accepted.version
        and record.at <= due
        for record in applied
    )


def _at(
    record: LeavingChanged
    | SettingsAccepted
    | SettingsInForce
    | ProcessChanged,
) -> float:
    return record.at
