"""Decisions of one keeper about one group: wait, repair, or fail over.

The input is what this keeper observes and what other keepers report, the
output is a list of actions. The module does no I/O, and the caller passes the
time with each call.
"""

import random
from dataclasses import dataclass
from typing import final

from catkincrank import failoversteps as _failoversteps  # noqa: F401
from catkincrank.competingfailover import CompetingFailover
from catkincrank.confirmation import Confirmation, PeerReport
from catkincrank.failover import Failover, FailoverPlan, Phase
from catkincrank.failoveractions import (
    Action,
    ClaimRecord,
    Done,
    Failed,
    JournalEntry,
    ReadClaim,
)
from catkincrank.groupfailure import GroupFailure, find_primary
from catkincrank.grouphealth import GroupHealth
from catkincrank.instance import InstanceStatus
from catkincrank.primaryrecorder import PrimaryRecorder
from catkincrank.quorum import count_seal_quorum
from catkincrank.repair import Repair
from catkincrank.suspicion import PauseDetector

__all__ = ('ReportSuspicion', 'Supervision', 'SupervisionOptions')

# Delay of an attempt per rank, so that keepers on duty do not start together.
_RANK_DELAY_S = 0.3
_BACK_OFF_RANGE_S = (0.3, 0.9)
# Without a seal quorum, the rule ``promote`` applies only after this time.
_QUORUM_WAIT_S = 5.0
_PROMOTE_ANYWAY = 'promote'


@final
@dataclass(frozen=True, slots=True)
class ReportSuspicion(Action):
    """Report a suspicion to the group's other keepers.

    Attributes:
        endpoint: The suspected instance; empty if no primary is known.
        silent_s: How long it has not answered, in seconds.
    """

    endpoint: str
    silent_s: float


@final
@dataclass(frozen=True, slots=True)
class SupervisionOptions:
    """Options of the supervision of one group.

    Attributes:
        members: Names of the group's instances.
        keeper: Name of the keeper and its incarnation.
        zone: Availability zone of the keeper.
        on_unknown_position: ``wait`` or ``promote``, see the settings.
        validity_s: How long a time-bounded confirmation is valid; 0 if
            there are none.
        rank: Rank of the keeper among those on duty for the group.
    """

    members: tuple[str, ...]
    keeper: str
    zone: str
    on_unknown_position: str = 'wait'
    validity_s: float = 0
    rank: int = 0


@final
class Supervision:
    """One keeper's state for one group.

    Args:
        options: Its options.
        now: The current time, in seconds.
        source: Random source of the delay between attempts.

    Attributes:
        failover: The attempt under way, if any.
        failure: The failure that is detected at present, if any.
        health: Statuses and silences of the instances.
        record: The group's row in the store as last read or written.
    """

    def __init__(
        self,
        options: SupervisionOptions,
        now: float,
        source: random.Random,
    ) -> None:
        self.options = options
        self.failover: Failover | None = None
        self.failure: GroupFailure | None = None
        self.health = GroupHealth(options.members)
        self.record = ClaimRecord()
        self._confirmation = Confirmation(options.zone)
        self._random = source
        self._pause_detector = PauseDetector(now)
        self._repair = Repair(options.rank)
        self._primary_recorder = PrimaryRecorder()
        self._competing = CompetingFailover(options.keeper, options.validity_s)
        self._highest_term = 0
        self._back_off_until = now
        self._is_wait_journaled = False
        self._is_failure_journaled = False

    @property
    def needs_fresh_statuses(self) -> bool:
        """Whether instances should be read more often than at rest."""
        return self.failover is not None or self.failure is not None

    def change_options(self, options: SupervisionOptions) -> None:
        """Apply changed options; the members must be the same."""
        self.options = options
        self._repair.rank = options.rank

    def record_report(self, endpoint: str, report: PeerReport) -> None:
        """Record another keeper's suspicion."""
        self._confirmation.receive(endpoint, report)

    def handle(self, event: Done | Failed, now: float) -> list[Action]:
        """Handle the result of an action; return the next actions."""
        if isinstance(event, Done):
            if event.status is not None:
                self.health.record_answer(event.status, now)
            if event.record is not None:
                self.record = event.record
        paused_s = self._pause_detector.tick(now)
        if paused_s:
            return self._discard_evidence(paused_s, now)
        if self.failover is None:
            return self._primary_recorder.handle(event)
        return self._finish_if_over(self.failover.handle(event, now), now)

    def tick(self, now: float) -> list[Action]:
        """Return the actions that are due at ``now``."""
        paused_s = self._pause_detector.tick(now)
        if paused_s:
            return self._discard_evidence(paused_s, now)
        if self.failover is not None:
            return self._finish_if_over(self.failover.tick(now), now)
        actions = [
            *self._update_failure(now),
            *self._primary_recorder.tick(now),
        ]
        if self.failure is None:
            return actions + self._repair.tick(
                self.health.statuses,
                self.health.list_reachable(now),
                now,
            )
        return actions + self._respond(self.failure, now)

    def _discard_evidence(self, paused_s: float, now: float) -> list[Action]:
        self.health.discard(now)
        self._confirmation.drop_reports()
        self.failure = None
        entry = JournalEntry(
            'evidence_dropped',
            'this keeper was paused',
            'silence is counted from now on',
            (('paused_s', '{0:.3f}'.format(paused_s)),),
        )
        if self.failover is None:
            return [entry]
        reason = 'this keeper was paused during the attempt'
        abandoned = self.failover.abandon(reason, now)
        return [entry, *self._finish_if_over(abandoned, now)]

    def _update_failure(self, now: float) -> list[Action]:
        found = self.health.detect_failure(now)
        before = self.failure
        if found is not None and before is not None:
            if (found.kind, found.endpoint) == (before.kind, before.endpoint):
                return []
        self.failure = found
        self._confirmation.reset()
        self._is_wait_journaled = False
        was_journaled = self._is_failure_journaled
        self._is_failure_journaled = False
        if before is None or found is not None or not was_journaled:
            return []
        entry = JournalEntry(
            'suspicion_cleared',
            before.kind.value,
            'the primary is {0}'.format(
                find_primary(self.health.statuses) or 'unknown',
            ),
            self.health.describe(now),
        )
        return [entry]

    def _journal_failure(
        self, failure: GroupFailure, now: float
    ) -> list[Action]:
        if self._is_failure_journaled:
            return []
        self._is_failure_journaled = True
        entry = JournalEntry(
            'suspicion',
            failure.kind.value,
            'suspected: {0}'.format(failure.endpoint or 'no primary'),
            self.health.describe(now),
        )
        return [entry, ReadClaim()]

    def _respond(self, failure: GroupFailure, now: float) -> list[Action]:
        if now < failure.due_at:
            return []
        actions = self._journal_failure(failure, now)
        is_needed = failure.kind.needs_confirmation
        if is_needed and self._confirmation.is_report_due(now):
            actions.append(
                ReportSuspicion(failure.endpoint, now - failure.since),
            )
        if not self._confirmation.check(
            failure.endpoint,
            now,
            is_needed=is_needed,
        ):
            return actions
        confirmed_at = self._confirmation.confirmed_at
        due_at = confirmed_at + _RANK_DELAY_S * self.options.rank
        may_begin = self._competing.may_begin(self.health.statuses, now)
        if now < max(due_at, self._back_off_until) or not may_begin:
            return actions
        if self._can_begin(now):
            return actions + self._begin(failure, now)
        return actions + self._wait_for_quorum(failure, now)

    def _can_begin(self, now: float) -> bool:
        reachable = len(self.health.list_reachable(now))
        if reachable >= count_seal_quorum(len(self.options.members)):
            return True
        wait_over_at = self._confirmation.confirmed_at + _QUORUM_WAIT_S
        rule = self.options.on_unknown_position
        return reachable > 0 and rule == _PROMOTE_ANYWAY and now >= wait_over_at

    def _wait_for_quorum(
        self, failure: GroupFailure, now: float
    ) -> list[Action]:
        if self._is_wait_journaled:
            return []
        self._is_wait_journaled = True
        entry = JournalEntry(
            'failover_waits',
            failure.kind.value,
            'too few instances answer to find the most advanced replica',
            self.health.describe(now),
        )
        return [entry]

    def _begin(self, failure: GroupFailure, now: float) -> list[Action]:
        zones = self._confirmation.list_zones(failure.endpoint, now)
        term = max(self._highest_term, self.health.find_highest_term())
        plan = FailoverPlan(
            self.options.members,
            self.options.keeper,
            term + 1,
            failure.kind.value,
            (
                ('zones', ', '.join(zones)),
                *self.health.describe(now),
            ),
            self.options.on_unknown_position,
            self.options.validity_s,
            self.record.version,
            self.health.list_silent(now),
        )
        self.failover = Failover(plan)
        return self.failover.start(now)

    def _finish_if_over(
        self,
        actions: list[Action],
        now: float,
    ) -> list[Action]:
        """Close the attempt if it is over, and back off before another."""
        failover = self.failover
        if failover is None or not failover.is_over:
            return actions
        self.failover = None
        self.failure = None
        self._confirmation.reset()
        self._highest_term = max(self._highest_term, failover.highest_term)
        self._back_off_until = now + self._random.uniform(*_BACK_OFF_RANGE_S)
        if failover.phase is Phase.SUCCEEDED and failover.promoted:
            record = _make_record(
                self.options.keeper,
                failover,
                failover.promoted,
            )
            return [*actions, *self._primary_recorder.add(record, now)]
        return actions


def _make_record(
    keeper: str,
    failover: Failover,
    promoted: InstanceStatus,
) -> ClaimRecord:
    return ClaimRecord(
        promoted.term,
        keeper,
        promoted.endpoint,
        promoted.history.starts[-1].position,
        failover.record.version,
    )
