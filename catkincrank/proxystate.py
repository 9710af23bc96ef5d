"""What the state dump of a proxy shows."""

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any, final

import anyio

from catkincrank.journal import Event
from catkincrank.pool import PoolState
from catkincrank.settingsreport import SettingsReport

if TYPE_CHECKING:
    from catkincrank.proxy import Proxy

__all__ = (
    'CallerState',
    'EndpointState',
    'GroupState',
    'ProxyState',
    'describe_proxy',
)

_MOST_CALLERS = 200


@final
@dataclass(frozen=True, slots=True)
class EndpointState:
    """What is believed of an endpoint, and since when.

    Attributes:
        name: Its name.
        role: Role that it says it has.
        term: Term of the newest record it can hold.
        received: Position up to which its log is stored.
        replayed: Position up to which its reads see the log.
        incarnation: Identifier of its current start.
        observed_s: Age of that knowledge, in seconds.
        data_age_s: Bound on the age of its data, in seconds.
        sealed: Ballot that it has promised; empty when none.
    """

    name: str
    role: str
    term: int
    received: int
    replayed: int
    incarnation: str
    observed_s: float
    data_age_s: float
    sealed: str


@final
@dataclass(frozen=True, slots=True)
class GroupState:
    """What is believed of a group.

    Attributes:
        group: Its name.
        primary: Endpoint taken for the primary; empty when none is known.
        waiting: Requests that wait for a primary.
        endpoints: Its endpoints.
    """

    group: str
    primary: str
    waiting: int
    endpoints: tuple[EndpointState, ...]


@final
@dataclass(frozen=True, slots=True)
class CallerState:
    """One caller.

    Attributes:
        pid: Number that its driver knows its connection by.
        group: Group that it works on.
        transaction: Its transaction status, by PostgreSQL's letter.
        is_busy: Whether a statement runs.
        endpoint: Endpoint whose connection it holds; empty when none.
        has_key: Whether its requests carry a request key.
    """

    pid: int
    group: str
    transaction: str
    is_busy: bool
    endpoint: str
    has_key: bool


@final
@dataclass(frozen=True, slots=True)
class ProxyState:
    """State of a proxy.

    Attributes:
        name: Name of the process.
        zone: Availability zone it runs in.
        port: Port for callers.
        is_draining: Whether it refuses new callers.
        keeper: Keeper that it is linked to; empty when none.
        keeper_silence_s: Time since a keeper was heard, in seconds.
        role: Role of the process.
        obstacles: Why callers should go elsewhere.
        settings: Versions in force and the age of that knowledge.
        groups: What it believes of the groups.
        pools: Its connections to endpoints.
        callers: Its callers, the first ones.
        caller_count: How many callers there are.
        pending: What a drain has to wait for.
        served: Answers by group, access and endpoint.
        failed: Errors by group and SQLSTATE.
        journal: Its newest decisions.
    """

    name: str
    zone: str
    port: int
    is_draining: bool
    keeper: str
    keeper_silence_s: float
    role: str
    obstacles: tuple[str, ...]
    settings: SettingsReport
    groups: tuple[GroupState, ...]
    pools: tuple[PoolState, ...]
    callers: tuple[CallerState, ...]
    caller_count: int
    pending: tuple[str, ...]
    served: dict[str, int]
    failed: dict[str, int]
    journal: tuple[Event, ...]

    def as_map(self) -> dict[str, Any]:
        """Return plain maps, tuples and scalars."""
        return asdict(self)


def describe_proxy(proxy: 'Proxy') -> ProxyState:
    """Return the state of ``proxy`` now."""
    now = anyio.current_time()
    callers = proxy.server.connections
    tally = proxy.tally
    return ProxyState(
        proxy.options.name,
        proxy.options.zone,
        proxy.server.port,
        proxy.server.is_draining,
        proxy.client.connected_to,
        proxy.client.silence_s(now),
        'proxy',
        tuple(proxy.list_obstacles()),
        proxy.settings.report(),
        tuple(
            _describe_group(proxy, group, now)
            for group in proxy.catalog.groups()
        ),
        tuple(proxy.pools.list_pools()),
        tuple(_describe_caller(one) for one in callers[:_MOST_CALLERS]),
        len(callers),
        tuple(proxy.list_pending()),
        {
            '{0} {1} {2}'.format(group, access.value, endpoint): count
            for (group, access, endpoint), count in tally.served.items()
        },
        {' '.join(key): count for key, count in tally.failed.items()},
        tuple(proxy.journal.list_events()),
    )


def _describe_group(proxy: 'Proxy', group: str, now: float) -> GroupState:
    primary = proxy.feed.primary(group)
    observations = proxy.feed.observations(group)
    return GroupState(
        group,
        '' if primary is None else primary.status.endpoint,
        proxy.executor.runners.primaries.count_waiting(group),
        tuple(
            _describe_endpoint(proxy, group, name, now)
            for name in sorted(observations)
        ),
    )


def _describe_endpoint(
    proxy: 'Proxy',
    group: str,
    name: str,
    now: float,
) -> EndpointState:
    observation = proxy.feed.observations(group)[name]
    status = observation.status
    sealed = status.sealed
    return EndpointState(
        name,
        status.role.value,
        status.term,
        status.received,
        status.replayed,
        status.incarnation,
        now - observation.taken_at,
        proxy.feed.data_age(group, name, now),
        '' if sealed is None else '{0}/{1}'.format(sealed.term, sealed.keeper),
    )


def _describe_caller(connection: Any) -> CallerState:
    session = connection.state
    transaction = session.transaction
    lease = None if transaction is None else transaction.lease
    is_held = lease is not None and lease.is_open
    return CallerState(
        connection.pid,
        session.group,
        session.status.value,
        session.is_busy,
        lease.endpoint if is_held else '',
        bool(session.options.current.request_key),
    )
