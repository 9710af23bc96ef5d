"""What one keeper decides about one group: wait, repair, or fail over.

Takes in what watches see and what other keepers report, and gives actions. No
I/O; the time comes in with each call.
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
    Note,
    ReadClaim,
)
from catkincrank.groupfailure import GroupFailure, find_primary
from catkincrank.grouphealth import GroupHealth
from catkincrank.instance import InstanceStatus
from catkincrank.primaryrecorder import PrimaryRecorder
from catkincrank.quorum import count_seal_quorum
from catkincrank.repair import Repair
from catkincrank.suspicion import ClockGuard

__all__ = ('Report', 'Supervision', 'SupervisionOptions')

_RANK_DELAY_S = 0.3
_BACK_OFF_S = (0.3, 0.9)
_PATIENCE_S = 5.0
_PROMOTE_ANYWAY = 'promote'


@final
@dataclass(frozen=True, slots=True)
class Report(Action):
    """Tell the group's other keepers what is suspected.

    Attributes:
        endpoint: The instance; empty when no primary can be found.
        silent_s: For how long, in seconds.
    """

    endpoint: str
    silent_s: float


@final
@dataclass(frozen=True, slots=True)
class SupervisionOptions:
    """What a supervision is told at its start.

    Attributes:
        members: Names of the group's instances.
        keeper: Name of the keeper and its incarnation.
        zone: Availability zone of the keeper.
        on_unknown_position: ``wait`` or ``promote``, see the settings.
        validity_s: How long a time-bounded confirmation counts; 0 for none.
        rank: Place of the keeper among those that have duty for the group.
    """

    members: tuple[str, ...]
    keeper: str
    zone: str
    on_unknown_position: str = 'wait'
    validity_s: float = 0
    rank: int = 0


@final
class Supervision:
    """State of one keeper about one group.

    Args:
        options: What it is told at its start.
        now: The time, in seconds.
        chance: Source of random delays.
    """

    def __init__(
        self,
        options: SupervisionOptions,
        now: float,
        chance: random.Random,
    ) -> None:
        self.options = options
        self.failover: Failover | None = None
        self.trouble: GroupFailure | None = None
        self.sightings = GroupHealth(options.members)
        self.record = ClaimRecord()
        self._confirmation = Confirmation(options.zone)
        self._chance = chance
        self._guard = ClockGuard(now)
        self._repair = Repair(options.rank)
        self._outcomes = PrimaryRecorder()
        self._rivalry = CompetingFailover(options.keeper, options.validity_s)
        self._highest_term = 0
        self._idle_until = now
        self._has_waited = False
        self._is_noted = False

    @property
    def is_busy(self) -> bool:
        """Whether news is awaited."""
        return self.failover is not None or self.trouble is not None

    def change_options(self, options: SupervisionOptions) -> None:
        """Take in another rank or rule; the members are the same."""
        self.options = options
        self._repair.rank = options.rank

    def hear_report(self, endpoint: str, report: PeerReport) -> None:
        """Take in another keeper's suspicion."""
        self._confirmation.receive(endpoint, report)

    def handle(self, event: Done | Failed, now: float) -> list[Action]:
        """Take in the answer to an action; return what to do next."""
        if isinstance(event, Done):
            if event.status is not None:
                self.sightings.receive(event.status, now)
            if event.record is not None:
                self.record = event.record
        paused_s = self._guard.tick(now)
        if paused_s:
            return self._forget_evidence(paused_s, now)
        if self.failover is None:
            return self._outcomes.handle(event)
        return self._follow_up(self.failover.handle(event, now), now)

    def tick(self, now: float) -> list[Action]:
        """Return what the passing of time calls for."""
        paused_s = self._guard.tick(now)
        if paused_s:
            return self._forget_evidence(paused_s, now)
        if self.failover is not None:
            return self._follow_up(self.failover.tick(now), now)
        actions = [*self._update_trouble(now), *self._outcomes.tick(now)]
        if self.trouble is None:
            return actions + self._repair.tick(
                self.sightings.statuses,
                self.sightings.list_reachable(now),
                now,
            )
        return actions + self._consider(self.trouble, now)

    def _forget_evidence(self, paused_s: float, now: float) -> list[Action]:
        self.sightings.discard(now)
        self._confirmation.drop_reports()
        self.trouble = None
        note = Note(
            'evidence_dropped',
            'this keeper stood still',
            'silence is counted anew',
            (('paused_s', '{0:.3f}'.format(paused_s)),),
        )
        if self.failover is None:
            return [note]
        reason = 'this keeper stood still meanwhile'
        abandoned = self.failover.abandon(reason, now)
        return [note, *self._follow_up(abandoned, now)]

    def _update_trouble(self, now: float) -> list[Action]:
        found = self.sightings.detect_failure(now)
        before = self.trouble
        if found is not None and before is not None:
            if (found.kind, found.endpoint) == (before.kind, before.endpoint):
                return []
        self.trouble = found
        self._confirmation.reset()
        self._has_waited = False
        was_noted = self._is_noted
        self._is_noted = False
        if before is None or found is not None or not was_noted:
            return []
        note = Note(
            'suspicion_cleared',
            before.kind.value,
            'the primary is {0}'.format(
                find_primary(self.sightings.statuses) or 'not known',
            ),
            self.sightings.describe(now),
        )
        return [note]

    def _note_trouble(self, trouble: GroupFailure, now: float) -> list[Action]:
        if self._is_noted:
            return []
        self._is_noted = True
        note = Note(
            'suspicion',
            trouble.kind.value,
            'suspected: {0}'.format(trouble.endpoint or 'no primary'),
            self.sightings.describe(now),
        )
        return [note, ReadClaim()]

    def _consider(self, trouble: GroupFailure, now: float) -> list[Action]:
        if now < trouble.due_at:
            return []
        actions = self._note_trouble(trouble, now)
        is_needed = trouble.kind.needs_confirmation
        if is_needed and self._confirmation.is_report_due(now):
            actions.append(Report(trouble.endpoint, now - trouble.since))
        if not self._confirmation.check(
            trouble.endpoint,
            now,
            is_needed=is_needed,
        ):
            return actions
        confirmed_at = self._confirmation.confirmed_at
        due_at = confirmed_at + _RANK_DELAY_S * self.options.rank
        is_open = self._rivalry.is_open(self.sightings.statuses, now)
        if now < max(due_at, self._idle_until) or not is_open:
            return actions
        if self._can_begin(now):
            return actions + self._begin(trouble, now)
        return actions + self._wait_for_quorum(trouble, now)

    def _can_begin(self, now: float) -> bool:
        reachable = len(self.sightings.list_reachable(now))
        if reachable >= count_seal_quorum(len(self.options.members)):
            return True
        patience_over_at = self._confirmation.confirmed_at + _PATIENCE_S
        rule = self.options.on_unknown_position
        return (
            reachable > 0
            and rule == _PROMOTE_ANYWAY
            and now >= patience_over_at
        )

    def _wait_for_quorum(
        self, trouble: GroupFailure, now: float
    ) -> list[Action]:
        if self._has_waited:
            return []
        self._has_waited = True
        note = Note(
            'failover_waits',
            trouble.kind.value,
            'too few instances answer to know the fullest',
            self.sightings.describe(now),
        )
        return [note]

    def _begin(self, trouble: GroupFailure, now: float) -> list[Action]:
        zones = self._confirmation.list_zones(trouble.endpoint, now)
        term = max(self._highest_term, self.sightings.find_highest_term())
        plan = FailoverPlan(
            self.options.members,
            self.options.keeper,
            term + 1,
            trouble.kind.value,
            (
                ('zones', ', '.join(zones)),
                *self.sightings.describe(now),
            ),
            self.options.on_unknown_position,
            self.options.validity_s,
            self.record.version,
            self.sightings.list_silent(now),
        )
        self.failover = Failover(plan)
        return self.failover.start(now)

    def _follow_up(self, actions: list[Action], now: float) -> list[Action]:
        """Close an attempt that is over."""
        failover = self.failover
        if failover is None or not failover.is_over:
            return actions
        self.failover = None
        self.trouble = None
        self._confirmation.reset()
        self._highest_term = max(self._highest_term, failover.highest_term)
        self._idle_until = now + self._chance.uniform(*_BACK_OFF_S)
        if failover.phase is Phase.SUCCEEDED and failover.promoted:
            record = _make_record(
                self.options.keeper,
                failover,
                failover.promoted,
            )
            return [*actions, *self._outcomes.add(record, now)]
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
