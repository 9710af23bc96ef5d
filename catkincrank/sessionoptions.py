"""Session options that callers set as PostgreSQL custom settings.

An option is declared on ``SessionOptions`` with its name, accepted values and
parser. ``SET``, ``SET LOCAL``, ``RESET``, ``SHOW`` and the startup packet's
``options`` all use these declarations.
"""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import final

from catkincrank.errors import OptionError
from catkincrank.tokens import SessionToken, decode_token, encode_token

__all__ = (
    'OPTIONS',
    'Option',
    'OptionValues',
    'SessionOptions',
    'find_option',
)

_MAX_KEY_CHARS = 200
_MAX_SECONDS = 86400.0
_DURATION = re.compile(r'(\d+(?:\.\d+)?)\s*(us|ms|s|min|h)?\Z')
_UNITS_S = MappingProxyType(
    {None: 1, 'us': 1e-6, 'ms': 1e-3, 's': 1, 'min': 60, 'h': 3600},
)


@final
@dataclass(frozen=True, slots=True)
class OptionValues:
    """Option values in force for a statement.

    Attributes:
        session: Session token given by the caller; ``None`` when none.
        max_staleness_s: Maximum age of the data returned by reads, in
            seconds; ``None`` only requires that reads see the session's own
            writes.
        has_staleness: Whether the caller set ``max_staleness_s``; if not, the
            service's read rules decide.
        request_key: Key of the request; empty when none.
        is_idempotent: Whether a statement may be sent to another endpoint after
            it failed on the first one without effect.
        deadline_s: Time limit of a statement, in seconds; ``None`` applies the
            service's limits only.
    """

    session: SessionToken | None = None
    max_staleness_s: float | None = None
    has_staleness: bool = False
    request_key: str = ''
    is_idempotent: bool = True
    deadline_s: float | None = None


@final
@dataclass(frozen=True, slots=True)
class Option:
    """Declaration of one option.

    Attributes:
        name: Full name, as in ``SET``.
        accepts: Phrase for error messages that describes accepted values.
        parse: Parses a text and returns the changed values; raises
            ``ValueError``.
        show: Returns the text for ``SHOW``.
        clear: Returns the values with this option at its default.
    """

    name: str
    accepts: str
    parse: Callable[[OptionValues, str], OptionValues]
    show: Callable[[OptionValues], str]
    clear: Callable[[OptionValues], OptionValues]


def _parse_session(values: OptionValues, text: str) -> OptionValues:
    if not text:
        return replace(values, session=None)
    return replace(values, session=decode_token(text))


def _show_session(values: OptionValues) -> str:
    return '' if values.session is None else encode_token(values.session)


def _parse_staleness(values: OptionValues, text: str) -> OptionValues:
    if text.lower() == 'own_writes':
        return replace(values, max_staleness_s=None, has_staleness=True)
    seconds = _parse_seconds(text)
    return replace(values, max_staleness_s=seconds, has_staleness=True)


def _show_staleness(values: OptionValues) -> str:
    if not values.has_staleness:
        return ''
    if values.max_staleness_s is None:
        return 'own_writes'
    return _show_seconds(values.max_staleness_s)


def _parse_key(values: OptionValues, text: str) -> OptionValues:
    if len(text) > _MAX_KEY_CHARS or not text.isprintable():
        raise ValueError(text)
    return replace(values, request_key=text)


def _parse_idempotent(values: OptionValues, text: str) -> OptionValues:
    choices = {'on': True, 'true': True, 'off': False, 'false': False}
    if text.lower() not in choices:
        raise ValueError(text)
    return replace(values, is_idempotent=choices[text.lower()])


def _parse_deadline(values: OptionValues, text: str) -> OptionValues:
    seconds = _parse_seconds(text)
    if seconds <= 0:
        raise ValueError(text)
    return replace(values, deadline_s=seconds)


def _show_deadline(values: OptionValues) -> str:
    return '' if values.deadline_s is None else _show_seconds(values.deadline_s)


def _parse_seconds(text: str) -> float:
    found = _DURATION.match(text.strip().lower())
    if found is None:
        raise ValueError(text)
    seconds = float(found.group(1)) * _UNITS_S[found.group(2)]
    if seconds > _MAX_SECONDS or not math.isfinite(seconds):
        raise ValueError(text)
    return seconds


def _show_seconds(seconds: float) -> str:
    return '{0:g}s'.format(seconds)


@final
class SessionOptions:
    """Declares all options and holds the values of one session.

    As in PostgreSQL, a ``SET`` in a transaction is undone on rollback, and a
    ``SET LOCAL`` at the end of the transaction.
    """

    session = Option(
        'catkincrank.session',
        'a token that SHOW catkincrank.session returned',
        _parse_session,
        _show_session,
        lambda values: replace(values, session=None),
    )
    max_staleness = Option(
        'catkincrank.max_staleness',
        "'own_writes' or a time of at most a day such as 0, '200ms' or '5s'",
        _parse_staleness,
        _show_staleness,
        lambda values: replace(
            values,
            max_staleness_s=None,
            has_staleness=False,
        ),
    )
    request_key = Option(
        'catkincrank.request_key',
        'at most 200 printable characters',
        _parse_key,
        lambda values: values.request_key,
        lambda values: replace(values, request_key=''),
    )
    idempotent = Option(
        'catkincrank.idempotent',
        'on or off',
        _parse_idempotent,
        lambda values: 'on' if values.is_idempotent else 'off',
        lambda values: replace(values, is_idempotent=True),
    )
    deadline = Option(
        'catkincrank.deadline',
        "a time above 0 and of at most a day such as '500ms' or 5",
        _parse_deadline,
        _show_deadline,
        lambda values: replace(values, deadline_s=None),
    )

    __slots__ = ('_values_at_begin', '_session_values', 'current')

    def __init__(self) -> None:
        self.current = OptionValues()
        self._session_values = self.current
        self._values_at_begin: OptionValues | None = None

    def assign(self, name: str, text: str, *, is_local: bool = False) -> None:
        """Set an option from its text form.

        Raises:
            OptionError: The option is unknown or ``text`` is not valid.
        """
        option = find_option(name, text)
        try:
            changed = option.parse(self.current, text)
            kept = (
                self._session_values
                if is_local
                else option.parse(self._session_values, text)
            )
        except ValueError:
            raise OptionError(option.name, text, option.accepts) from None
        self.current = changed
        self._session_values = kept

    def reset(self, name: str) -> None:
        """Reset an option to its default."""
        option = find_option(name, '')
        self.current = option.clear(self.current)
        self._session_values = option.clear(self._session_values)

    def reset_all(self) -> None:
        """Reset every option to its default."""
        self.current = OptionValues()
        self._session_values = self.current

    def show(self, name: str) -> str:
        """Return the text form of an option."""
        return find_option(name, '').show(self.current)

    def begin(self) -> None:
        """Save the values at the start of a transaction."""
        self._values_at_begin = self.current
        self._session_values = self.current

    def end(self, *, is_committed: bool) -> None:
        """Restore the values in force after the transaction."""
        if self._values_at_begin is not None and not is_committed:
            self._session_values = self._values_at_begin
        self.current = self._session_values
        self._values_at_begin = None


OPTIONS = MappingProxyType(
    {
        option.name: option
        for option in vars(SessionOptions).values()  # noqa: WPS421
        if isinstance(option, Option)
    },
)


def find_option(name: str, text: str) -> Option:
    """Return the declaration of ``name``.

    Raises:
        OptionError: No option has that name.
    """
    option = OPTIONS.get(name.lower())
    if option is None:
        known = ', '.join(sorted(OPTIONS))
        raise OptionError(name, text, 'one of the options {0}'.format(known))
    return option
