"""Keys of organisations that come and go, and what may run with them."""

import math
import random
from typing import Any, final

__all__ = ('Holding', 'KeyRotation')

# Time within which a version of the configuration has to be in force.
_APPLY_S = 5.0
_KEYS_EACH = 2
_KEY_BITS = 128


@final
class Holding:
    """Period for which an organisation holds a key.

    Attributes:
        organisation: Name of the organisation.
        added_at: When a configuration added the key, in seconds.
        removed_at: When one removed it, in seconds; infinity while it is held.
    """

    __slots__ = ('added_at', 'organisation', 'removed_at')

    def __init__(self, organisation: str, added_at: float) -> None:
        self.organisation = organisation
        self.added_at = added_at
        self.removed_at = math.inf

    def may_run(self, at: float) -> bool:
        """Return whether a request may run with the key."""
        return self.added_at <= at <= self.removed_at + _APPLY_S

    def may_be_denied(self, at: float) -> bool:
        """Return whether a request with the key may be refused."""
        return at < self.added_at + _APPLY_S or at >= self.removed_at


@final
class KeyRotation:
    """Keys of some organisations, replaced one at a time.

    Args:
        organisations: Names of the organisations.
        source: Source of random numbers.
        now: Current time, in seconds.

    Attributes:
        holdings: Every key so far with its period.
    """

    __slots__ = ('_names', '_source', 'holdings')

    def __init__(
        self, organisations: tuple[str, ...], source: random.Random, now: float
    ) -> None:
        self._names = organisations
        self._source = source
        self.holdings: dict[str, Holding] = {}
        for name in organisations * _KEYS_EACH:
            # The first configuration is in force before any caller arrives.
            self._add(name, now - _APPLY_S)

    def rotate(self, now: float) -> None:
        """Remove the oldest key, and add one to the same organisation."""
        key = self._list_current()[0]
        self.holdings[key].removed_at = now
        self._add(self.holdings[key].organisation, now)

    def choose_key(self, former_share: float) -> str:
        """Return a key; a share of the choices are keys that were removed."""
        former = [key for key in self.holdings if not self._is_current(key)]
        if former and self._source.random() < former_share:
            return self._source.choice(former)
        return self._source.choice(self._list_current())

    def list_organisations(self) -> list[dict[str, Any]]:
        """Return the names and current keys of the organisations."""
        current = self._list_current()
        return [
            {
                'name': name,
                'api_keys': [
                    key
                    for key in current
                    if self.holdings[key].organisation == name
                ],
                'rate_per_s': 1000,
                'burst': 1000,
            }
            for name in self._names
        ]

    def _add(self, name: str, now: float) -> None:
        key = '{0:032x}'.format(self._source.getrandbits(_KEY_BITS))
        self.holdings[key] = Holding(name, now)

    def _is_current(self, key: str) -> bool:
        return self.holdings[key].removed_at == math.inf

    def _list_current(self) -> list[str]:
        return [key for key in self.holdings if self._is_current(key)]
