"""Addresses given on a command line."""

from catkincrank.errors import OptionError
from catkincrank.load.connection import Target

__all__ = ('parse_targets',)

_ACCEPTED = 'HOST:PORT addresses parted by commas'


def parse_targets(text: str, user: str, password: str) -> list[Target]:
    """Return the targets that ``text`` lists.

    Raises:
        OptionError: An address is malformed.
    """
    targets = []
    for part in text.split(','):
        host, _, port = part.strip().rpartition(':')
        if not host or not port.isdecimal():
            raise OptionError('--target', part, _ACCEPTED)
        targets.append(Target(part.strip(), host, int(port), user, password))
    return targets
