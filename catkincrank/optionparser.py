"""Reads session options out of SET statements and the startup packet."""

import re
from dataclasses import dataclass
from typing import final

__all__ = ('OptionAssignment', 'parse_set', 'parse_startup_options')

_PREFIX = 'catkincrank.'
_ESCAPED = re.compile(r'\\(.)')
_SET = re.compile(
    r'\s*+set\s++(?:(session|local)\s++)?([\w.]+)\s*(?:\bto\b|=)\s*+(.*)',
    re.IGNORECASE | re.DOTALL,
)
_STARTUP = re.compile(r'(?<!\S)(?:-c\s*+|--)([\w.-]+)=((?:\\.|[^\s\\])*+)')


@final
@dataclass(frozen=True, slots=True)
class OptionAssignment:
    """An assignment of a value to an option.

    Attributes:
        name: Name of the option in lower case.
        text: Its value, unquoted.
        is_local: Whether it ends with the current transaction.
    """

    name: str
    text: str
    is_local: bool = False

    @property
    def is_proxy_option(self) -> bool:
        """Whether the proxy defines the option itself."""
        return self.name.startswith(_PREFIX)


def parse_set(sql: str) -> OptionAssignment | None:
    """Return the assignment in a ``SET``; ``None`` for other statements."""
    found = _SET.match(sql)
    if found is None:
        return None
    scope, name, text = found.groups()
    return OptionAssignment(
        name.lower(),
        _unquote(text.rstrip().removesuffix(';').rstrip()),
        is_local=(scope or '').lower() == 'local',
    )


def parse_startup_options(text: str) -> list[OptionAssignment]:
    """Return the assignments in the startup packet's ``options``."""
    return [
        OptionAssignment(
            found.group(1).lower().replace('-', '_'),
            _ESCAPED.sub(r'\1', found.group(2)),
        )
        for found in _STARTUP.finditer(text)
    ]


def _unquote(text: str) -> str:
    for quote in ('"', "'"):
        if len(text) > 1 and text[0] == quote == text[-1]:
            return text[1:-1].replace(quote * 2, quote)
    return text
