"""Filters: stages that requests pass before they are sent to an endpoint.

A filter takes a stream of requests and yields it on. It may fill in fields of a
request or end it by raising ``RequestError``; it does no I/O. A filter declares
the options it takes, so that a wrong one is refused by name.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from typing import ClassVar

from catkincrank.errors import OptionError
from catkincrank.registry import Registry
from catkincrank.request import Request

__all__ = ('Filter', 'filters')


class Filter(ABC):
    """Base class of filters.

    Args:
        options: Values of options that differ from their defaults.
    """

    options: ClassVar[dict[str, float]] = {}

    def __init__(self, **options: float) -> None:
        for name, given in options.items():
            if name not in self.options:
                raise OptionError(
                    name,
                    str(given),
                    'one of {0}'.format(', '.join(self.options) or 'nothing'),
                )
        self.chosen = {**self.options, **options}

    def option(self, name: str) -> float:
        """Return the value of an option."""
        return self.chosen[name]

    @abstractmethod
    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Yield ``requests`` with this stage's decisions made."""


filters: Registry[type[Filter]] = Registry('filter')
