"""Registries of named variants, filled by decorators.

A registry maps a short name, as written in settings, to the class or function
that implements it.
"""

from collections.abc import Callable
from typing import Generic, TypeVar, final

from catkincrank.errors import OptionError

__all__ = ('Registry',)

VariantT = TypeVar('VariantT')


@final
class Registry(Generic[VariantT]):
    """Maps names to variants of one behaviour.

    Args:
        kind: Kind of the variants, for error messages; e.g. ``'store'``.
    """

    __slots__ = ('_kind', '_variants')

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._variants: dict[str, VariantT] = {}

    def register(self, name: str) -> Callable[[VariantT], VariantT]:
        """Return a decorator that registers its argument as ``name``."""

        def decorate(variant: VariantT) -> VariantT:  # noqa: WPS430
            self._variants[name] = variant
            return variant

        return decorate

    def find(self, name: str) -> VariantT:
        """Return the variant registered as ``name``.

        Raises:
            OptionError: No variant has that name.
        """
        try:
            return self._variants[name]
        except KeyError:
            raise OptionError(
                self._kind,
                name,
                'one of {0}'.format(', '.join(self.names())),
            ) from None

    def names(self) -> tuple[str, ...]:
        """Return the registered names, sorted."""
        return tuple(sorted(self._variants))
