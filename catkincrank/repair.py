"""Makes instances that do not follow the primary follow it again."""

from collections.abc import Collection, Mapping
from typing import final

from catkincrank.failoveractions import Action, Follow, JournalEntry, Seal
from catkincrank.groupfailure import find_primary
from catkincrank.instance import Ballot, InstanceStatus, Role

__all__ = ('Repair',)

_FIRST_DELAY_S = 0.5
_RANK_DELAY_S = 1.0
_RETRY_INTERVAL_S = 1.0


@final
class Repair:
    """Makes detached instances follow the primary, each after a delay.

    An old primary that returns is sealed first, so that it accepts no more
    writes, and then follows the new one. Nothing is ever written to it.

    Args:
        rank: Rank of the keeper among those on duty for the group.
    """

    __slots__ = ('_due_at', 'rank')

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self._due_at: dict[str, float] = {}

    def tick(
        self,
        statuses: Mapping[str, InstanceStatus],
        reachable: Collection[str],
        now: float,
    ) -> list[Action]:
        """Return the repairs that are due."""
        name = find_primary(statuses)
        primary = statuses.get(name)
        if primary is None or primary.role is Role.REPLICA:
            return []
        actions: list[Action] = []
        for status in statuses.values():
            if status.endpoint in reachable and _is_detached(status, primary):
                actions.extend(self._rejoin(status, primary, now))
            else:
                self._due_at.pop(status.endpoint, None)
        return actions

    def _rejoin(
        self,
        status: InstanceStatus,
        primary: InstanceStatus,
        now: float,
    ) -> list[Action]:
        delay_s = _FIRST_DELAY_S + _RANK_DELAY_S * self.rank
        due_at = self._due_at.setdefault(status.endpoint, now + delay_s)
        if now < due_at:
            return []
        self._due_at[status.endpoint] = now + _RETRY_INTERVAL_S
        ballot = primary.sealed or Ballot(primary.term, '')
        entry = JournalEntry(
            'rejoin',
            '{0} does not follow the primary'.format(status.endpoint),
            'follows {0} in term {1}'.format(primary.endpoint, primary.term),
            (('was', status.role.value), ('term', str(status.term))),
        )
        if status.role is Role.PRIMARY and _can_seal(status, ballot):
            return [entry, Seal(status.endpoint, ballot)]
        return [entry, Follow(status.endpoint, ballot, primary.endpoint)]


def _is_detached(status: InstanceStatus, primary: InstanceStatus) -> bool:
    if status.endpoint == primary.endpoint:
        return False
    if status.sealed is not None and status.sealed.term > primary.term:
        return False
    return status.role is Role.PRIMARY or status.follows != primary.endpoint


def _can_seal(status: InstanceStatus, ballot: Ballot) -> bool:
    return status.sealed is None or status.sealed.term < ballot.term
