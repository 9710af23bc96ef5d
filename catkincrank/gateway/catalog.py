"""The configuration in force: routes, services and limits."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import final

__all__ = ('Catalog', 'Consistency', 'Organisation', 'Route', 'Service')


@final
class Consistency(enum.Enum):
    """Consistency level of the reads of a route.

    The values describe which commits a read may miss.
    """

    STRONG = 'no acknowledged commit'
    BOUNDED = 'commits younger than the stated age'
    SESSION = 'as bounded, but none of the own session'


@final
@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the sessions of one database.

    Attributes:
        name: Name of the route.
        database: Database name that callers connect to.
        service: Group of endpoints that serves it.
        consistency: Consistency level of its reads.
        max_staleness_s: Greatest staleness of a read, in seconds.
        timeout_s: Time limit of one statement, in seconds.
        target_latency_s: Target latency of an operation, in seconds.
        priority: Priority in the queue; 0 is served first.
        is_public: Whether callers need no key.
    """

    name: str
    database: str
    service: str
    consistency: Consistency
    max_staleness_s: float
    timeout_s: float
    target_latency_s: float
    priority: int
    is_public: bool = False


@final
@dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints.

    Attributes:
        name: Name of the group.
        max_connections: Connections that each endpoint accepts from all
            VMs together.
        sync_replicas: Replicas that must have received a commit before the
            primary acknowledges it.
    """

    name: str
    max_connections: int
    sync_replicas: int


@final
@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose callers identify themselves by keys.

    Attributes:
        name: Name that endpoints are told.
        rate_per_s: Operations that all VMs together may run per second.
        burst: Operations that they may run beyond that rate at once.
        priority: Priority of its operations; 0 is served first.
    """

    name: str
    rate_per_s: float
    burst: float
    priority: int = 0


@final
@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration.

    Attributes:
        version: Version number; increases with each change.
        routes: Routes by database.
        services: Services by name.
        transaction_idle_s: Time after which a transaction without a
            statement may be rolled back, in seconds.
        organisations: Organisations by name; ``None`` where callers need no
            keys.
        keys: Name of the organisation by the digest of each of its keys.
    """

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, Service]
    transaction_idle_s: float
    organisations: Mapping[str, Organisation] | None = None
    keys: Mapping[bytes, str] = field(default_factory=dict)
