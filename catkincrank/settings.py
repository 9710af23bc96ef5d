"""Settings tree: one subtree per team, validated as a whole before use.

A subtree is TOML or JSON text. ``parse_team`` validates it and returns typed
settings; every error names the path of the invalid value.
"""

import difflib
import re
from typing import Annotated, final

import msgspec

from catkincrank.errors import OptionError

__all__ = (
    'Endpoint',
    'Limits',
    'ReadRule',
    'Service',
    'Team',
    'encode_team',
    'parse_team',
)

_MAX_PORT = 65535
_Name = Annotated[str, msgspec.Meta(pattern='^[a-z][a-z0-9-]{0,62}$')]
_Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
_Positive = Annotated[int, msgspec.Meta(ge=1)]
_Seconds = Annotated[float, msgspec.Meta(ge=0)]
_UNKNOWN_KEY = re.compile('Object contains unknown field `([^`]*)`')
_PATH = re.compile(r' - at `\$\.?([^`]*)`')


@final
class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One instance of a service's group.

    Attributes:
        name: Name within the service.
        zone: Availability zone that it runs in.
        host: IP address.
        port: TCP port.
        zone_ports: Ports that callers in a zone use instead of ``port``.
        is_leaving: Whether it is leaving and receives no new work.
    """

    name: _Name
    zone: str
    host: str
    port: _Port
    zone_ports: dict[str, _Port] = {}
    is_leaving: bool = False

    def port_from(self, zone: str) -> int:
        """Return the port that callers in ``zone`` use."""
        return self.zone_ports.get(zone, self.port)


@final
class ReadRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which reads replicas may serve, and how old their data may be.

    Attributes:
        pattern: Regular expression that a statement's text must match.
        max_staleness_s: Greatest age of the data, in seconds; ``None`` requires
            only that the session sees its own writes.
        to_replicas: Whether replicas may serve matching reads at all.
    """

    pattern: str = '.*'
    max_staleness_s: _Seconds | None = None
    to_replicas: bool = True


@final
class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one service.

    Attributes:
        connections: Connections that each instance accepts in total.
        control_connections: Connections of these reserved for keepers.
        slots: Statements that each instance runs concurrently.
        proxies: Greatest number of proxies that share the instances.
        queue_length: Requests that may wait in one proxy.
        deadline_s: Time limit of a request unless its caller sets a shorter
            one.
        key_retention_s: How long outcomes of request keys are kept.
    """

    connections: _Positive = 20
    control_connections: _Positive = 4
    slots: _Positive = 3
    proxies: _Positive = 8
    queue_length: _Positive = 256
    deadline_s: _Seconds = 30
    key_retention_s: _Seconds = 86400


@final
class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A database service of a team.

    Attributes:
        endpoints: Instances of the service's group.
        database: Database name at the endpoints.
        user: Login at the endpoints.
        password_variable: Environment variable that holds the password.
        driver: Name of the endpoint driver.
        acknowledgement: Name of the acknowledgement policy.
        on_unknown_position: What a failover does when a replica that is further
            ahead may exist but cannot be reached: ``wait`` or ``promote``.
        reads: Rules in order; the first that matches decides.
        limits: Limits of the service.
    """

    endpoints: Annotated[tuple[Endpoint, ...], msgspec.Meta(min_length=1)]
    database: str = 'postgres'
    user: str = 'catkincrank'
    password_variable: str = ''
    driver: str = 'postgres'
    acknowledgement: str = 'replica'
    on_unknown_position: Annotated[
        str,
        msgspec.Meta(pattern='^(wait|promote)$'),
    ] = 'wait'
    reads: tuple[ReadRule, ...] = (ReadRule(),)
    limits: Limits = Limits()


@final
class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team's subtree.

    Attributes:
        services: Services by name.
        weight: Share of a contended endpoint, relative to other teams.
    """

    services: dict[_Name, Service] = {}
    weight: _Positive = 1


def parse_team(text: str | bytes, form: str = 'json') -> Team:
    """Return the validated subtree that ``text`` holds.

    Args:
        text: The subtree.
        form: ``json`` or ``toml``.

    Raises:
        OptionError: The text does not hold a valid subtree.
    """
    decode = msgspec.toml.decode if form == 'toml' else msgspec.json.decode
    try:
        return decode(text, type=Team)
    except msgspec.ValidationError as error:
        raise _make_option_error(str(error)) from None
    except msgspec.DecodeError as error:
        raise OptionError('settings', form, str(error)) from None


def encode_team(team: Team) -> bytes:
    """Return the subtree as JSON with keys in a fixed order."""
    return msgspec.json.encode(team, order='deterministic')


def _make_option_error(message: str) -> OptionError:
    found = _PATH.search(message)
    path = found.group(1) if found else ''
    reason = _PATH.sub('', message)
    unknown = _UNKNOWN_KEY.search(message)
    if unknown is None:
        return OptionError(
            path or 'settings',
            reason,
            'values that match the schema',
        )
    key = unknown.group(1)
    return OptionError(
        '{0}.{1}'.format(path, key).lstrip('.'),
        key,
        _suggest_key(key),
    )


def _suggest_key(key: str) -> str:
    known: list[str] = []
    for struct in (Team, Service, Endpoint, ReadRule, Limits):
        known.extend(struct.__struct_fields__)
    near = difflib.get_close_matches(key, known, n=1)
    if near:
        return 'known names; the nearest is {0!r}'.format(near[0])
    return 'known names'
