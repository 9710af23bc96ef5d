"""Settings files as operators write them."""

from pathlib import Path

from catkincrank.errors import OptionError
from catkincrank.settings import encode_team, parse_team

__all__ = ('read_subtree',)


def read_subtree(path: Path) -> bytes:
    """Return the checked subtree of a TOML or JSON file as JSON.

    Raises:
        OptionError: The file cannot be read or is not valid.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise OptionError('file', str(path), error.strerror) from None
    form = 'json' if path.suffix == '.json' else 'toml'
    try:
        return encode_team(parse_team(text, form))
    except OptionError as error:
        raise OptionError(str(path), str(error), 'valid settings') from None
