"""The configuration in force: routes, services and limits."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

__all__ = ('Catalog', 'Consistency', 'Route', 'Service')


@final
class Consistency(enum.Enum):
    """What a read of a route may miss."""

    STRONG = 'no acknowledged commit'
    BOUNDED = 'commits younger than the stated age'
    SESSION = 'as bounded, but none of the own session'


@final
@dataclass(frozen=True, slots=True)
class Route:
    """How the sessions of one database are served.

    Attributes:
        name: Name of the route.
        database: Database that callers name.
        service: Group of endpoints that serves it.
        consistency: What its reads may miss.
        max_staleness_s: Age that a read may have, in seconds.
        timeout_s: Longest time that one statement may take, in seconds.
        target_s: Time within which an operation should end, in seconds.
        priority: 0 is served first.
    """

    name: str
    database: str
    service: str
    consistency: Consistency
    max_staleness_s: float
    timeout_s: float
    target_s: float
    priority: int


@final
@dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints.

    Attributes:
        name: Name of the group.
        max_connections: Connections that each endpoint takes from all VMs.
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
        version: Grows with each change.
        routes: Routes by database.
        services: Services by name.
        transaction_idle_s: Time after which a transaction without a
            statement may be rolled back, in seconds.
    """

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, Service]
    transaction_idle_s: float
