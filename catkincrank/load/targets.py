"""Addresses given on a command line."""

from catkincrank.listenaddress import parse_address
from catkincrank.load.connection import Target

__all__ = ('parse_targets',)

_ACCEPTED = 'HOST:PORT'


def parse_targets(text: str, user: str, password: str) -> list[Target]:
    """Return the targets that ``text`` lists.

    Raises:
        OptionError: An address is malformed.
    """
    places = {
        part.strip(): parse_address('--target', part, _ACCEPTED)
        for part in text.split(',')
    }
    return [
        Target(name, place.host, place.port, user, password)
        for name, place in places.items()
    ]
