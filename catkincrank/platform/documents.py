"""Decodes the operator's configuration and the endpoints' registrations."""

import ipaddress
import re
from collections.abc import Iterator
from typing import Annotated, Any, Final

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
    'MAX_ENTRY_BYTES',
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
# Endpoints write about 250 bytes. What another writer leaves may be as large as
# a row, and peers cannot pass on more than a megabyte of rows at a time.
MAX_ENTRY_BYTES: Final = 8192
# The store's limit for the texts that name its rows.
_MAX_NAME_CHARS = 200
# The longest text of an IP number is shorter.
_MAX_HOST_CHARS = 45
_BROADCAST = ipaddress.IPv4Address('255.255.255.255')
# A port as the platform writes it; ``int`` accepts other spellings.
_PORT = re.compile('[1-9][0-9]{0,4}')
_MAX_PORT = 65535
# The characters that a field of the session protocol allows.
_IDENTIFIER = re.compile('[!-~]+')
_STATES = frozenset(('ready', _DRAINING))
_ROLES = {'primary': True, 'replica': False}  # noqa: WPS407

# Numbers beyond these limits do not fit into the messages between gateways.
_MAX_COUNT = 65535
_MAX_PRIORITY = 255
_MAX_LARGE = (1 << 63) - 1  # noqa: WPS432
_Number = Annotated[float, msgspec.Meta(ge=0)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Priority = Annotated[int, msgspec.Meta(ge=0, le=_MAX_PRIORITY)]
_Large = Annotated[int, msgspec.Meta(ge=0, le=_MAX_LARGE)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)]
_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]


class _Route(msgspec.Struct):
    """A route; ``host`` is the database name in callers' startup requests."""

    name: str
    host: str
    type: str
    service: str
    timeout_ms: _Number
    target_latency_ms: _Number = 0
    priority: _Priority = 0
    max_staleness_ms: _Number = 0
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    max_connections: _Count
    sync_replicas: _Count = 0


class _Limits(msgspec.Struct):
    tx_idle_ms: _Number = 3000


class _Config(msgspec.Struct):
    version: _Large
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[Tenant] | None = None


class _Registration(msgspec.Struct):
    """An endpoint's registration.

    ``seq`` counts its writes since ``born``; ``slots`` is the number of
    statements, not connections, that it runs concurrently.
    """

    service: _Name
    address: str
    zone: _Name
    slots: _Slots
    state: str
    db_role: str
    born: _Large = 0
    seq: _Large = 0
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


def _convert_entry(endpoint_id: str, body: bytes) -> EndpointEntry:
    if len(body) > MAX_ENTRY_BYTES:
        raise ValueError('larger than {0} bytes'.format(MAX_ENTRY_BYTES))
    found = msgspec.json.decode(body, type=_Registration)
    if found.state not in _STATES or found.db_role not in _ROLES:
        raise ValueError('unknown state or role')
    host, port = _parse_address(found.address)
    for name in (endpoint_id, found.service):
        if not _IDENTIFIER.fullmatch(name):
            raise ValueError('unusable identifier')
    return EndpointEntry(
        endpoint_id,
        found.service,
        host,
        port,
        found.zone,
        found.slots,
        found.state == _DRAINING,
        _ROLES[found.db_role],
        found.born,
        found.seq,
    )


def _parse_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of an endpoint.

    Raises:
        ValueError: The address has none; a name is not looked up, which would
            hold up the process. The zone of an IPv6 number is such a name.
    """
    host, _, port = address.rpartition(':')
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise ValueError('unusable port')
    if len(host) > _MAX_HOST_CHARS or '%' in host:
        raise ValueError('unusable host')
    number = ipaddress.ip_address(host)
    if _is_any_or_many(getattr(number, 'ipv4_mapped', None) or number):
        raise ValueError('unusable host')
    return str(number), int(port)


def _is_any_or_many(
    number: ipaddress.IPv4Address | ipaddress.IPv6Address,
) -> bool:
    """Return whether a number stands for any host, or for more than one."""
    return number.is_unspecified or number.is_multicast or number == _BROADCAST


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
