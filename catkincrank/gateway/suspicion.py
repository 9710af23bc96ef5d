"""Decides whether a primary has to be replaced, from what was seen of it."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.roster import EndpointEntry

__all__ = ('Cause', 'Sighting', 'count_votes', 'judge')


@final
class Cause(enum.Enum):
    """Why a primary is replaced."""

    LEAVING = 'it is about to leave'
    GONE = 'its registration has gone'
    DEMOTED = 'it is no primary any more'
    UNREACHABLE = 'it answers neither this process nor most peers'
    INTERRUPTED = 'an earlier replacement was not finished'


@final
@dataclass(frozen=True, slots=True)
class Sighting:
    """What the holder saw of a primary.

    Attributes:
        entry: Its registration, if there is one.
        state: Its own word, if it answered.
        missed: Questions in a row without an answer.
        missing_s: How long the registration has been missing while the store
            was read, in seconds.
    """

    entry: EndpointEntry | None
    state: EndpointState | None
    missed: int
    missing_s: float


# A registration lapses with the store's outages and is back within two
# seconds of its return.
_MISSING_LIMIT_S = 2.2
# One question without an answer is a suspicion: the primary is asked again,
# and so are the peers, before it is replaced.
_MISSED_LIMIT = 1


def judge(record: GroupRecord, sighting: Sighting) -> Cause | None:
    """Return why the primary has to go; ``UNREACHABLE`` needs votes first."""
    if record.is_replacing:
        return Cause.INTERRUPTED
    state = sighting.state
    entry = sighting.entry
    if state is not None and not state.is_primary:
        return Cause.DEMOTED
    if entry is not None and entry.is_draining:
        return Cause.LEAVING
    return _judge_silence(sighting) if state is None else None


def _judge_silence(sighting: Sighting) -> Cause | None:
    if sighting.entry is None:
        is_gone = sighting.missed or sighting.missing_s > _MISSING_LIMIT_S
        return Cause.GONE if is_gone else None
    if sighting.missed >= _MISSED_LIMIT:
        return Cause.UNREACHABLE
    return None


def count_votes(votes: Iterable[bool]) -> bool:
    """Return whether peers agree that an endpoint cannot be reached.

    Args:
        votes: Whether each peer that answered reached it.
    """
    known = list(votes)
    return sum(known) * 2 <= len(known)
