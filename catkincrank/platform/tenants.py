"""Organisations in the operator's configuration, and their keys.

The platform calls organisations tenants. Errors name the place in the document,
never its content: a key may stand where a name is expected.
"""

import re
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from catkincrank.gateway.catalog import Organisation
from catkincrank.gateway.organisations.keys import digest_key

__all__ = (
    'Tenant',
    'check_tenants',
    'conceal_keys',
    'convert_organisations',
    'list_repeated_keys',
    'list_tenant_faults',
    'map_keys',
)

# The characters that a field of the session protocol allows.
_NAME = re.compile('[!-~]+')
# Faults in the message of a refused configuration.
_MAX_FAULTS = 3
_NOT_NEGATIVE = ('rate_per_s', 'burst', 'priority')
# Greatest priority that fits into the messages between gateways.
_MAX_PRIORITY = 255


class Tenant(msgspec.Struct):
    """An organisation.

    ``key_digests`` takes the place of ``api_keys`` in documents that processes
    pass each other.
    """

    name: str
    rate_per_s: float
    burst: float
    api_keys: list[str] | None = None
    key_digests: list[str] | None = None
    priority: int = 0

    def list_digests(self) -> list[bytes]:
        """Return the digests of the keys."""
        if self.api_keys is None:
            return [bytes.fromhex(one) for one in self.key_digests or ()]
        return [digest_key(key.encode('utf-8')) for key in self.api_keys]


class _Outline(msgspec.Struct):
    tenants: list[Tenant] | msgspec.UnsetType | None = msgspec.UNSET


def conceal_keys(body: bytes) -> bytes:
    """Return a configuration with digests in place of keys.

    The result for a malformed configuration is a JSON string with the cause,
    since any part of its content may be a key.
    """
    try:
        outline = msgspec.json.decode(body, type=_Outline)
        check_tenants(outline.tenants or ())
    except (RecursionError, ValueError) as error:
        return msgspec.json.encode(str(error))
    if outline.tenants is msgspec.UNSET:
        return body
    document = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    tenants = msgspec.json.decode(
        document['tenants'], type=list[dict[str, msgspec.Raw]] | None
    )
    for fields, tenant in zip(tenants or (), outline.tenants or ()):
        if tenant.api_keys is not None:
            fields.pop('api_keys')
            digests = [digest.hex() for digest in tenant.list_digests()]
            fields['key_digests'] = msgspec.Raw(msgspec.json.encode(digests))
    return msgspec.json.encode({**document, 'tenants': tenants})


def convert_organisations(
    tenants: list[Tenant] | None,
) -> dict[str, Organisation] | None:
    """Return the organisations by name; ``None`` if callers need no keys."""
    if tenants is None:
        return None
    return {
        one.name: Organisation(
            one.name, one.rate_per_s, one.burst, one.priority
        )
        for one in tenants
    }


def map_keys(tenants: Iterable[Tenant]) -> dict[bytes, str]:
    """Return the name of the organisation by the digest of each key."""
    return {
        digest: one.name for one in tenants for digest in one.list_digests()
    }


def check_tenants(tenants: Sequence[Tenant]) -> None:
    """Check the organisations of a configuration.

    Raises:
        ValueError: Names the places of the first faults.
    """
    faults = tuple(list_tenant_faults(tenants))
    if faults:
        raise ValueError('; '.join(faults[:_MAX_FAULTS]))


def list_tenant_faults(tenants: Sequence[Tenant]) -> Iterator[str]:
    """Return the faults because of which a configuration is refused."""
    names: dict[str, str] = {}
    for index, one in enumerate(tenants):
        place = '$.tenants[{0}]'.format(index)
        if not _NAME.fullmatch(one.name):
            yield '{0}.name: empty, or not printable ASCII'.format(place)
        known = names.setdefault(one.name, place)
        if known != place:
            yield '{0}.name: the same as {1}.name'.format(place, known)
        yield from _list_number_faults(one, place)
        yield from _list_key_faults(one, place)
    for place, known, is_same_owner in _find_repetitions(tenants):
        if not is_same_owner:
            yield '{0}: the same key as {1}'.format(place, known)


def list_repeated_keys(tenants: Sequence[Tenant]) -> Iterator[str]:
    """Return the keys that an organisation has twice.

    They do no harm, so a configuration with them is accepted.
    """
    for place, known, is_same_owner in _find_repetitions(tenants):
        if is_same_owner:
            yield '{0}: the same key as {1}'.format(place, known)


def _list_number_faults(tenant: Tenant, place: str) -> Iterator[str]:
    for limit in _NOT_NEGATIVE:
        if getattr(tenant, limit) < 0:
            yield '{0}.{1}: negative'.format(place, limit)
    if tenant.priority > _MAX_PRIORITY:
        yield '{0}.priority: above {1}'.format(place, _MAX_PRIORITY)


def _list_key_faults(tenant: Tenant, place: str) -> Iterator[str]:
    if tenant.api_keys is None and tenant.key_digests is None:
        yield '{0}.api_keys: missing'.format(place)
    for number, key in enumerate(tenant.api_keys or ()):
        if not key:
            # It would admit every caller that sends no key.
            yield '{0}.api_keys[{1}]: empty'.format(place, number)


def _find_repetitions(
    tenants: Sequence[Tenant],
) -> Iterator[tuple[str, str, bool]]:
    """Return the places of repeated keys and of the same keys before."""
    places: dict[bytes, tuple[int, str]] = {}
    for index, tenant in enumerate(tenants):
        for number, digest in enumerate(tenant.list_digests()):
            place = '$.tenants[{0}].api_keys[{1}]'.format(index, number)
            owner, known = places.setdefault(digest, (index, place))
            if known != place:
                yield place, known, owner == index
