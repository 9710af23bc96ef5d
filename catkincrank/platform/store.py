"""Client of the platform's table service."""

import base64
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import final
from urllib.parse import urlencode

import msgspec

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.rowstore import (
    ORIGIN,
    Changes,
    Condition,
    HistoryLostError,
    Revision,
    RowChange,
    RowStore,
    row_stores,
)
from catkincrank.httpclient import HttpAnswer, HttpClient, HttpError
from catkincrank.logs import log_event
from catkincrank.platform.documents import (
    CONFIG_TABLE,
    MAX_ENTRY_BYTES,
    ROSTER_TABLE,
)
from catkincrank.platform.rowpages import (
    KEEP_SURROGATES,
    StoredRow,
    decode_page,
    find_next,
)

__all__ = ('PlatformStore',)

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_BUSY_STATUSES = frozenset((429, 503))
# The platform documents 4 ms a call and 60 times that for a slow store; a call
# that takes longer than this limit counts as lost.
_CALL_TIMEOUT_S = 1.0
# Time over which a large answer may arrive beyond that; a configuration takes
# over a second on the slowest links.
_TRANSFER_S = 8.0
_PAGE_ROWS = 500
# Tables that the platform and its endpoints write.
_PLATFORM_TABLES = frozenset((CONFIG_TABLE, ROSTER_TABLE))
# The platform runs the transactions of one part one after another, and its own
# tables share the part without a name: a part of our own keeps our writes from
# queueing behind the heartbeats of all endpoints.
_PLATFORM_PART = ''
_OWN_PART = 'catkincrank'
_MS_PER_S = 1000
# Number of times the store was restored from a copy; absent before the first.
_ERA_HEADER = 'store-era'


@row_stores.register('platform')
@final
class PlatformStore(RowStore):
    """A client of the table service.

    Args:
        address: The service, as ``HOST:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._url = 'http://{0}'.format(address)
        self._idle_clients: list[HttpClient] = []
        self._feed_clients: dict[str, HttpClient] = {}
        self._era = 0

    async def read_table(self, table: str) -> Changes:
        """Return every row of a table."""
        rows: list[StoredRow] = []
        revision: Revision | None = None
        start = ''
        last: str | None = None
        while True:
            query = {
                'table': table,
                'part': _find_part(table),
                'from': start,
                'limit': _PAGE_ROWS,
            }
            answer = await self._call(
                'GET',
                '/v1/rows-get?{0}'.format(
                    urlencode(query, errors=KEEP_SURROGATES)
                ),
            )
            found = decode_page(answer.body)
            newest = Revision(self._era, found.ver)
            revision = revision or newest
            if revision.era != newest.era:
                raise StoreUnavailableError(
                    'the store was restored while its rows were read',
                    may_have_applied=False,
                )
            rows.extend(row for row in found.rows if row.key != last)
            if not found.truncated:
                return Changes(
                    _read_rows(table, rows, revision.era),
                    revision,
                    is_whole=True,
                )
            if found.last_key in {None, last}:
                raise StoreUnavailableError(
                    'a page of the store has no further rows',
                    may_have_applied=False,
                )
            last = found.last_key
            start = find_next(last)

    async def follow(
        self, table: str, after: Revision, wait_s: float
    ) -> Changes:
        """Wait for changes after a version and return them."""
        client = self._feed_clients.get(table)
        if client is None:
            client = self._make_client(_CALL_TIMEOUT_S)
            self._feed_clients[table] = client
        query = {
            'table': table,
            'after': after.version,
            'wait_ms': round(wait_s * _MS_PER_S),
        }
        answer = await self._request(
            client,
            'GET',
            '/v1/rows-feed?{0}'.format(urlencode(query)),
            timeout_s=wait_s + _CALL_TIMEOUT_S,
            # It may hold every version of a large row since the last call.
            transfer_s=0,
        )
        if answer.status == _GONE or self._era != after.era:
            raise HistoryLostError(
                'the store no longer has the history of table {0}'.format(table)
            )
        found = decode_page(answer.body)
        return Changes(
            _read_rows(table, found.rows, after.era),
            Revision(after.era, found.ver),
        )

    async def write(
        self,
        table: str,
        conditions: Sequence[Condition],
        bodies: Mapping[str, bytes],
        removed: Sequence[str] = (),
    ) -> Revision:
        """Write rows of one table atomically if the conditions hold."""
        self._check_conditions(conditions)
        body = msgspec.json.encode(
            {
                'precondition': [
                    _make_row(table, one.key, ver=one.revision.version)
                    for one in conditions
                ],
                'set_keys': [
                    _make_row(
                        table,
                        key,
                        value=base64.b64encode(body).decode('ascii'),
                    )
                    for key, body in bodies.items()
                ],
                'remove': [_make_row(table, key) for key in removed],
            },
        )
        answer = await self._call('POST', '/v1/rows-tx', body)
        if answer.status == _PRECONDITION_FAILED:
            first = conditions[0] if conditions else Condition('', ORIGIN)
            raise ConflictError(first.key, first.revision.version, -1)
        return Revision(self._era, decode_page(answer.body).ver)

    async def close(self) -> None:
        """Close all connections."""
        for client in (*self._idle_clients, *self._feed_clients.values()):
            await client.close()  # noqa: WPS476

    def _make_client(self, timeout_s: float) -> HttpClient:
        return HttpClient(self._url, timeout_s)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
    ) -> HttpAnswer:
        """Make a call on a connection that no other call uses meanwhile.

        A call whose answer is lost would delay the next on its connection.
        """
        client = self._make_client(_CALL_TIMEOUT_S)
        if self._idle_clients:
            client = self._idle_clients.pop()
        answer = await self._request(client, method, target, body)
        self._idle_clients.append(client)
        return answer

    async def _request(
        self,
        client: HttpClient,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_s: float | None = None,
        transfer_s: float = _TRANSFER_S,
    ) -> HttpAnswer:
        headers = {'content-type': 'application/json'} if body else {}
        try:
            answer = await client.request(
                method, target, body, headers, timeout_s, transfer_s
            )
        except HttpError as error:
            raise StoreUnavailableError(
                str(error),
                may_have_applied=error.was_sent,
            ) from None
        self._check_era(answer)
        if answer.status in {_OK, _GONE, _PRECONDITION_FAILED}:
            return answer
        raise StoreUnavailableError(
            'the store answered with status {0}'.format(answer.status),
            may_have_applied=answer.status not in _BUSY_STATUSES,
        )

    def _check_conditions(self, conditions: Sequence[Condition]) -> None:
        """Refuse conditions on versions that may have been given out again."""
        for known in conditions:
            revision = known.revision
            if revision.version and revision.era != self._era:
                raise ConflictError(known.key, revision.version, -1)

    def _check_era(self, answer: HttpAnswer) -> None:
        """Record the era of an answer; reject one from an earlier era.

        What an earlier era has answered may have been lost in the copy.
        """
        text = answer.headers.get(_ERA_HEADER, '0')
        if not text.isdecimal() or int(text) < self._era:
            raise StoreUnavailableError(
                'answer from era {0} of the store, the newest is {1}'.format(
                    text, self._era
                ),
                may_have_applied=True,
            )
        self._era = int(text)


def _read_rows(
    table: str, rows: Sequence[StoredRow], era: int
) -> tuple[RowChange, ...]:
    """Return the rows of the part that is read; the feed has all parts."""
    part = _find_part(table)
    found = _convert_rows(
        [row for row in rows if row.part is None or row.part == part], era
    )
    return _empty_large(found) if table == ROSTER_TABLE else found


def _convert_rows(rows: Sequence[StoredRow], era: int) -> tuple[RowChange, ...]:
    return tuple(
        RowChange(
            row.key,
            None if row.removed else _decode_value(row),
            Revision(era, row.ver),
        )
        for row in rows
    )


def _decode_value(row: StoredRow) -> bytes:
    """Return the content of a row; empty if it cannot be decoded."""
    try:
        return base64.b64decode(row.value, validate=True)
    except ValueError as error:
        log_event('row_unreadable', 'ERROR', key=row.key, cause=str(error))
    return b''


def _empty_large(rows: tuple[RowChange, ...]) -> tuple[RowChange, ...]:
    """Return registrations, those that are too large without content.

    They are not kept, nor passed on to peers.
    """
    large = [row.key for row in rows if _is_large(row)]
    if not large:
        return rows
    log_event('rows_too_large', 'WARNING', count=len(large), first=large[0])
    return tuple(
        replace(row, body=b'') if _is_large(row) else row for row in rows
    )


def _is_large(row: RowChange) -> bool:
    return len(row.body or b'') > MAX_ENTRY_BYTES


def _make_row(table: str, key: str, **fields: object) -> dict[str, object]:
    return {'table': table, 'part': _find_part(table), 'key': key, **fields}


def _find_part(table: str) -> str:
    """Return the part that holds a table's rows."""
    return _PLATFORM_PART if table in _PLATFORM_TABLES else _OWN_PART
