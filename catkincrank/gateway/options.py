"""Options of the gateway process."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import final

from catkincrank.errors import OptionError

__all__ = ('Address', 'GatewayOptions')


@final
@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address that ``text`` names.

        Raises:
            OptionError: It names none.
        """
        host, _, port = text.rpartition(':')
        if not host or not port.isdigit():
            raise OptionError('address', text, 'HOST:PORT')
        return cls(host, int(port))


@final
@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Options of one process.

    Attributes:
        name: Name of the VM.
        zone: Availability zone it runs in.
        region: Region of that zone.
        regions: Regions by availability zone.
        callers: Where callers connect.
        readiness: Where the balancer asks whether to send callers.
        peers: Where other processes of the fleet connect.
        metrics: Where metrics and the state dump are served.
        store: Address of the table service.
        promoter: Address of what appoints primaries.
        grace_s: Time between the signal to stop and the kill, in seconds.
    """

    name: str
    zone: str
    region: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    store: str
    promoter: str
    regions: Mapping[str, str] = field(default_factory=dict)
    grace_s: float = 6
