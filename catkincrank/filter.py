"""Filters: stages that process requests before they are sent to an endpoint.

A filter consumes a stream of requests and yields each of them. It may set
fields of a request or reject it by raising ``RequestError``; it does no I/O.
A filter declares its options, so that an unknown one is rejected by name.
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
        options: Option values that override the defaults.
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
        self._option_values = {**self.options, **options}

    def option(self, name: str) -> float:
        """Return the value of an option."""
        return self._option_values[name]

    @abstractmethod
    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Yield ``requests`` after applying this filter to each."""


filters: Registry[type[Filter]] = Registry('filter')
