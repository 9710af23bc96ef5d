"""Binds the gateway's sockets before the gateway is imported."""

import os
import tomllib
from collections.abc import Mapping, Sequence

from catkincrank.earlylisteners import EarlyListeners, listen_early

__all__ = ('prepare',)

# Repeated from modules that cost more to import than this one may.
_SETTINGS_FLAG = '--settings'
_SETTINGS_VARIABLES = ('CATKINCRANK_SETTINGS', 'CATKINCRANK_BOOT')

# A file or its values are missing, malformed or of another type, or an address
# is not available.
_FAULTS = (
    OSError,
    ValueError,
    LookupError,
    OverflowError,
    TypeError,
    AttributeError,
)


def prepare(
    arguments: Sequence[str],
    environment: Mapping[str, str] = os.environ,
) -> EarlyListeners | None:
    """Start to listen for callers and readiness checks.

    Returns ``None`` if the settings do not name the addresses or these cannot
    be bound. The gateway then reports the fault, or binds the addresses itself
    once it can serve.

    Args:
        arguments: Command line after the command name.
        environment: Environment variables.
    """
    try:
        path = _find_path(arguments, environment)
        return listen_early(*_read_addresses(path))
    except _FAULTS:
        return None


def _find_path(arguments: Sequence[str], environment: Mapping[str, str]) -> str:
    for number, argument in enumerate(arguments, 1):
        flag, _, path = argument.partition('=')
        if flag == _SETTINGS_FLAG:
            return path or arguments[number]
    found = (environment.get(name, '') for name in _SETTINGS_VARIABLES)
    return next(filter(None, found), '')


def _read_addresses(path: str) -> tuple[tuple[str, int], tuple[str, int]]:
    with open(path, 'rb') as opened:
        listen = tomllib.load(opened)['listen']
    return _parse(listen['front']), _parse(listen['ready'])


def _parse(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError(text)
    return host, int(port)
