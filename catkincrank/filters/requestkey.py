"""Filter that binds a request key to what the request asks for."""

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
    """Gives each write that carries a key a fingerprint of its content."""

    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Set ``fingerprint``."""
        for request in requests:
            if request.options.request_key and request.access is Access.WRITE:
                request.fingerprint = _digest(request)
            yield request


def _digest(request: Request) -> str:
    body = msgspec.msgpack.encode(
        (request.statement.text, request.params),
    )
    return xxhash.xxh3_128_hexdigest(body)
