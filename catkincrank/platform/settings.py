"""Decodes the settings file that the platform writes for each process."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from catkincrank.errors import OptionError
from catkincrank.gateway.options import Address, GatewayOptions

__all__ = ('SETTINGS_VARIABLE', 'read_settings')

SETTINGS_VARIABLE = 'CATKINCRANK_BOOT'
_NO_ADDRESS = ''


class _Listen(msgspec.Struct):
    """Addresses to listen on; no outside program calls ``control``."""

    front: str = _NO_ADDRESS
    ready: str = _NO_ADDRESS
    control: str = _NO_ADDRESS


class _ServiceAddress(msgspec.Struct):
    address: str = _NO_ADDRESS


class _Bounds(msgspec.Struct):
    grace_s: float = 6


class _Limits(msgspec.Struct):
    """``max_fds`` is 0 if only the limit of the operating system applies."""

    max_fds: int = 0


class _Settings(msgspec.Struct):
    """``node`` is the VM's name; ``internal_ports`` a port range.

    ``max_callers`` is the project's own setting: sessions that a process serves
    at the same time, or 0 for as many as its descriptors allow.
    """

    node: str
    ip: str
    zone: str
    region: str
    internal_ports: list[int]
    listen: _Listen
    platform: _ServiceAddress
    cloud: _ServiceAddress
    seeds: list[str] = []
    zones: dict[str, str] = {}
    max_callers: int = 0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def read_settings(path: str) -> GatewayOptions:
    """Return the options in a settings file.

    Raises:
        OptionError: The file is missing or malformed.
    """
    try:
        text = Path(path).read_text('utf-8')
        found = msgspec.convert(tomllib.loads(text), type=_Settings)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise OptionError(path, str(error), 'a settings file') from None
    return _convert(found)


def _convert(found: Any) -> GatewayOptions:
    peer_port, metrics_port = (
        found.internal_ports[0],
        found.internal_ports[0] + 1,
    )
    return GatewayOptions(
        name=found.node,
        zone=found.zone,
        region=found.region,
        regions=found.zones,
        callers=Address.parse(found.listen.front),
        readiness=Address.parse(found.listen.ready),
        peers=Address(found.ip, peer_port),
        metrics=Address(found.ip, metrics_port),
        store=found.platform.address,
        promoter=found.cloud.address,
        grace_s=found.bounds.grace_s,
        descriptors=found.limits.max_fds,
        max_callers=found.max_callers,
    )
