"""Parses listen addresses as given in flags."""

from dataclasses import dataclass
from typing import final

from catkincrank.errors import OptionError

__all__ = ('ListenAddress', 'parse_address')

_MAX_PORT = 65535


@final
@dataclass(frozen=True, slots=True)
class ListenAddress:
    """A parsed listen address.

    Attributes:
        names: The parts before the address, e.g. a name and a zone.
        host: IP address.
        port: TCP port.
    """

    names: tuple[str, ...]
    host: str
    port: int


def parse_address(option: str, text: str, accepted: str) -> ListenAddress:
    """Return the address in ``text``.

    Args:
        option: Flag that the text was given for.
        text: For example ``vm1/kathmandu/10.0.1.1:7432``.
        accepted: Format that the flag accepts, e.g. ``NAME/ZONE/HOST:PORT``;
            the text must have the same number of parts.

    Raises:
        OptionError: The text has another format.
    """
    *names, address = text.strip().split('/')
    host, _, port = address.rpartition(':')
    is_complete = all((*names, host)) and len(names) == accepted.count('/')
    if not is_complete or not port.isdecimal() or int(port) > _MAX_PORT:
        raise OptionError(option, text, accepted)
    return ListenAddress(tuple(names), host.strip('[]'), int(port))
