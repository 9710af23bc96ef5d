"""Detects failures of a group from the statuses of its instances."""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import final

from catkincrank.instance import InstanceStatus, Role
from catkincrank.quorum import count_acknowledgement_quorum
from catkincrank.suspicion import SUSPICION_TIMEOUT_S, Suspicion

__all__ = ('FailureKind', 'GroupFailure', 'detect_failure', 'find_primary')

_UNFINISHED_HOLD_S = 1.0
_LEFT_BEHIND_HOLD_S = 3.0
_UNCERTAIN_SILENCE_S = 1.0


@final
class FailureKind(enum.Enum):
    """Why a primary may have to be replaced."""

    SILENT = 'the primary does not answer'
    MISSING = 'no primary is known'
    UNFINISHED = 'a promotion was begun and not finished'
    LEFT_BEHIND = 'a replica is sealed to a term that never began'

    @property
    def needs_confirmation(self) -> bool:
        """Whether a keeper in another zone must confirm the failure.

        Seals are reported by the instances themselves and need none; silence
        may also be caused by this keeper's own network.
        """
        return self in {FailureKind.SILENT, FailureKind.MISSING}


@final
@dataclass(frozen=True, slots=True)
class GroupFailure:
    """A reason to replace a primary.

    Attributes:
        kind: What is wrong.
        endpoint: The primary; empty when none is known.
        since: When it began, in seconds.
        due_at: When it has lasted long enough to act on, in seconds.
    """

    kind: FailureKind
    endpoint: str
    since: float
    due_at: float


def find_primary(statuses: Mapping[str, InstanceStatus]) -> str:
    """Return the primary of the newest term; empty if it is unknown."""
    newest = max((status.term for status in statuses.values()), default=0)
    followed = ''
    for status in statuses.values():
        if status.term != newest:
            continue
        if status.role is Role.PRIMARY:
            return status.endpoint
        followed = followed or status.follows
    return followed


def detect_failure(
    members: Sequence[str],
    statuses: Mapping[str, InstanceStatus],
    suspicions: Mapping[str, Suspicion],
    now: float,
) -> GroupFailure | None:
    """Return the failure of a group; ``None`` if it is healthy."""
    if len(members) < 2 or not statuses:
        return None
    name = find_primary(statuses)
    primary = statuses.get(name)
    seal_failure = _detect_stray_seals(members, statuses, primary, now)
    if seal_failure is not None and seal_failure.kind is FailureKind.UNFINISHED:
        return seal_failure
    suspicion = suspicions.get(name)
    if suspicion is not None:
        silence_s = suspicion.silence_s(now)
        if suspicion.is_suspect(now):
            return GroupFailure(FailureKind.SILENT, name, now - silence_s, now)
        if primary is None or silence_s >= _UNCERTAIN_SILENCE_S:
            return None
    if primary is None or primary.role is Role.REPLICA:
        return GroupFailure(
            FailureKind.MISSING, '', now, now + SUSPICION_TIMEOUT_S
        )
    return seal_failure


def _detect_stray_seals(
    members: Sequence[str],
    statuses: Mapping[str, InstanceStatus],
    primary: InstanceStatus | None,
    now: float,
) -> GroupFailure | None:
    if primary is None or primary.role is Role.REPLICA:
        return None
    sealed = [
        status
        for status in statuses.values()
        if status.sealed is not None and status.sealed.term > primary.term
    ]
    if not sealed:
        return None
    unsealed_count = len(members) - len(sealed)
    name = primary.endpoint
    if primary in sealed or unsealed_count < count_acknowledgement_quorum(
        len(members)
    ):
        due_at = now + _UNFINISHED_HOLD_S
        return GroupFailure(FailureKind.UNFINISHED, name, now, due_at)
    return GroupFailure(
        FailureKind.LEFT_BEHIND,
        name,
        now,
        now + _LEFT_BEHIND_HOLD_S,
    )
