"""Options of the gateway process."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import final

from catkincrank.errors import OptionError

__all__ = ('Address', 'GatewayOptions')


@final
@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address in ``text``, in the form HOST:PORT.

        Raises:
            OptionError: The text has another form.
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
        zone: Availability zone of the VM.
        region: Region of the availability zone.
        regions: Regions by availability zone.
        callers: Listen address for callers.
        readiness: Listen address for the load balancer's readiness checks.
        peers: Listen address for other processes of the fleet.
        metrics: Listen address for metrics and the state dump.
        store: Address of the table service.
        promoter: Address of the service that promotes endpoints.
        grace_s: Time between the stop signal and the kill, in seconds.
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
