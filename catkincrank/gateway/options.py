"""Options of the gateway process."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import final

from catkincrank.errors import OptionError
from catkincrank.gateway.connectionlimits import (
    ConnectionLimits,
    divide_descriptors,
)

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
        descriptors: Descriptors that the process may open; 0 if only the limit
            of the operating system applies.
        max_callers: Sessions that it serves at the same time; 0 for as many as
            the descriptors allow.

    Raises:
        OptionError: The descriptors do not suffice for ``max_callers``.
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
    descriptors: int = 0
    max_callers: int = 0

    def __post_init__(self) -> None:
        if self.max_callers > divide_descriptors(self.descriptors).callers:
            raise OptionError(
                'max_callers',
                str(self.max_callers),
                'no more than the descriptors allow',
            )

    @property
    def limits(self) -> ConnectionLimits:
        """Numbers of connections that the process accepts."""
        return divide_descriptors(self.descriptors, self.max_callers)
