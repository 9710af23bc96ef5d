"""The configuration in force: routes, services and limits."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

__all__ = ('Catalog', 'Consistency', 'Route', 'Service')


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
    """

    name: str
    database: str
    service: str
    consistency: Consistency
    max_staleness_s: float
    timeout_s: float
    target_latency_s: float
    priority: int


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
class Catalog:
    """One version of the configuration.

    Attributes:
        version: Version number; increases with each change.
        routes: Routes by database.
        services: Services by name.
        transaction_idle_s: Time after which a transaction without a
            statement may be rolled back, in seconds.
    """

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, Service]
    transaction_idle_s: float
