"""Store client over HTTP."""

from typing import TypeVar, final
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
# Longer numbers do not fit into messages.
_MAX_DIGITS = 18
_ItemT = TypeVar('_ItemT')


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
        return _decode_list(answer, Row)

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
            raise ConflictError(key, expected_version, _read_version(answer))
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
        return _decode_list(answer, VirtualMachine)

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
    change_id = answer.headers.get(CHANGE_HEADER)
    if change_id is None:
        raise _make_error('no change identifier')
    return Row(key, _read_version(answer), body, change_id)


def _read_version(answer: HttpAnswer) -> int:
    text = answer.headers.get(VERSION_HEADER, '')
    if len(text) > _MAX_DIGITS or not text.isdecimal():
        raise _make_error('unusable version')
    return int(text)


def _decode_list(answer: HttpAnswer, kind: type[_ItemT]) -> list[_ItemT]:
    try:
        return msgspec.msgpack.decode(answer.body, type=list[kind])
    except (msgspec.DecodeError, RecursionError) as error:
        raise _make_error(str(error)) from None


def _make_error(reason: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        'malformed answer from the store: {0}'.format(reason),
        may_have_applied=True,
    )
