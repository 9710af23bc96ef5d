"""Failure detection: decides whether a primary has to be replaced."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.roster import EndpointEntry

__all__ = (
    'Cause',
    'PrimaryObservation',
    'find_cause',
    'is_voted_unreachable',
)


@final
class Cause(enum.Enum):
    """Why a primary is replaced."""

    LEAVING = 'it is leaving'
    GONE = 'its registration is gone'
    DEMOTED = 'it is no longer a primary'
    UNREACHABLE = 'neither this process nor most peers can reach it'
    RESTARTED = 'it was started again'
    RESTORED = 'the restored store may lack a promotion'
    INTERRUPTED = 'an earlier replacement did not finish'


@final
@dataclass(frozen=True, slots=True)
class PrimaryObservation:
    """What the lease holder observed of a primary.

    Attributes:
        entry: Registration of the primary, if there is one.
        state: State that it reported, if it answered.
        failed_probes: Consecutive probes without an answer.
        unregistered_s: How long readings of the store have lacked the
            registration, in seconds.
        restarted_s: How long the registration has named another start of the
            primary than the record, in seconds.
    """

    entry: EndpointEntry | None
    state: EndpointState | None
    failed_probes: int
    unregistered_s: float
    restarted_s: float = 0


# Registrations expire during an outage of the store and are written again
# within two seconds of its recovery.
_UNREGISTERED_LIMIT_S = 2.2
# One unanswered probe makes a primary suspected; a second probe and the votes
# of the peers decide whether it is replaced.
_FAILED_PROBES_LIMIT = 1


def find_cause(
    record: GroupRecord, observation: PrimaryObservation
) -> Cause | None:
    """Return why to replace the primary; ``UNREACHABLE`` also needs votes."""
    if record.is_replacing:
        return Cause.INTERRUPTED
    state = observation.state
    entry = observation.entry
    if state is not None and not state.is_primary:
        return Cause.DEMOTED
    if entry is not None and entry.is_draining:
        return Cause.LEAVING
    # Another writer's registration is overwritten within two seconds.
    if observation.restarted_s > _UNREGISTERED_LIMIT_S:
        return Cause.RESTARTED
    return _find_silence_cause(observation) if state is None else None


def _find_silence_cause(observation: PrimaryObservation) -> Cause | None:
    if observation.entry is None:
        is_gone = (
            observation.failed_probes
            or observation.unregistered_s > _UNREGISTERED_LIMIT_S
        )
        return Cause.GONE if is_gone else None
    if observation.failed_probes >= _FAILED_PROBES_LIMIT:
        return Cause.UNREACHABLE
    return None


def is_voted_unreachable(votes: Iterable[bool], asked: int) -> bool:
    """Return whether at most half of the peers reached an endpoint.

    If most peers do not answer, this process or its link is at fault, and its
    own probes prove nothing either.

    Args:
        votes: For each peer that answered, whether it reached the endpoint.
        asked: Number of peers that were asked.
    """
    known = list(votes)
    return len(known) * 2 >= asked and sum(known) * 2 <= len(known)
