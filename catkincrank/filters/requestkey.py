"""Filter that binds a request key to the content of its request."""

from collections.abc import Iterable, Iterator
from typing import final

import msgspec
import xxhash

from catkincrank.filter import Filter, filters
from catkincrank.request import Access, Request

__all__ = ('RequestKeyFilter',)


@final
@filters.register('request-key')
class RequestKeyFilter(Filter):
    """Computes a content fingerprint for each write with a request key."""

    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Set ``fingerprint``."""
        for request in requests:
            if request.options.request_key and request.access is Access.WRITE:
                request.fingerprint = _compute_fingerprint(request)
            yield request


def _compute_fingerprint(request: Request) -> str:
    body = msgspec.msgpack.encode(
        (request.statement.text, request.params),
    )
    return xxhash.xxh3_128_hexdigest(body)
