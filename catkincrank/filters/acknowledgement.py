"""Filter that sets each request's acknowledgement policy."""

from collections.abc import Iterable, Iterator
from functools import cache
from typing import final

from catkincrank.acknowledgement import Acknowledgement, acknowledgements
from catkincrank.filter import Filter, filters
from catkincrank.request import Request

__all__ = ('AcknowledgementFilter',)


@final
@filters.register('acknowledgement')
class AcknowledgementFilter(Filter):
    """Looks up the policy named in the service's settings."""

    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Set ``acknowledgement``."""
        for request in requests:
            name = request.service.acknowledgement
            request.acknowledgement = _make_policy(name)
            yield request


@cache
def _make_policy(name: str) -> Acknowledgement:
    return acknowledgements.find(name)()
