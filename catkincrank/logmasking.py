"""Masks passwords in log lines and state dumps, and limits their size.

The work for a value is bounded by its limits, not by its length: texts are cut
before they are searched, and each search takes time linear in the text.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice
from typing import Any, Final, final

import msgspec

__all__ = ('LINE_LIMITS', 'Masking', 'MaskingLimits')

_MASK = '***'
_CUT = '...'
_SECRET_FIELD = re.compile('password|secret|passphrase', re.IGNORECASE)
_SECRET_TEXT = re.compile(r'(?i)((?:password|secret)["\']?\s*[=:]\s*)\S+')
# Matches each part between white space and "@" once; the group of a password
# is searched within such a part only.
_LOGIN_PART = re.compile(r'[^@\s]+(?:@|\Z)?')
_LOGIN = re.compile(r'(?<=://)([^:/]+):.')
_COLLECTIONS = (dict, list, tuple)
_NATIVE_TYPES = (bool, int, float, type(None))


@final
@dataclass(frozen=True, slots=True)
class MaskingLimits:
    """Limits on what is shown of a value.

    Attributes:
        text: Characters of one text.
        total: Characters of all texts together.
        items: Entries of all collections together.
        depth: Levels of nested collections.
    """

    text: int = 65536
    total: int = 8 * 1024 * 1024
    items: int = 1_000_000
    depth: int = 40


_DUMP_LIMITS: Final = MaskingLimits()
# A line of up to 4 KiB is written to a pipe at once; longer ones are dropped.
# Escaped characters take up to six bytes, for which there is a second limit.
_LINE_CHARACTERS = 2560
_LINE_ITEMS = 200
_SHORT_TEXT = 128
_SHORT_LINE_CHARACTERS = 512
_SHORT_LINE_ITEMS = 40
LINE_LIMITS: Final = (
    MaskingLimits(1024, _LINE_CHARACTERS, _LINE_ITEMS, depth=6),
    MaskingLimits(
        _SHORT_TEXT, _SHORT_LINE_CHARACTERS, _SHORT_LINE_ITEMS, depth=4
    ),
)


@final
class Masking:
    """Masks the passwords of one value.

    Args:
        limits: Limits on what is shown.
    """

    __slots__ = ('_items', '_limits', '_total')

    def __init__(self, limits: MaskingLimits = _DUMP_LIMITS) -> None:
        self._limits = limits
        self._items = limits.items
        self._total = limits.total

    def mask(self, value: Any, name: str = '', depth: int = 0) -> Any:
        """Return ``value`` with passwords masked and cut at the limits.

        Args:
            value: The value.
            name: Name of its field.
            depth: Number of collections around it.
        """
        if name and _SECRET_FIELD.search(name):
            return _MASK
        if isinstance(value, _NATIVE_TYPES):
            return value
        value = _simplify(value)
        if isinstance(value, _COLLECTIONS):
            return self._mask_collection(value, depth + 1)
        return self._mask_text(value)

    def _mask_collection(self, found: Any, depth: int) -> Any:
        if depth > self._limits.depth:
            return _CUT
        if isinstance(found, dict):
            return dict(
                self._mask_field(*entry, depth)
                for entry in self._take(found.items())
            )
        return [self.mask(one, '', depth) for one in self._take(found)]

    def _mask_field(self, key: Any, value: Any, depth: int) -> tuple[str, Any]:
        name = self._mask_text(key)
        if name.endswith(_CUT):
            # What is cut off may say that the value is a password.
            return name, _MASK
        return name, self.mask(value, name, depth)

    def _take(self, parts: Iterable[Any]) -> Iterable[Any]:
        """Yield the entries that the limit on all collections leaves."""
        for part in islice(parts, max(0, self._items)):
            if min(self._items, self._total) <= 0:
                return
            self._items -= 1
            yield part

    def _mask_text(self, value: Any) -> str:
        text = _as_text(value, self._limits.text)
        most = max(0, min(self._limits.text, self._total))
        is_cut = len(text) > most
        shown = mask_text(text[:most], is_cut=is_cut)
        self._total -= len(shown)
        return shown + _CUT if is_cut else shown


def mask_text(text: str, *, is_cut: bool = False) -> str:
    """Return ``text`` with passwords masked.

    Args:
        text: The text.
        is_cut: Whether more text follows; a login at the end is masked.
    """
    masked = _SECRET_TEXT.sub(r'\1{0}'.format(_MASK), text)
    if '://' not in masked:
        return masked

    def mask_part(found: re.Match[str]) -> str:  # noqa: WPS430
        part = found.group()
        if part.endswith('@'):
            return _mask_login(part, '@')
        if is_cut and found.end() == len(masked):
            return _mask_login(part, '')
        return part

    return _LOGIN_PART.sub(mask_part, masked)


def _mask_login(part: str, end: str) -> str:
    login = _LOGIN.search(part, 0, len(part) - len(end))
    if login is None:
        return part
    return '{0}:{1}{2}'.format(part[: login.end(1)], _MASK, end)


def _simplify(value: Any) -> Any:
    """Return a value as one that JSON knows; others become text."""
    if isinstance(value, (str, bytes, *_COLLECTIONS)):
        return value
    return msgspec.to_builtins(value, enc_hook=str, str_keys=True)


def _as_text(value: Any, most: int) -> str:
    """Return a value as text; of bytes, only what may be shown."""
    if isinstance(value, str):
        return value
    if isinstance(value, bytes):
        return value[: most + 1].decode('utf-8', 'replace')
    return str(value)
