"""Parses target addresses from the command line."""

from catkincrank.listenaddress import parse_address
from catkincrank.load.connection import Target

__all__ = ('parse_targets',)

_ACCEPTED = 'HOST:PORT'


def parse_targets(text: str, user: str, password: str) -> list[Target]:
    """Parse target addresses separated by commas.

    Raises:
        OptionError: An address is malformed.
    """
    addresses = {
        part.strip(): parse_address('--target', part, _ACCEPTED)
        for part in text.split(',')
    }
    return [
        Target(name, address.host, address.port, user, password)
        for name, address in addresses.items()
    ]
