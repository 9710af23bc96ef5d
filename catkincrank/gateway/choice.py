"""Chooses the endpoint that runs a read."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import final

from catkincrank.gateway.catalog import Consistency, Route
from catkincrank.gateway.evidence import GroupEvidence
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry

__all__ = ('Choice', 'Latencies', 'choose_reader', 'require_position')

# Weight of a new sample in the running mean of an endpoint's latency.
_SAMPLE_WEIGHT = 0.2
# A mean decays towards the initial estimate with this half-life, so that an
# endpoint that has recovered is tried again.
_HALF_LIFE_S = 3.0
# Initial latency estimates of endpoints without samples, by distance.
_SAME_ZONE_S = 0.015
_SAME_REGION_S = 0.02
_OTHER_REGION_S = 0.04
# Covers the delay of a reading that a peer passes on, and clock granularity.
_READING_MARGIN_S = 0.05


@final
@dataclass(frozen=True, slots=True)
class Choice:
    """Endpoint chosen for a statement.

    Attributes:
        entry: The endpoint.
        after: Position that its log must have reached.
        term: Term of the grant that the choice relies on; 0 for none.
    """

    entry: EndpointEntry
    after: Position | None
    term: int = 0


@final
class Latencies:
    """Running means of the endpoints' response times.

    Args:
        zone: Own availability zone.
        regions: Regions by availability zone.
    """

    __slots__ = ('_means', '_regions', '_zone')

    def __init__(self, zone: str, regions: dict[str, str]) -> None:
        self._zone = zone
        self._regions = regions
        # Start of each endpoint, its mean and when that was recorded.
        self._means: dict[str, tuple[int, float, float]] = {}

    def record_answer(
        self, entry: EndpointEntry, took_s: float, now: float
    ) -> None:
        """Add a response time to the mean of an endpoint's start."""
        known = self._means.get(entry.endpoint_id)
        mean = took_s
        if known is not None and known[0] == entry.born_ms:
            mean = known[1] + _SAMPLE_WEIGHT * (took_s - known[1])
        self._means[entry.endpoint_id] = (entry.born_ms, mean, now)

    def estimate(self, entry: EndpointEntry, now: float) -> float:
        """Return the expected response time, in seconds."""
        initial = self._initial_estimate(entry.zone)
        known = self._means.get(entry.endpoint_id)
        if known is None or known[0] != entry.born_ms:
            return initial
        _, mean, recorded_at = known
        decay = 0.5 ** ((now - recorded_at) / _HALF_LIFE_S)
        return initial + (mean - initial) * decay

    def _initial_estimate(self, zone: str) -> float:
        if zone == self._zone:
            return _SAME_ZONE_S
        region = self._regions.get(zone)
        if region is not None and region == self._regions.get(self._zone):
            return _SAME_REGION_S
        return _OTHER_REGION_S


def require_position(
    route: Route,
    evidence: GroupEvidence,
    last_commit: Position | None,
    arrived_at: float,
) -> Position | None:
    """Return the position that a log must have reached to serve a stale read.

    Args:
        route: Route of the session.
        evidence: Evidence about the group.
        last_commit: Position of the session's newest commit.
        arrived_at: When the read arrived.
    """
    since = arrived_at - route.max_staleness_s + _READING_MARGIN_S
    required = evidence.find_covering_position(since)
    if required is None or last_commit is None:
        return required
    if route.consistency is not Consistency.SESSION:
        return required
    return max(required, evidence.exclude_rolled_back(last_commit))


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
