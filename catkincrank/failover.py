"""One attempt to replace a primary, as a state machine without I/O.

The steps are: claim the term in the store (with a short time-out; skipped
while the store is unavailable), seal a quorum of instances, choose the most
advanced one, wait until time-bounded confirmations have expired, promote, and
let the other instances follow. Each action on an instance is conditional on
the ballot that it is sealed to, so an attempt that was paused and overtaken
does no harm when it resumes.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any, final

from catkincrank.failoveractions import (
    Action,
    ClaimRecord,
    Done,
    Failed,
    InstanceAction,
    JournalEntry,
)
from catkincrank.instance import Ballot, InstanceStatus
from catkincrank.quorum import Choice, find_held_mark
from catkincrank.registry import Registry

__all__ = ('Failover', 'FailoverPlan', 'Phase', 'Step', 'steps')

_NEVER = float('inf')


@final
class Phase(enum.Enum):
    """Current step of an attempt."""

    CLAIM = 'claim'
    SEAL = 'seal'
    CATCH_UP = 'catch up'
    WAIT = 'wait'
    PROMOTE = 'promote'
    FOLLOW = 'follow'
    SUCCEEDED = 'succeeded'
    ABANDONED = 'abandoned'


@final
@dataclass(frozen=True, slots=True)
class FailoverPlan:
    """Input of an attempt.

    Attributes:
        members: Names of the group's instances.
        keeper: Unique name of the keeper: its name and incarnation.
        term: Lowest term that may be claimed.
        cause: Why the primary is replaced.
        evidence: Observations that support the cause.
        on_unknown_position: ``wait`` or ``promote``, see the settings.
        validity_s: How long a time-bounded confirmation is valid.
        known_version: Version of the store's row when last read before the
            attempt.
        silent: Instances that have not answered recently; the attempt does
            not wait for them.
    """

    members: tuple[str, ...]
    keeper: str
    term: int
    cause: str
    evidence: tuple[tuple[str, str], ...] = ()
    on_unknown_position: str = 'wait'
    validity_s: float = 0
    known_version: int = 0
    silent: tuple[str, ...] = ()


class Step(ABC):
    """One step of an attempt.

    Args:
        attempt: The attempt.
        now: Time at which the step begins, in seconds.
    """

    def __init__(self, attempt: 'Failover', now: float) -> None:
        self.attempt = attempt
        self.began_at = now

    @abstractmethod
    def begin(self, now: float) -> list[Action]:
        """Return the step's first actions."""

    def handle_done(self, done: Done, now: float) -> list[Action]:
        """Handle the answer to an action; return the next actions."""
        return []

    def handle_failed(self, failed: Failed, now: float) -> list[Action]:
        """Handle an action that failed; return the next actions."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Return the actions that are due at ``now``."""
        return []


steps: Registry[type[Step]] = Registry('failover step')


@final
class Failover:
    """State of one attempt.

    Args:
        plan: Its input.

    Attributes:
        ballot: The ballot that it seals instances to.
        choice: The instance to promote, once chosen.
        outcome: How it ended, in readable form.
        phase: Its current step.
        phases: Each step with the time at which it began.
        promoted: Status of the new primary.
        quorum_at: When enough instances were sealed; infinite before.
        record: The store's row as last read or written.
        sealed: Statuses of the instances that are sealed to the ballot.
        unreached: Instances that failed to answer at least once.
    """

    def __init__(self, plan: FailoverPlan) -> None:
        self.plan = plan
        self.ballot = Ballot(plan.term, plan.keeper)
        self.choice: Choice | None = None
        self.outcome = ''
        self.phase = Phase.CLAIM
        self.phases: list[tuple[Phase, float]] = []
        self.promoted: InstanceStatus | None = None
        self.quorum_at = _NEVER
        self.record = ClaimRecord()
        self.sealed: dict[str, InstanceStatus] = {}
        self.unreached = set(plan.silent)
        self._step: Any = None

    @property
    def is_over(self) -> bool:
        """Whether the attempt has succeeded or was abandoned."""
        return self.phase in {Phase.SUCCEEDED, Phase.ABANDONED}

    @property
    def highest_term(self) -> int:
        """Highest term that it has found or claimed."""
        return max(self.ballot.term, self.record.term)

    def start(self, now: float) -> list[Action]:
        """Return the first actions."""
        return self.enter(Phase.CLAIM, now)

    def enter(self, phase: Phase, now: float) -> list[Action]:
        """Enter ``phase``; return its first actions."""
        self.phase = phase
        self.phases.append((phase, now))
        if self.is_over:
            return []
        self._step = steps.find(phase.value)(self, now)
        return self._step.begin(now)

    def handle(self, event: Done | Failed, now: float) -> list[Action]:
        """Handle the result of an action; return the next actions."""
        action = event.action
        if self.is_over:
            return []
        if isinstance(action, InstanceAction) and action.ballot != self.ballot:
            return []
        if isinstance(event, Failed):
            return self._step.handle_failed(event, now)
        if event.status is not None:
            held = event.status.sealed
            if held is not None and held > self.ballot:
                return self._yield_to(event.status.endpoint, held, now)
        return self._step.handle_done(event, now)

    def tick(self, now: float) -> list[Action]:
        """Return the actions that are due at ``now``."""
        return [] if self.is_over else self._step.tick(now)

    def abandon(self, reason: str, now: float) -> list[Action]:
        """End the attempt without a new primary."""
        self.outcome = reason
        entry = self.make_journal_entry(
            'failover_abandoned', self.plan.cause, reason
        )
        return [entry, *self.enter(Phase.ABANDONED, now)]

    def make_journal_entry(
        self, name: str, cause: str, outcome: str
    ) -> JournalEntry:
        """Return a journal entry with the evidence gathered so far."""
        sealed = tuple(
            ('sealed {0}'.format(endpoint), _describe_status(status))
            for endpoint, status in sorted(self.sealed.items())
        )
        evidence = (
            *self.plan.evidence,
            ('ballot', '{0}/{1}'.format(self.ballot.term, self.ballot.keeper)),
            ('phase', self.phase.value),
            *sealed,
            ('unreached', ', '.join(sorted(self.unreached))),
        )
        return JournalEntry(name, cause, outcome, evidence)

    def _yield_to(
        self,
        endpoint: str,
        held: Ballot,
        now: float,
    ) -> list[Action]:
        self.record = ClaimRecord(
            max(self.record.term, held.term),
            self.record.keeper,
            version=self.record.version,
        )
        reason = '{0} is sealed to term {1} of {2}'.format(
            endpoint,
            held.term,
            held.keeper,
        )
        return self.abandon(reason, now)


def _describe_status(status: InstanceStatus) -> str:
    held = find_held_mark(status)
    return '{0} term {1} position {2}'.format(
        status.role.value,
        held.term,
        held.position,
    )
