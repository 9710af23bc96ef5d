"""Reads settings files."""

from pathlib import Path

from catkincrank.errors import OptionError
from catkincrank.settings import encode_team, parse_team

__all__ = ('read_file', 'read_subtree')


def read_file(path: Path) -> bytes:
    """Return the content of a file.

    Raises:
        OptionError: The file cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise OptionError('file', str(path), error.strerror) from None


def read_subtree(path: Path) -> bytes:
    """Validate a TOML or JSON settings file and return it as JSON.

    Raises:
        OptionError: The file cannot be read or is not valid.
    """
    text = read_file(path)
    file_format = 'json' if path.suffix == '.json' else 'toml'
    try:
        return encode_team(parse_team(text, file_format))
    except OptionError as error:
        raise OptionError(str(path), str(error), 'valid settings') from None
