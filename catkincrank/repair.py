"""Brings instances back to the primary that they ought to follow."""

from collections.abc import Collection, Mapping
from typing import final

from catkincrank.failoveractions import Action, Follow, Note, Seal
from catkincrank.groupfailure import find_primary
from catkincrank.instance import Ballot, InstanceStatus, Role

__all__ = ('Repair',)

_HOLD_S = 0.5
_RANK_HOLD_S = 1.0
_RETRY_S = 1.0


@final
class Repair:
    """Lets strays follow the primary again, each after a short hold.

    An old primary that returns is sealed first, so that it takes no more
    writes, and then follows; it is never written to.

    Args:
        rank: Place of the keeper among those that have duty for the group.
    """

    __slots__ = ('_due', 'rank')

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self._due: dict[str, float] = {}

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
            if status.endpoint in reachable and _is_stray(status, primary):
                actions.extend(self._mend(status, primary, now))
            else:
                self._due.pop(status.endpoint, None)
        return actions

    def _mend(
        self,
        status: InstanceStatus,
        primary: InstanceStatus,
        now: float,
    ) -> list[Action]:
        hold_s = _HOLD_S + _RANK_HOLD_S * self.rank
        due_at = self._due.setdefault(status.endpoint, now + hold_s)
        if now < due_at:
            return []
        self._due[status.endpoint] = now + _RETRY_S
        ballot = primary.sealed or Ballot(primary.term, '')
        note = Note(
            'rejoin',
            '{0} does not follow the primary'.format(status.endpoint),
            'follows {0} in term {1}'.format(primary.endpoint, primary.term),
            (('was', status.role.value), ('term', str(status.term))),
        )
        if status.role is Role.PRIMARY and _can_seal(status, ballot):
            return [note, Seal(status.endpoint, ballot)]
        return [note, Follow(status.endpoint, ballot, primary.endpoint)]


def _is_stray(status: InstanceStatus, primary: InstanceStatus) -> bool:
    if status.endpoint == primary.endpoint:
        return False
    if status.sealed is not None and status.sealed.term > primary.term:
        return False
    return status.role is Role.PRIMARY or status.follows != primary.endpoint


def _can_seal(status: InstanceStatus, ballot: Ballot) -> bool:
    return status.sealed is None or status.sealed.term < ballot.term
