"""Decodes the operator's configuration and the endpoints' registrations."""

import re
from collections.abc import Iterator
from typing import Any

import msgspec

from catkincrank.gateway.catalog import (
    Catalog,
    Consistency,
    Route,
    Service,
)
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.logs import log_event
from catkincrank.platform.tenants import (
    Tenant,
    check_tenants,
    convert_organisations,
    list_repeated_keys,
    list_tenant_faults,
    map_keys,
)

__all__ = (
    'CONFIG_KEY',
    'CONFIG_TABLE',
    'ROSTER_TABLE',
    'decode_catalog',
    'decode_entry',
    'list_faults',
)

CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
ROSTER_TABLE = 'servers'
_MS_PER_S = 1000
_CONSISTENCIES = {  # noqa: WPS407
    'primary': Consistency.STRONG,
    'bounded_staleness': Consistency.BOUNDED,
    'read_your_writes': Consistency.SESSION,
}
_DRAINING = 'draining'
_MAX_PORT = 65535
# The characters that a field of the session protocol allows.
_IDENTIFIER = re.compile('[!-~]+')
_STATES = frozenset(('ready', _DRAINING))
_ROLES = {'primary': True, 'replica': False}  # noqa: WPS407


class _Route(msgspec.Struct):
    """A route; ``host`` is the database name in callers' startup requests."""

    name: str
    host: str
    type: str
    service: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    max_staleness_ms: float = 0
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    max_connections: int
    sync_replicas: int = 0


class _Limits(msgspec.Struct):
    tx_idle_ms: float = 3000


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[Tenant] | None = None


class _Registration(msgspec.Struct):
    """An endpoint's registration.

    ``seq`` counts its writes since ``born``; ``slots`` is the number of
    statements, not connections, that it runs concurrently.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    db_role: str
    born: int = 0
    seq: int = 0
    cold_remaining_ms: float = 0


def decode_catalog(body: bytes) -> Catalog:
    """Return the configuration in ``body``.

    Raises:
        ValueError: The body is malformed.
    """
    if body.startswith(b'"'):
        # The cause for which ``conceal_keys`` did not pass the document on.
        raise ValueError(msgspec.json.decode(body, type=str))
    found = msgspec.json.decode(body, type=_Config)
    check_tenants(found.tenants or ())
    routes: dict[str, Route] = {}
    for route in found.routes:
        routes.setdefault(route.host, _convert_route(route))
    services = {
        one.name: Service(one.name, one.max_connections, one.sync_replicas)
        for one in found.services
    }
    return Catalog(
        found.version,
        routes,
        services,
        found.limits.tx_idle_ms / _MS_PER_S,
        convert_organisations(found.tenants),
        map_keys(found.tenants or ()),
    )


def list_faults(body: bytes) -> list[str]:
    """Return the faults of a configuration with their places.

    Some of them do not keep gateways from using it.
    """
    try:
        return list(_find_faults(msgspec.json.decode(body, type=_Config)))
    except (RecursionError, ValueError) as error:
        return [str(error)]


def decode_entry(endpoint_id: str, body: bytes) -> EndpointEntry | None:
    """Return a registration; ``None`` if it is malformed or unusable."""
    try:
        return _convert_entry(endpoint_id, body)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        log_event(
            'registration_skipped',
            'WARNING',
            endpoint=endpoint_id,
            cause=str(error),
        )
    return None


def _find_faults(found: _Config) -> Iterator[str]:
    tenants = found.tenants or ()
    yield from _list_route_faults(found)
    yield from list_tenant_faults(tenants)
    yield from list_repeated_keys(tenants)


def _list_route_faults(found: _Config) -> Iterator[str]:
    services = {service.name for service in found.services}
    places: dict[str, str] = {}
    for index, route in enumerate(found.routes):
        place = '$.routes[{0}]'.format(index)
        known = places.setdefault(route.host, place)
        if known != place:
            yield '{0}.host: the same as {1}.host'.format(place, known)
        if route.type not in _CONSISTENCIES:
            yield '{0}.type: unknown'.format(place)
        if route.service not in services:
            yield '{0}.service: not in $.services'.format(place)
        if route.priority < 0:
            yield '{0}.priority: negative'.format(place)


def _convert_entry(endpoint_id: str, body: bytes) -> EndpointEntry:
    found = msgspec.json.decode(body, type=_Registration)
    host, _, port = found.address.rpartition(':')
    if found.state not in _STATES or found.db_role not in _ROLES:
        raise ValueError('unknown state or role')
    if not host or not 0 < int(port) <= _MAX_PORT:
        raise ValueError('unusable address')
    if not _IDENTIFIER.fullmatch(endpoint_id):
        raise ValueError('unusable identifier')
    return EndpointEntry(
        endpoint_id,
        found.service,
        host,
        int(port),
        found.zone,
        found.slots,
        found.state == _DRAINING,
        _ROLES[found.db_role],
        found.born,
        found.seq,
    )


def _convert_route(route: Any) -> Route:
    consistency = _CONSISTENCIES.get(route.type)
    if consistency is None:
        raise ValueError('unknown type of route {0!r}'.format(route.type))
    return Route(
        route.name,
        route.host,
        route.service,
        consistency,
        route.max_staleness_ms / _MS_PER_S,
        route.timeout_ms / _MS_PER_S,
        route.target_latency_ms / _MS_PER_S,
        route.priority,
        route.public,
    )
