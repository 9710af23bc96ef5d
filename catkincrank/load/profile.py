"""Descriptions of a deployment and of the load on it, as data files."""

from importlib import resources
from pathlib import Path
from typing import Annotated, final

import msgspec

from catkincrank.errors import OptionError

__all__ = ('FaultStep', 'Profile', 'Workload', 'list_profiles', 'load_profile')

_PACKAGE = 'catkincrank.load'
_SUFFIX = '.toml'
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Positive = Annotated[float, msgspec.Meta(gt=0)]


@final
class Workload(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What callers do.

    Attributes:
        duration_s: How long requests arrive.
        rate: Requests that arrive a second, whatever became of earlier ones.
        sessions: Callers' sessions.
        write_share: Part of the requests that are payments or orders.
        transaction_share: Part of the writes that are transactions of two
            statements.
        move_share: Part of the requests before which a session moves to
            another proxy.
        own_share: Part of the reads that ask for the session's own item.
        staleness_s: Ages that the other reads accept, in equal parts.
        deadline_s: Time that a caller gives a request.
    """

    duration_s: _Positive = 30
    rate: _Positive = 100
    sessions: Annotated[int, msgspec.Meta(ge=1)] = 48
    write_share: _Share = 0.2
    transaction_share: _Share = 0.25
    move_share: _Share = 0.02
    own_share: _Share = 0.4
    staleness_s: tuple[float, ...] = (1, 5)
    deadline_s: _Positive = 25


@final
class FaultStep(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault on the timeline.

    Attributes:
        at_s: When, counted from the first arrival.
        action: Name of the fault.
        service: Service that it strikes.
        proxy: Proxy that it strikes.
    """

    at_s: float
    action: str
    service: str = ''
    proxy: str = ''


@final
class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment and its load.

    Attributes:
        team: Team that owns the services.
        services: Names of the services; each is a group of instances, one in
            each zone.
        zones: Availability zones.
        proxies: Number of proxies, spread over the zones.
        keepers: Number of keepers, spread over the zones.
        zone_delay_s: One-way delay between zones.
        client_delay_s: One-way delay between callers and proxies.
        slots: Statements that an instance works on at once.
        connections: Connections that an instance takes.
        connect_s: Time that an instance takes to accept a connection.
        statement_s: Time that an instance works on a statement.
        ship_s: Delay of replication.
        apply_s: Time from a record's arrival at a replica to its replay.
        acknowledgement: Policy by which writes are acknowledged.
        workload: What callers do.
        faults: Faults on the timeline.
    """

    team: str
    services: tuple[str, ...]
    zones: tuple[str, ...]
    proxies: int = 8
    keepers: int = 8
    zone_delay_s: float = 0
    client_delay_s: float = 0
    slots: int = 3
    connections: int = 20
    connect_s: float = 0.01
    statement_s: float = 0
    ship_s: float = 0.01
    apply_s: float = 0
    acknowledgement: str = 'replica'
    workload: Workload = Workload()
    faults: tuple[FaultStep, ...] = ()

    def groups(self) -> list[str]:
        """Return the names of the groups."""
        return [
            '{0}/{1}'.format(self.team, service) for service in self.services
        ]

    def zone_of(self, number: int) -> str:
        """Return the zone of the VM or instance with a number."""
        return self.zones[number % len(self.zones)]


def list_profiles() -> list[str]:
    """Return the names of the profiles that come with the package."""
    files = resources.files(_PACKAGE).iterdir()
    return sorted(
        file.name.removesuffix(_SUFFIX)
        for file in files
        if file.name.endswith(_SUFFIX)
    )


def load_profile(name: str) -> Profile:
    """Return a profile by its name or by the path of its file.

    Raises:
        OptionError: There is no such profile or it is wrong.
    """
    if name in list_profiles():
        place = resources.files(_PACKAGE).joinpath(name + _SUFFIX)
        text = place.read_text('utf-8')
    elif name.endswith(_SUFFIX) and Path(name).is_file():
        text = Path(name).read_text('utf-8')
    else:
        accepted = 'a .toml file or one of {0}'.format(
            ', '.join(list_profiles()),
        )
        raise OptionError('deployment', name, accepted)
    try:
        return msgspec.toml.decode(text, type=Profile)
    except msgspec.DecodeError as error:
        raise OptionError('deployment', name, str(error)) from None
