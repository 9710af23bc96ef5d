"""Pipelines: filters applied to requests in order."""

from collections.abc import Iterable, Iterator, Sequence
from typing import final

from catkincrank.filter import Filter, filters
from catkincrank.request import Request

__all__ = ('DEFAULT_STAGES', 'Pipeline')

DEFAULT_STAGES = (
    'deadline',
    'access',
    'read-rule',
    'request-key',
    'acknowledgement',
    'retry',
)


@final
class Pipeline:
    """Applies filters to requests.

    Args:
        stages: The filters, in order of application.
    """

    __slots__ = ('_stages',)

    def __init__(self, stages: Sequence[Filter]) -> None:
        self._stages = tuple(stages)

    @classmethod
    def from_names(cls, names: Sequence[str] = DEFAULT_STAGES) -> 'Pipeline':
        """Return a pipeline of registered filters with default options."""
        return cls([filters.find(name)() for name in names])

    def run(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Yield ``requests`` after all filters have been applied."""
        stream = iter(requests)
        for stage in self._stages:
            stream = stage.filter(stream)
        return stream

    def prepare(self, request: Request) -> Request:
        """Apply the filters to one request."""
        return next(self.run((request,)))
