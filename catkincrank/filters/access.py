"""Filter that decides whether a request needs the primary."""

from collections.abc import Iterable, Iterator
from typing import final

from catkincrank.filter import Filter, filters
from catkincrank.request import Access, Request
from catkincrank.statement import Kind

__all__ = ('AccessFilter',)


@final
@filters.register('access')
class AccessFilter(Filter):
    """Marks reads and read-only transactions as routable to replicas."""

    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Set ``access``."""
        for request in requests:
            statement = request.statement
            is_read = statement.kind in {Kind.READ, Kind.SHOW}
            if is_read or statement.is_read_only:
                request.access = Access.READ
            yield request
