"""Filter that says how often a request may be sent again."""

from collections.abc import Iterable, Iterator
from typing import ClassVar, final

from catkincrank.filter import Filter, filters
from catkincrank.request import Access, Request

__all__ = ('RetryFilter',)


@final
@filters.register('retry')
class RetryFilter(Filter):
    """Limits attempts of requests that did not run.

    A write that its caller marked as not idempotent is sent once, unless its
    key makes a second submission harmless.

    Options:
        attempts: Most times that a request is sent to an endpoint.
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
