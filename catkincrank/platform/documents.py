"""Decodes the operator's configuration and the endpoints' registrations."""

import re
from collections.abc import Iterable
from typing import Any

import msgspec

from catkincrank.gateway.catalog import (
    Catalog,
    Consistency,
    Organisation,
    Route,
    Service,
)
from catkincrank.gateway.organisations.keys import digest_key
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.logs import log_event

__all__ = (
    'CONFIG_KEY',
    'CONFIG_TABLE',
    'ROSTER_TABLE',
    'decode_catalog',
    'decode_entry',
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


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    rate_per_s: float
    burst: float
    priority: int = 0


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
    tenants: list[_Tenant] | None = None


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
    found = msgspec.json.decode(body, type=_Config)
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
        _convert_organisations(found.tenants),
        _digest_keys(found.tenants or ()),
    )


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


def _convert_organisations(
    tenants: list[_Tenant] | None,
) -> dict[str, Organisation] | None:
    if tenants is None:
        return None
    organisations: dict[str, Organisation] = {}
    for one in tenants:
        if not _IDENTIFIER.fullmatch(one.name) or one.name in organisations:
            raise ValueError('unusable name of an organisation')
        if one.rate_per_s < 0 or one.burst < 0:
            raise ValueError('negative limit of {0}'.format(one.name))
        organisations[one.name] = Organisation(
            one.name, one.rate_per_s, one.burst, one.priority
        )
    return organisations


def _digest_keys(tenants: Iterable[_Tenant]) -> dict[bytes, str]:
    keys: dict[bytes, str] = {}
    for one in tenants:
        for key in one.api_keys:
            digest = digest_key(key.encode('utf-8'))
            if keys.setdefault(digest, one.name) != one.name:
                raise ValueError(
                    'a key of {0} belongs to {1}'.format(one.name, keys[digest])
                )
    return keys
