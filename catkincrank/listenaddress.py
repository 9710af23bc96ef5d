"""Places where processes listen, as flags write them."""

from dataclasses import dataclass
from typing import final

from catkincrank.errors import OptionError

__all__ = ('ListenAddress', 'parse_address')

_MAX_PORT = 65535


@final
@dataclass(frozen=True, slots=True)
class ListenAddress:
    """A parsed place.

    Attributes:
        names: What stood before the address, e.g. a name and a zone.
        host: IP number.
        port: TCP port.
    """

    names: tuple[str, ...]
    host: str
    port: int


def parse_address(option: str, text: str, accepted: str) -> ListenAddress:
    """Return the place that ``text`` names.

    Args:
        option: Flag that the text was given to.
        text: For example ``vm1/kathmandu/10.0.1.1:7432``.
        accepted: Form that the flag takes, e.g. ``NAME/ZONE/HOST:PORT``; the
            text must have as many parts.

    Raises:
        OptionError: The text has another form.
    """
    *names, address = text.strip().split('/')
    host, _, port = address.rpartition(':')
    is_whole = all((*names, host)) and len(names) == accepted.count('/')
    if not is_whole or not port.isdecimal() or int(port) > _MAX_PORT:
        raise OptionError(option, text, accepted)
    return ListenAddress(tuple(names), host.strip('[]'), int(port))
