# flake8: noqa: WPS
# Test code: exempt from the style guide's rules like ``tests``.
"""Stand-in for the platform's metadata store and its duty calls."""

import asyncio
import base64
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

HOST = '127.0.0.1'
_CALL_S = 0.004
_REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone'}


class HttpService:
    """Serves HTTP/1.1 with keep-alive on a free loopback port."""

    def __init__(self) -> None:
        self.port = 0
        self.era = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        """Return status and JSON content of the answer."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                first, *lines = head.split('\r\n')
                method, target, _ = first.split(' ')
                headers = {}
                for line in lines:
                    name, _, text = line.partition(':')
                    headers[name.strip().lower()] = text.strip()
                size = int(headers.get('content-length', '0'))
                body = await reader.readexactly(size)
                status, content = await self.respond(
                    method, target, headers, body
                )
                encoded = json.dumps(content).encode()
                reason = _REASONS.get(status, 'Status')
                writer.write(
                    'HTTP/1.1 {0} {1}\r\nContent-Type: application/json\r\n'
                    'Store-Era: {3}\r\nContent-Length: {2}\r\n\r\n'.format(
                        status, reason, len(encoded), self.era
                    ).encode()
                    + encoded
                )
                await writer.drain()
        writer.close()


class Store(HttpService):
    """The metadata store: rows, transactions and the feed.

    Attributes:
        rows: Value and version by table, part and key.
        version: Newest version.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.version = 0
        self.is_down = False
        self._first_version = 0
        self._history: list[tuple[int, tuple[str, str, str], bytes | None]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, content: object) -> int:
        """Write a row as the operator or an instance does."""
        value = json.dumps(content).encode()
        return self._apply([((table, '', key), value)])

    def copy(self) -> tuple[dict[tuple[str, str, str], tuple[bytes, int]], int]:
        """Return a copy, from which the store can be restored."""
        return dict(self.rows), self.version

    def restore(
        self, copied: tuple[dict[tuple[str, str, str], tuple[bytes, int]], int]
    ) -> None:
        """Go back to a copy; the era rises."""
        rows, version = copied
        self.rows = dict(rows)
        self.version = version
        self._first_version = version
        self._history = []
        self.era += 1

    def remove(self, table: str, key: str) -> int:
        """Remove a row as the platform does."""
        return self._apply([((table, '', key), None)])

    async def respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        """Answer one call."""
        parts = urlsplit(target)
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        await asyncio.sleep(_CALL_S)
        if self.is_down:
            return 503, {}
        if parts.path == '/v1/rows-tx':
            return self._transact(json.loads(body))
        if parts.path == '/v1/rows-get':
            return self._list(query)
        if parts.path == '/v1/rows-feed':
            return await self._follow(query)
        return 404, {}

    def _apply(
        self, changes: list[tuple[tuple[str, str, str], bytes | None]]
    ) -> int:
        self.version += 1
        for key, value in changes:
            if value is None:
                if self.rows.pop(key, None) is None:
                    continue
            else:
                self.rows[key] = (value, self.version)
            self._history.append((self.version, key, value))
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        return self.version

    def _transact(self, asked: dict) -> tuple[int, object]:
        current = []
        holds = True
        for row in asked['precondition']:
            key = (row['table'], row['part'], row['key'])
            value, version = self.rows.get(key, (b'', 0))
            holds = holds and version == row['ver']
            if version:
                current.append(_encode(version, key, value))
        if not holds:
            return 412, self._page(current)
        changes: list[tuple[tuple[str, str, str], bytes | None]] = [
            (
                (row['table'], row['part'], row['key']),
                base64.b64decode(row['value']),
            )
            for row in asked['set_keys']
        ]
        changes.extend(
            ((row['table'], row['part'], row['key']), None)
            for row in asked['remove']
        )
        return 200, {'ver': self._apply(changes), 'now_ms': _now_ms()}

    def _list(self, query: dict[str, str]) -> tuple[int, object]:
        limit = int(query.get('limit') or 500)
        found = sorted(
            (key, value)
            for key, value in self.rows.items()
            if key[0] == query['table']
            and key[1] == query.get('part', '')
            and key[2] >= query.get('from', '')
            and (not query.get('to') or key[2] < query['to'])
        )
        rows = [_encode(one[1][1], one[0], one[1][0]) for one in found[:limit]]
        page = self._page(rows)
        page['truncated'] = len(found) > limit
        return 200, page

    async def _follow(self, query: dict[str, str]) -> tuple[int, object]:
        after = int(query['after'])
        if not self._first_version <= after <= self.version:
            return 410, {}
        ends_at = time.monotonic() + int(query.get('wait_ms') or 0) / 1000
        while True:
            rows = [
                _encode(version, key, value)
                for version, key, value in self._history
                if version > after and key[0] == query['table']
            ]
            if self.is_down:
                return 503, {}
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return 200, self._page(rows)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _page(self, rows: list[dict]) -> dict:
        return {
            'rows': rows,
            'truncated': False,
            'ver': self.version,
            'now_ms': _now_ms(),
        }


class Cloud(HttpService):
    """The platform's duty calls: promotions.

    Args:
        promote: Called with service, instance, holder and token; returns the
            status of the answer.
    """

    def __init__(
        self, promote: Callable[[str, str, str, int], Awaitable[int]]
    ) -> None:
        super().__init__()
        self._promote = promote

    async def respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        """Answer one call."""
        if target != '/promote':
            return 404, {}
        asked = json.loads(body)
        status = await self._promote(
            asked['service'],
            asked['id'],
            headers['duty-holder'],
            int(headers['fencing-token']),
        )
        return status, {}


def _encode(
    version: int, key: tuple[str, str, str], value: bytes | None
) -> dict:
    row: dict = {
        'table': key[0],
        'part': key[1],
        'key': key[2],
        'ver': version,
    }
    if value is None:
        row['removed'] = True
    else:
        row['value'] = base64.b64encode(value).decode()
    return row


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
