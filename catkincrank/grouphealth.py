"""Health of a group's instances as observed by one keeper."""

from typing import final

from catkincrank.groupfailure import GroupFailure, detect_failure, find_primary
from catkincrank.instance import InstanceStatus
from catkincrank.suspicion import Suspicion

__all__ = ('GroupHealth',)

_REACHABLE_SILENCE_S = 1.0


@final
class GroupHealth:
    """Newest status and silence of each instance of a group.

    Args:
        members: Names of the instances.

    Attributes:
        statuses: Newest status of each instance that has answered.
        suspicions: Failure detector of each instance.
    """

    __slots__ = ('members', 'statuses', 'suspicions')

    def __init__(self, members: tuple[str, ...]) -> None:
        self.members = members
        self.statuses: dict[str, InstanceStatus] = {}
        self.suspicions = {name: Suspicion() for name in members}

    def record_probe(self, endpoint: str, now: float) -> None:
        """Record that an instance was probed for its status."""
        self.suspicions[endpoint].record_probe(now)

    def record_answer(self, status: InstanceStatus, now: float) -> None:
        """Record an instance's status."""
        self.suspicions[status.endpoint].record_answer(now)
        self.statuses[status.endpoint] = status

    def record_failure(self, endpoint: str, reason: str) -> None:
        """Record that an instance did not answer."""
        self.suspicions[endpoint].record_failure(reason)

    def discard(self, now: float) -> None:
        """Discard silences from before ``now``."""
        for suspicion in self.suspicions.values():
            suspicion.discard(now)

    def detect_failure(self, now: float) -> GroupFailure | None:
        """Return the failure of the group; ``None`` if it is healthy."""
        return detect_failure(self.members, self.statuses, self.suspicions, now)

    def find_highest_term(self) -> int:
        """Return the highest term that an instance knows or is sealed to."""
        terms = [0]
        for status in self.statuses.values():
            terms.append(status.term)
            terms.append(status.sealed.term if status.sealed else 0)
        return max(terms)

    def list_reachable(self, now: float) -> tuple[str, ...]:
        """Return the instances that have answered recently."""
        return tuple(
            name
            for name in self.members
            if name in self.statuses
            and self.suspicions[name].silence_s(now) < _REACHABLE_SILENCE_S
        )

    def list_silent(self, now: float) -> tuple[str, ...]:
        """Return the instances that have not answered recently."""
        reachable = self.list_reachable(now)
        return tuple(name for name in self.members if name not in reachable)

    def describe(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return the primary and the silences in readable form."""
        silences = tuple(
            (
                'silence {0}'.format(name),
                '{0:.2f} s {1}'.format(
                    suspicion.silence_s(now),
                    suspicion.reason,
                ).strip(),
            )
            for name, suspicion in self.suspicions.items()
        )
        return (('primary', find_primary(self.statuses)), *silences)
