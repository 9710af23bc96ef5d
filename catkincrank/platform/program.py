"""The gateway as a program on the users' platform."""

import os
from dataclasses import dataclass
from types import SimpleNamespace
from typing import final

from catkincrank.earlylisteners import EarlyListeners
from catkincrank.gateway.daemon import run_gateway
from catkincrank.platform import (
    callers,
    documents,
    endpoints,
    promotion,
    store,
    tenants,
)
from catkincrank.platform.settings import SETTINGS_VARIABLE, read_settings

__all__ = ('ADAPTER', 'DOCUMENTS', 'GatewayFlags', 'run')

# Importing these modules registers the drivers that ``ADAPTER`` names.
DRIVER_MODULES = (callers, endpoints, promotion, store)
ADAPTER = SimpleNamespace(
    callers='lines',
    endpoints='lines',
    promoter='platform',
    store='platform',
)
DOCUMENTS = SimpleNamespace(
    config_table=documents.CONFIG_TABLE,
    config_key=documents.CONFIG_KEY,
    roster_table=documents.ROSTER_TABLE,
    decode_catalog=documents.decode_catalog,
    conceal_keys=tenants.conceal_keys,
    list_faults=documents.list_faults,
    decode_entry=documents.decode_entry,
)


@final
@dataclass(frozen=True, slots=True)
class GatewayFlags:
    """Options of a gateway.

    Attributes:
        name: Name in log lines until the settings have been read.
        settings: Path of the settings file.
    """

    name: str = 'gateway'
    settings: str = ''


async def run(
    flags: GatewayFlags,
    listeners: EarlyListeners | None = None,
) -> None:
    """Run a gateway until it is signalled to stop.

    Args:
        flags: Options of the program.
        listeners: Result of ``earlystart.prepare``.
    """
    path = flags.settings or os.environ.get(SETTINGS_VARIABLE, '')
    await run_gateway(read_settings(path), ADAPTER, DOCUMENTS, listeners)
