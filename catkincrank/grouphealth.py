"""What one keeper has seen itself of a group's instances."""

from typing import final

from catkincrank.groupfailure import GroupFailure, detect_failure, find_primary
from catkincrank.instance import InstanceStatus
from catkincrank.suspicion import Suspicion

__all__ = ('GroupHealth',)

_REACHABLE_SILENCE_S = 1.0


@final
class GroupHealth:
    """Newest statuses and silences of a group's instances.

    Args:
        members: Names of the instances.

    Attributes:
        statuses: Newest status of each instance that has answered.
        suspicions: Silence of each instance.
    """

    __slots__ = ('members', 'statuses', 'suspicions')

    def __init__(self, members: tuple[str, ...]) -> None:
        self.members = members
        self.statuses: dict[str, InstanceStatus] = {}
        self.suspicions = {name: Suspicion() for name in members}

    def ask(self, endpoint: str, now: float) -> None:
        """Take in that an instance was asked for its status."""
        self.suspicions[endpoint].ask(now)

    def receive(self, status: InstanceStatus, now: float) -> None:
        """Take in an instance's status."""
        self.suspicions[status.endpoint].receive(now)
        self.statuses[status.endpoint] = status

    def fail(self, endpoint: str, reason: str) -> None:
        """Take in that an instance did not answer."""
        self.suspicions[endpoint].fail(reason)

    def discard(self, now: float) -> None:
        """Count silences anew."""
        for suspicion in self.suspicions.values():
            suspicion.discard(now)

    def detect_failure(self, now: float) -> GroupFailure | None:
        """Return what is wrong with the group; ``None`` when nothing is."""
        return detect_failure(self.members, self.statuses, self.suspicions, now)

    def find_highest_term(self) -> int:
        """Return the highest term that an instance knows or has promised."""
        terms = [0]
        for status in self.statuses.values():
            terms.append(status.term)
            terms.append(status.sealed.term if status.sealed else 0)
        return max(terms)

    def list_reachable(self, now: float) -> tuple[str, ...]:
        """Return the instances that have answered lately."""
        return tuple(
            name
            for name in self.members
            if name in self.statuses
            and self.suspicions[name].silence_s(now) < _REACHABLE_SILENCE_S
        )

    def list_silent(self, now: float) -> tuple[str, ...]:
        """Return the instances that have not answered lately."""
        reachable = self.list_reachable(now)
        return tuple(name for name in self.members if name not in reachable)

    def describe(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return the primary and the silences, for people."""
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
