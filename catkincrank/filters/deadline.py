"""Filter that sets the deadline of each request."""

from collections.abc import Iterable, Iterator
from typing import ClassVar, final

from catkincrank.filter import Filter, filters
from catkincrank.request import Request

__all__ = ('DeadlineFilter',)


@final
@filters.register('deadline')
class DeadlineFilter(Filter):
    """Applies the shorter of the caller's deadline and the service's limit.

    Options:
        shortest_s: Minimum time that any request gets, in seconds.
    """

    options: ClassVar[dict[str, float]] = {'shortest_s': 0.001}

    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Set ``deadline_at``."""
        for request in requests:
            allowed_s = request.service.limits.deadline_s
            requested_s = request.options.deadline_s
            if requested_s is not None:
                allowed_s = min(allowed_s, requested_s)
            allowed_s = max(allowed_s, self.option('shortest_s'))
            request.deadline_at = request.arrived_at + allowed_s
            yield request
