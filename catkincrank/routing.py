"""Chooses the instance for a read or a write by the status in the feed."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import final

from catkincrank.feed import Feed
from catkincrank.history import Containment, LogMark
from catkincrank.instance import Observation, Role

__all__ = (
    'EndpointLoad',
    'LostMark',
    'ReadRequest',
    'Route',
    'Wait',
    'admits_read',
    'choose_read',
    'choose_write',
)


@final
@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load of an endpoint as this process sees it.

    Attributes:
        zone: Availability zone of the endpoint.
        in_use: Connections leased to requests.
        waiting: Requests queued for a connection.
        limit: Most connections that this process may hold.
        is_open: Whether it accepts new requests: false when it is leaving or
            its circuit breaker is open.
    """

    zone: str = ''
    in_use: int = 0
    waiting: int = 0
    limit: int = 1
    is_open: bool = True

    @property
    def pressure(self) -> float:
        """Number of requests for each connection."""
        return (self.in_use + self.waiting) / max(1, self.limit)


@final
@dataclass(frozen=True, slots=True)
class ReadRequest:
    """A read to be routed.

    Attributes:
        group: The group, ``team/service``.
        mark: Newest log position of the session; ``None`` when it has none.
        max_staleness_s: Greatest age of the data when the request arrived;
            ``None`` requires the session's own writes only, and 0 requires the
            primary.
        zone: Availability zone of the proxy.
        excluded: Endpoints not to be used.
        arrived_at: When the request arrived, in seconds.
    """

    group: str
    mark: LogMark | None
    max_staleness_s: float | None
    zone: str
    arrived_at: float
    excluded: frozenset[str] = field(default_factory=frozenset)


@final
@dataclass(frozen=True, slots=True)
class Route:
    """The endpoint to use.

    Attributes:
        endpoint: Name of the endpoint.
        is_primary: Whether it is considered the primary.
    """

    endpoint: str
    is_primary: bool


@final
@dataclass(frozen=True, slots=True)
class Wait:
    """No endpoint can serve the request yet; wait for a group update.

    Attributes:
        cause: What is missing.
    """

    cause: str


@final
@dataclass(frozen=True, slots=True)
class LostMark:
    """The session's log position is not in the current history.

    Attributes:
        mark: The log position.
        containment: ``LOST``, or ``UNKNOWN`` when the history does not reach
            back to the position.
    """

    mark: LogMark
    containment: Containment


def choose_write(
    group: str,
    feed: Feed,
    now: float,
    loads: Mapping[str, EndpointLoad] | None = None,
) -> Route | Wait:
    """Return the route of a write.

    Args:
        group: The group to write to.
        feed: Status of the group.
        now: Current time in seconds.
        loads: Endpoints that may be used; ``None`` for all.
    """
    primary = feed.primary(group)
    if primary is None:
        return Wait('no primary is known')
    if primary.status.is_sealed:
        return Wait('the primary is being replaced')
    endpoint = primary.status.endpoint
    if loads is None or _is_open(loads, endpoint):
        return Route(endpoint, is_primary=True)
    return Wait('the primary accepts no new requests')


def choose_read(
    request: ReadRequest,
    feed: Feed,
    loads: Mapping[str, EndpointLoad],
    now: float,
) -> Route | Wait | LostMark:
    """Return the route of a read; replicas are preferred to the primary."""
    lost = _find_lost_mark(request, feed)
    if lost is not None:
        return lost
    usable = {
        endpoint: load
        for endpoint, load in loads.items()
        if load.is_open and endpoint not in request.excluded
    }
    eligible = [
        observation
        for endpoint, observation in feed.observations(request.group).items()
        if endpoint in usable
        and admits_read(
            request,
            feed,
            endpoint,
            observation.status.incarnation,
        )
    ]
    replicas = [one for one in eligible if one.status.role is Role.REPLICA]
    chosen = replicas or eligible
    if not chosen:
        return Wait('no instance has replayed what the read needs')
    return _choose_least_loaded(chosen, usable, request.zone)


def admits_read(
    request: ReadRequest,
    feed: Feed,
    endpoint: str,
    incarnation: str,
) -> bool:
    """Whether a connection to that incarnation may serve the read.

    Checked again after the connection is leased, since the instance may have
    restarted after it was chosen.
    """
    observation = feed.observations(request.group).get(endpoint)
    if observation is None or observation.status.incarnation != incarnation:
        return False
    if not _holds_mark(request, feed, endpoint, incarnation):
        return False
    if _is_known_primary(request.group, feed, endpoint):
        return _is_fresh(request, feed, endpoint) or not request.max_staleness_s
    if observation.status.role is Role.PRIMARY:
        return False
    if request.max_staleness_s == 0:
        return False
    return _is_fresh(request, feed, endpoint)


def _is_open(loads: Mapping[str, EndpointLoad], endpoint: str) -> bool:
    return endpoint in loads and loads[endpoint].is_open


def _find_lost_mark(request: ReadRequest, feed: Feed) -> LostMark | None:
    history = feed.history(request.group)
    if request.mark is None or history is None:
        return None
    containment = history.locate(request.mark)
    if containment in {Containment.LOST, Containment.UNKNOWN}:
        return LostMark(request.mark, containment)
    return None


def _holds_mark(
    request: ReadRequest,
    feed: Feed,
    endpoint: str,
    incarnation: str,
) -> bool:
    mark = request.mark
    if mark is None:
        return True
    if feed.has_replayed(request.group, endpoint, incarnation, mark):
        return True
    # A primary has all of its own history, however old its status is.
    primary = feed.primary(request.group)
    return (
        primary is not None
        and primary.status.endpoint == endpoint
        and primary.status.history.locate(mark) is Containment.HELD
    )


def _is_known_primary(group: str, feed: Feed, endpoint: str) -> bool:
    primary = feed.primary(group)
    return primary is not None and primary.status.endpoint == endpoint


def _is_fresh(request: ReadRequest, feed: Feed, endpoint: str) -> bool:
    if request.max_staleness_s is None:
        return True
    age = feed.data_age(request.group, endpoint, request.arrived_at)
    return age <= request.max_staleness_s


def _choose_least_loaded(
    eligible: list[Observation],
    loads: Mapping[str, EndpointLoad],
    zone: str,
) -> Route:
    best = min(eligible, key=partial(_rank, loads, zone))
    return Route(
        best.status.endpoint,
        is_primary=best.status.role is Role.PRIMARY,
    )


def _rank(
    loads: Mapping[str, EndpointLoad],
    zone: str,
    observation: Observation,
) -> tuple[bool, float, str]:
    """Return a sort key: endpoints with a free connection first, then load.

    Another zone counts like one more request for each connection.
    """
    endpoint = observation.status.endpoint
    load = loads[endpoint]
    is_other_zone = load.zone != zone
    return (load.pressure >= 1, load.pressure + is_other_zone, endpoint)
