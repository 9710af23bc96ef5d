"""The steps of a failover; importing this module registers them."""

from typing import final

from catkincrank.failover import Failover, Phase, Step, steps
from catkincrank.failoveractions import (
    Action,
    Claim,
    ClaimRecord,
    Done,
    Failed,
    Follow,
    InstanceAction,
    Promote,
    ReadClaim,
    ReadStatus,
    Seal,
)
from catkincrank.instance import Ballot, InstanceStatus, Role
from catkincrank.quorum import (
    Choice,
    choose_successor,
    count_seal_quorum,
    find_held_mark,
    needs_claim,
)

__all__ = (
    'CatchUpStep',
    'ClaimStep',
    'FollowStep',
    'PromoteStep',
    'SealStep',
    'WaitStep',
)

_STORE_TIMEOUT_S = 0.4
# Once a quorum is sealed, the other instances have this long to answer, as one
# of them may be more advanced.
_QUORUM_GRACE_S = 0.25
_RETRY_INTERVAL_S = 0.2
_UNKNOWN_POSITION_TIMEOUT_S = 2.0
_CATCH_UP_TIMEOUT_S = 1.0
_PROMOTE_TIMEOUT_S = 3.0
_FOLLOW_TIMEOUT_S = 0.5
_PROMOTE_ANYWAY = 'promote'


@steps.register(Phase.CLAIM.value)
@final
class ClaimStep(Step):
    """Claims the term in the store, which serialises keepers if available."""

    def begin(self, now: float) -> list[Action]:
        """Read the group's row."""
        return [ReadClaim()]

    def handle_done(self, done: Done, now: float) -> list[Action]:
        """Claim a term higher than the row's, then seal."""
        if done.record is None:
            return []
        self.attempt.record = done.record
        if isinstance(done.action, Claim):
            return self.attempt.enter(Phase.SEAL, now)
        return self._claim(done.record, now)

    def handle_failed(self, failed: Failed, now: float) -> list[Action]:
        """Abandon on a conflict; continue if the store is unavailable."""
        if isinstance(failed.action, InstanceAction):
            return []
        if failed.is_conflict:
            return self.attempt.abandon('another keeper claims a term', now)
        return self._continue_without_store(failed.reason, now)

    def tick(self, now: float) -> list[Action]:
        """Continue without the store if it does not answer in time."""
        if now < self.began_at + _STORE_TIMEOUT_S:
            return []
        return self._continue_without_store('the store does not answer', now)

    def _claim(self, found: ClaimRecord, now: float) -> list[Action]:
        plan = self.attempt.plan
        is_new = found.version != plan.known_version
        if is_new and found.keeper != plan.keeper and found.term >= plan.term:
            return self.attempt.abandon('another keeper claimed a term', now)
        term = max(plan.term, found.term + 1)
        self.attempt.ballot = Ballot(term, plan.keeper)
        return [Claim(ClaimRecord(term, plan.keeper, version=found.version))]

    def _continue_without_store(self, reason: str, now: float) -> list[Action]:
        attempt = self.attempt
        if needs_claim(len(attempt.plan.members)):
            return attempt.abandon(
                'an even number of members needs the store: {0}'.format(reason),
                now,
            )
        entry = attempt.make_journal_entry(
            'claim_skipped',
            reason,
            'continuing without the store',
        )
        return [entry, *attempt.enter(Phase.SEAL, now)]


@steps.register(Phase.SEAL.value)
@final
class SealStep(Step):
    """Seals a quorum of instances and chooses the most advanced one."""

    def __init__(self, attempt: Failover, now: float) -> None:
        super().__init__(attempt, now)
        self._retry_at = now + _RETRY_INTERVAL_S
        self._is_unknown_journaled = False

    def begin(self, now: float) -> list[Action]:
        """Seal every instance."""
        attempt = self.attempt
        return [Seal(name, attempt.ballot) for name in attempt.plan.members]

    def handle_done(self, done: Done, now: float) -> list[Action]:
        """Count an instance that is sealed to this ballot."""
        attempt = self.attempt
        status = done.status
        if status is None or not isinstance(done.action, Seal):
            return []
        if status.sealed != attempt.ballot:
            attempt.unreached.add(status.endpoint)
            return self._choose(now)
        if status.term >= attempt.ballot.term:
            return attempt.abandon('the term has already begun', now)
        attempt.sealed[status.endpoint] = status
        if len(attempt.sealed) >= count_seal_quorum(len(attempt.plan.members)):
            attempt.quorum_at = min(attempt.quorum_at, now)
        return self._choose(now)

    def handle_failed(self, failed: Failed, now: float) -> list[Action]:
        """Record an instance that does not answer."""
        if not isinstance(failed.action, Seal):
            return []
        self.attempt.unreached.add(failed.action.endpoint)
        return self._choose(now)

    def tick(self, now: float) -> list[Action]:
        """Retry instances that failed; choose once it is possible."""
        chosen = self._choose(now)
        if self.attempt.phase is not Phase.SEAL or now < self._retry_at:
            return chosen
        self._retry_at = now + _RETRY_INTERVAL_S
        return [*chosen, *self._retry()]

    def _retry(self) -> list[Action]:
        attempt = self.attempt
        missing = attempt.unreached.difference(attempt.sealed)
        return [Seal(name, attempt.ballot) for name in sorted(missing)]

    def _choose(self, now: float) -> list[Action]:
        attempt = self.attempt
        members = attempt.plan.members
        choice = choose_successor(attempt.sealed, len(members))
        if now < attempt.quorum_at or choice is None:
            return self._handle_unknown_position(choice, now)
        accounted_for = {*attempt.sealed, *attempt.unreached}
        if (
            accounted_for.issuperset(members)
            or now >= attempt.quorum_at + _QUORUM_GRACE_S
        ):
            return self._select(choice, now)
        return []

    def _select(self, choice: Choice, now: float) -> list[Action]:
        self.attempt.choice = choice
        next_phase = Phase.CATCH_UP if choice.source else Phase.WAIT
        return self.attempt.enter(next_phase, now)

    def _handle_unknown_position(
        self,
        choice: Choice | None,
        now: float,
    ) -> list[Action]:
        if now < self.began_at + _UNKNOWN_POSITION_TIMEOUT_S:
            return []
        rule = self.attempt.plan.on_unknown_position
        may_promote = rule == _PROMOTE_ANYWAY and choice is not None
        actions: list[Action] = []
        if not self._is_unknown_journaled:
            self._is_unknown_journaled = True
            actions.append(self._make_unknown_entry(may_promote=may_promote))
        if may_promote and choice is not None:
            actions.extend(self._select(choice, now))
        return actions

    def _make_unknown_entry(self, *, may_promote: bool) -> Action:
        return self.attempt.make_journal_entry(
            'position_unknown',
            'too few instances answer to find the most advanced replica',
            'promoting the most advanced known replica'
            if may_promote
            else 'waiting',
        )


@steps.register(Phase.CATCH_UP.value)
@final
class CatchUpStep(Step):
    """Copies records that only the sealed old primary holds."""

    def begin(self, now: float) -> list[Action]:
        """Make the successor stream from the old primary."""
        choice = self.attempt.choice
        if choice is None:
            return []
        return [Follow(choice.target, self.attempt.ballot, choice.source)]

    def handle_done(self, done: Done, now: float) -> list[Action]:
        """Seal the successor again once it holds everything; continue."""
        choice = self.attempt.choice
        status = done.status
        if choice is None or status is None:
            return []
        if status.endpoint != choice.target:
            return []
        if find_held_mark(status) < choice.mark:
            return []
        if status.follows:
            return [Seal(choice.target, self.attempt.ballot)]
        self.attempt.sealed[status.endpoint] = status
        return self.attempt.enter(Phase.WAIT, now)

    def tick(self, now: float) -> list[Action]:
        """Poll the successor; continue or abandon after the time-out."""
        choice = self.attempt.choice
        if choice is None:
            return []
        if now < self.began_at + _CATCH_UP_TIMEOUT_S:
            return [ReadStatus(choice.target, self.attempt.ballot)]
        rule = self.attempt.plan.on_unknown_position
        if not choice.is_covered and rule != _PROMOTE_ANYWAY:
            reason = 'the old primary could not be copied'
            return self.attempt.abandon(reason, now)
        return [
            Seal(choice.target, self.attempt.ballot),
            *self.attempt.enter(Phase.WAIT, now),
        ]


@steps.register(Phase.WAIT.value)
@final
class WaitStep(Step):
    """Waits until all time-bounded confirmations have expired."""

    def begin(self, now: float) -> list[Action]:
        """Continue at once if there is nothing to wait for."""
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Continue when the validity time has passed since the seal."""
        sealed_at = min(self.attempt.quorum_at, self.began_at)
        if now < sealed_at + self.attempt.plan.validity_s:
            return []
        return self.attempt.enter(Phase.PROMOTE, now)


@steps.register(Phase.PROMOTE.value)
@final
class PromoteStep(Step):
    """Promotes the chosen instance, and reads its status if unanswered."""

    def __init__(self, attempt: Failover, now: float) -> None:
        super().__init__(attempt, now)
        self._retry_at = now + _RETRY_INTERVAL_S

    def begin(self, now: float) -> list[Action]:
        """Promote the chosen instance."""
        choice = self.attempt.choice
        if choice is None:
            return []
        return [Promote(choice.target, self.attempt.ballot)]

    def handle_done(self, done: Done, now: float) -> list[Action]:
        """Continue once the instance is the primary of the term."""
        choice = self.attempt.choice
        status = done.status
        if choice is None or status is None:
            return []
        if status.endpoint != choice.target:
            return []
        if status.role is Role.PRIMARY and status.sealed == self.attempt.ballot:
            return self._succeed(status, now)
        if isinstance(done.action, ReadStatus):
            return self.begin(now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Read the instance's status while the promotion is unanswered."""
        choice = self.attempt.choice
        if now >= self.began_at + _PROMOTE_TIMEOUT_S or choice is None:
            return self.attempt.abandon('the promotion was not answered', now)
        if now < self._retry_at:
            return []
        self._retry_at = now + _RETRY_INTERVAL_S
        return [ReadStatus(choice.target, self.attempt.ballot)]

    def _succeed(self, status: InstanceStatus, now: float) -> list[Action]:
        attempt = self.attempt
        attempt.promoted = status
        attempt.outcome = '{0} begins term {1} at {2}'.format(
            status.endpoint,
            status.term,
            status.history.starts[-1].position,
        )
        entry = attempt.make_journal_entry(
            'promotion',
            attempt.plan.cause,
            attempt.outcome,
        )
        return [entry, *attempt.enter(Phase.FOLLOW, now)]


@steps.register(Phase.FOLLOW.value)
@final
class FollowStep(Step):
    """Makes the other instances follow the new primary."""

    def __init__(self, attempt: Failover, now: float) -> None:
        super().__init__(attempt, now)
        self._unanswered = set(attempt.plan.members)

    def begin(self, now: float) -> list[Action]:
        """Make every other instance follow."""
        attempt = self.attempt
        if attempt.promoted is None:
            return []
        primary = attempt.promoted.endpoint
        self._unanswered.discard(primary)
        return [
            Follow(name, attempt.ballot, primary)
            for name in sorted(self._unanswered)
        ]

    def handle_done(self, done: Done, now: float) -> list[Action]:
        """Finish when all have answered."""
        return self._record_response(done.action, now)

    def handle_failed(self, failed: Failed, now: float) -> list[Action]:
        """Leave an instance that does not answer to a later repair."""
        return self._record_response(failed.action, now)

    def tick(self, now: float) -> list[Action]:
        """Finish after the time-out."""
        if now < self.began_at + _FOLLOW_TIMEOUT_S:
            return []
        return self.attempt.enter(Phase.SUCCEEDED, now)

    def _record_response(self, action: Action, now: float) -> list[Action]:
        if isinstance(action, Follow):
            self._unanswered.discard(action.endpoint)
        if self._unanswered:
            return []
        return self.attempt.enter(Phase.SUCCEEDED, now)
