"""State dump of a proxy."""

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

_MAX_CALLERS_SHOWN = 200


@final
@dataclass(frozen=True, slots=True)
class EndpointState:
    """Last known state of an endpoint.

    Attributes:
        name: Its name.
        role: Role that it reports.
        term: Term of the newest record that its log can contain.
        received: Log position up to which it has stored the log.
        replayed: Log position that is visible to its reads.
        incarnation: Identifier of its current start.
        observed_s: Time since that status was observed, in seconds.
        data_age_s: Upper bound on the staleness of its data, in seconds.
        sealed: Ballot that it has promised, as term and keeper; empty when
            none.
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
    """Last known state of a group.

    Attributes:
        group: Its name.
        primary: Endpoint regarded as the primary; empty when none is known.
        waiting: Number of requests that wait for a primary.
        endpoints: Its endpoints.
    """

    group: str
    primary: str
    waiting: int
    endpoints: tuple[EndpointState, ...]


@final
@dataclass(frozen=True, slots=True)
class CallerState:
    """State of one caller.

    Attributes:
        pid: Backend process number reported to its driver.
        group: Group that it is connected to.
        transaction: Transaction status letter of the PostgreSQL protocol.
        is_busy: Whether a statement is running.
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
        is_draining: Whether it rejects new callers.
        keeper: Keeper that it is connected to; empty when none.
        keeper_silence_s: Time since the last message of a keeper, in seconds.
        role: Role of the process.
        obstacles: Reasons why it is not ready.
        settings: Settings versions in force and their age.
        groups: Last known state of the groups.
        pools: Its connection pools.
        callers: Its callers, up to a limit.
        caller_count: Number of all callers.
        pending: Work in progress that a drain waits for.
        served: Answers by group, access and endpoint.
        failed: Errors by group and SQLSTATE.
        journal: Its latest decisions.
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
        """Return the state as plain dictionaries, tuples and scalars."""
        return asdict(self)


def describe_proxy(proxy: 'Proxy') -> ProxyState:
    """Return the current state of ``proxy``."""
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
        tuple(_describe_caller(one) for one in callers[:_MAX_CALLERS_SHOWN]),
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
