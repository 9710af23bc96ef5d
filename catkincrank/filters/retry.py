"""Filter that limits how often a request is retried."""

from collections.abc import Iterable, Iterator
from typing import ClassVar, final

from catkincrank.filter import Filter, filters
from catkincrank.request import Access, Request

__all__ = ('RetryFilter',)


@final
@filters.register('retry')
class RetryFilter(Filter):
    """Sets the maximum number of attempts of each request.

    A write that its caller marked as not idempotent is sent once, unless a
    request key makes a second submission safe.

    Options:
        attempts: Maximum number of times a request is sent to an endpoint.
    """

    options: ClassVar[dict[str, float]] = {'attempts': 8}

    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Set ``attempts``."""
        for request in requests:
            is_single = (
                request.access is Access.WRITE
                and not request.options.is_idempotent
                and not request.fingerprint
            )
            request.attempts = 1 if is_single else int(self.option('attempts'))
            yield request
