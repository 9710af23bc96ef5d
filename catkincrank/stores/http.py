"""Store client over HTTP."""

from typing import final
from urllib.parse import quote, urlencode

import msgspec

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.httpclient import HttpAnswer, HttpClient, HttpError
from catkincrank.store import Row, Store, VirtualMachine, stores

__all__ = (
    'CHANGE_HEADER',
    'EXPECTED_HEADER',
    'VERSION_HEADER',
    'HttpStore',
)

VERSION_HEADER = 'x-version'
EXPECTED_HEADER = 'x-expected-version'
CHANGE_HEADER = 'x-change-id'
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409


@stores.register('http')
@final
class HttpStore(Store):
    """A client of the platform's service.

    Args:
        address: URL of the service.
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def read(self, key: str) -> Row | None:
        """Return the row at ``key``, or ``None``."""
        answer = await self._request('GET', '/table/{0}'.format(quote(key)))
        if answer.status == _NOT_FOUND:
            return None
        return _read_row(key, answer, answer.body)

    async def scan(self, prefix: str, after_key: str = '') -> list[Row]:
        """Return rows whose keys begin with ``prefix``, in key order."""
        query = urlencode({'prefix': prefix, 'after': after_key})
        answer = await self._request('GET', '/scan?{0}'.format(query))
        return msgspec.msgpack.decode(answer.body, type=list[Row])

    async def write(
        self,
        key: str,
        body: bytes,
        *,
        expected_version: int,
        change_id: str,
    ) -> Row:
        """Write a row; see the base class."""
        answer = await self._request(
            'PUT',
            '/table/{0}'.format(quote(key)),
            body,
            {EXPECTED_HEADER: str(expected_version), CHANGE_HEADER: change_id},
        )
        if answer.status == _CONFLICT:
            found = int(answer.headers[VERSION_HEADER])
            raise ConflictError(key, expected_version, found)
        return _read_row(key, answer, answer.body)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._request('PUT', '/object/{0}'.format(quote(name)), body)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object's bytes, or ``None``."""
        answer = await self._request('GET', '/object/{0}'.format(quote(name)))
        return None if answer.status == _NOT_FOUND else answer.body

    async def list_machines(self) -> list[VirtualMachine]:
        """Return the platform's list of VMs."""
        answer = await self._request('GET', '/machines')
        return msgspec.msgpack.decode(answer.body, type=list[VirtualMachine])

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> HttpAnswer:
        try:
            answer = await self._client.request(method, target, body, headers)
        except HttpError as error:
            raise StoreUnavailableError(
                str(error),
                may_have_applied=error.was_sent,
            ) from None
        if answer.status not in {_OK, _NOT_FOUND, _CONFLICT}:
            raise StoreUnavailableError(
                'the store answered with status {0}'.format(answer.status),
                may_have_applied=True,
            )
        return answer


def _read_row(key: str, answer: HttpAnswer, body: bytes) -> Row:
    return Row(
        key,
        int(answer.headers[VERSION_HEADER]),
        body,
        answer.headers[CHANGE_HEADER],
    )
