"""Chooses the endpoint that runs a read."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import final

from catkincrank.gateway.catalog import Consistency, Route
from catkincrank.gateway.evidence import GroupEvidence
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry

__all__ = ('Choice', 'Latencies', 'choose_reader', 'require_position')

# Weight of a new answer in the running mean of an endpoint's answers.
_WEIGHT = 0.2
# A bad mean is forgotten by half within this time, so that an endpoint that
# recovered is tried again.
_HALF_LIFE_S = 3.0
# Expected answers of endpoints that were not asked yet, by distance.
_SAME_ZONE_S = 0.015
_SAME_REGION_S = 0.02
_FAR_S = 0.04
# An answer of another process and this one's clock granularity lie within.
_AGE_MARGIN_S = 0.05


@final
@dataclass(frozen=True, slots=True)
class Choice:
    """Where a read goes.

    Attributes:
        entry: The endpoint.
        after: Position that its log must hold.
        term: Term of the grant that the read rests on; 0 for none.
    """

    entry: EndpointEntry
    after: Position | None
    term: int = 0


@final
class Latencies:
    """Running means of how long endpoints take to answer.

    Args:
        zone: Own availability zone.
        regions: Regions by availability zone.
    """

    __slots__ = ('_means', '_regions', '_zone')

    def __init__(self, zone: str, regions: dict[str, str]) -> None:
        self._zone = zone
        self._regions = regions
        self._means: dict[str, tuple[float, float]] = {}

    def record_answer(
        self, endpoint_id: str, took_s: float, now: float
    ) -> None:
        """Take in an answer."""
        mean, _ = self._means.get(endpoint_id, (took_s, now))
        self._means[endpoint_id] = (mean + _WEIGHT * (took_s - mean), now)

    def expect(self, entry: EndpointEntry, now: float) -> float:
        """Return how long an answer may take, in seconds."""
        first = self._guess(entry.zone)
        known = self._means.get(entry.endpoint_id)
        if known is None:
            return first
        mean, noted_at = known
        fade = 0.5 ** ((now - noted_at) / _HALF_LIFE_S)
        return first + (mean - first) * fade

    def _guess(self, zone: str) -> float:
        if zone == self._zone:
            return _SAME_ZONE_S
        region = self._regions.get(zone)
        if region is not None and region == self._regions.get(self._zone):
            return _SAME_REGION_S
        return _FAR_S


def require_position(
    route: Route,
    evidence: GroupEvidence,
    mark: Position | None,
    arrived_at: float,
) -> Position | None:
    """Return the position that a log must hold to serve a stale read.

    Args:
        route: Route of the session.
        evidence: Evidence about the group.
        mark: Newest own commit of the session.
        arrived_at: When the read arrived.
    """
    since = arrived_at - route.max_staleness_s + _AGE_MARGIN_S
    required = evidence.find_covering_position(since)
    if required is None or mark is None:
        return required
    if route.consistency is not Consistency.SESSION:
        return required
    return max(required, evidence.exclude_rolled_back(mark))


def choose_reader(
    entries: Iterable[EndpointEntry],
    required: Position | None,
    excluded: Collection[str],
    cost: Callable[[EndpointEntry], float],
) -> EndpointEntry | None:
    """Return the cheapest endpoint that is not leaving or excluded."""
    if required is None:
        return None
    usable = [
        entry
        for entry in entries
        if entry.endpoint_id not in excluded and not entry.is_draining
    ]
    return min(usable, key=cost, default=None)
