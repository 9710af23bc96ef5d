"""The configuration grows by a thousand routes on slow links.

Pattern: one large row is passed on to every process. Sent as it is, it took
longer than peers wait, was sent again with each poll, and held up the readings
that grants depend on.
"""

import anyio
import msgspec
import pytest

from catkincrank.envelope import encode_message
from catkincrank.errors import MessageError, StoreUnavailableError
from catkincrank.gateway import relay
from catkincrank.gateway.peermessages import TableReplies, TableReply, TableRow
from catkincrank.gateway.rowpacking import RowPacker, unpack_row
from catkincrank.gateway.rowstore import (
    Changes,
    Revision,
    RowChange,
    RowStore,
)
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.httpclient import HttpClient, HttpError
from catkincrank.standins.memoryrows import MemoryRows, MemoryRowStore
from tests import virtualtime

ROUTES = 1_500
SLOWEST_BYTES_PER_S = 2_000_000 / 8


def _make_row(routes=ROUTES):
    body = msgspec.json.encode(
        {
            'version': 7,
            'routes': [
                {
                    'name': 'route-{0}'.format(number * 7919 % 100_003),
                    'host': 'ledger{0}x{1}'.format(number, number * 31 % 997),
                    'type': 'read_your_writes',
                    'service': 'svc{0}'.format(number % 10),
                    'timeout_ms': 800,
                    'target_latency_ms': 500,
                    'priority': 2,
                    'max_staleness_ms': 2500,
                }
                for number in range(routes)
            ],
        }
    )
    return RowChange('config', body, Revision(1, 9))


def test_a_large_configuration_arrives_within_the_time_of_a_poll():
    row = RowPacker().pack('op', _make_row(), may_compress=True)
    message = TableReplies((TableReply('op', 9, 0, (row,), 1),))
    sent_s = len(encode_message(message)) / SLOWEST_BYTES_PER_S
    # Half of the time is left for the peer and for other data on the link.
    assert sent_s < relay._ASK_TIMEOUT_S / 2


@pytest.mark.parametrize('may_compress', [True, False])
@pytest.mark.parametrize('routes', [0, 1, 1_500])
def test_a_row_is_the_same_after_its_transfer(routes, may_compress):
    row = _make_row(routes)
    packed = RowPacker().pack('op', row, may_compress=may_compress)
    assert unpack_row(packed, 1) == row


def test_a_row_that_changed_is_compressed_again():
    packer = RowPacker()
    packer.pack('op', _make_row(), may_compress=True)
    later = RowChange('config', b'x' * 5_000, Revision(1, 10))
    packed = packer.pack('op', later, may_compress=True)
    assert unpack_row(packed, 1) == later


@pytest.mark.parametrize('body', [b'junk', b'x\x9c', b'\xff' * 99])
def test_a_row_that_cannot_be_decompressed_is_refused(body):
    row = TableRow('config', 9, body, False, is_compressed=True)
    with pytest.raises(MessageError):
        unpack_row(row, 1)


class _SlowStream:
    """Answers with a body in parts, one each ``gap_s`` seconds."""

    def __init__(self, parts, gap_s):
        head = 'HTTP/1.1 200 OK\r\ncontent-length: {0}\r\n\r\n'.format(parts)
        self._parts = [head.encode(), *([b'x'] * parts)]
        self._gap_s = gap_s

    async def send(self, _payload):
        """Accept a request."""

    async def receive(self, _most):
        await anyio.sleep(self._gap_s)
        return self._parts.pop(0)

    async def aclose(self):
        """Close."""

    def extra(self, _attribute):
        raise OSError


@pytest.mark.parametrize(
    ('parts', 'gap_s', 'transfer_s', 'is_complete'),
    [
        (8, 0.2, 0, False),
        (8, 0.2, 8, True),
        # Longer than a part may take.
        (3, 1.2, 8, False),
        # Longer than the whole body may take.
        (90, 0.2, 8, False),
    ],
)
def test_a_body_may_arrive_slowly_but_not_stop(
    parts, gap_s, transfer_s, is_complete, monkeypatch
):
    async def connect(_host, _port):
        return _SlowStream(parts, gap_s)

    async def scenario():
        monkeypatch.setattr(anyio, 'connect_tcp', connect)
        client = HttpClient('http://store', 1)
        try:
            answer = await client.request('GET', '/', transfer_s=transfer_s)
        except (HttpError, OSError):
            return False
        return len(answer.body) == parts

    assert virtualtime.run(scenario) is is_complete


class _FeedOverLink(RowStore):
    """A store on a slow link, whose feed sends every version of a row."""

    def __init__(self):
        self.versions = [_make_row(1).body]
        self.sent_bytes = 0

    async def read_table(self, table):
        version = len(self.versions)
        self.sent_bytes += 1
        await self._send([self.versions[-1]])
        row = RowChange('config', self.versions[version - 1], _at(version))
        return Changes((row,), _at(version), is_whole=True)

    async def follow(self, table, after, wait_s):
        self.sent_bytes += 1
        with anyio.move_on_after(wait_s):
            while len(self.versions) == after.version:
                await anyio.sleep(0.01)
        version = len(self.versions)
        bodies = self.versions[after.version : version]
        with anyio.move_on_after(1):
            await self._send(bodies)
            rows = tuple(
                RowChange('config', body, _at(after.version + number + 1))
                for number, body in enumerate(bodies)
            )
            return Changes(rows, _at(version))
        raise StoreUnavailableError('no answer', may_have_applied=False)

    async def write(self, table, conditions, bodies, removed=()):
        raise NotImplementedError

    async def close(self):
        """Do nothing."""

    async def _send(self, bodies):
        for body in bodies:
            await anyio.sleep(len(body) * 4 / 3 / SLOWEST_BYTES_PER_S)
            self.sent_bytes += len(body)


def _at(version):
    return Revision(0, version)


def test_a_slow_reader_does_not_fall_behind_a_series_of_changes():
    """The feed sent each of 25 versions; the last arrived 20 s late."""

    async def scenario():
        store = _FeedOverLink()
        copy = TableCopy(store, 'op', 1.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(copy.run)
            await anyio.sleep(2)
            store.versions.append(_make_row().body)
            await anyio.sleep(2)
            for number in range(25):
                store.versions.append(_make_row(ROUTES + number).body)
                await anyio.sleep(0.2)
            ended_at = anyio.current_time()
            while copy.revision.version < len(store.versions):
                await anyio.sleep(0.05)
            took_s = anyio.current_time() - ended_at
            tasks.cancel_scope.cancel()
        return took_s, store.sent_bytes

    took_s, sent_bytes = virtualtime.run(scenario)
    # The bound of the configuration on these deployments is 6 s.
    assert took_s < 6
    assert sent_bytes < 9 * len(_make_row().body)


@pytest.mark.parametrize(
    ('reading_s', 'reads_store'), [(0, True), (1.4, False)]
)
def test_readers_do_not_all_turn_to_the_store_when_its_answers_take_long(
    reading_s, reads_store
):
    """Guards against a fleet in which each process reads a large table.

    Its readings from peers were older than accepted, as the source itself takes
    long to read it, and with all processes reading none got it in time.
    """

    async def scenario():
        store = _FeedOverLink()
        copy = TableCopy(store, 'op', 1.0, max_age_s=2.8)
        copy.allow_skipping(is_allowed=True)
        row = RowChange('config', _make_row().body, _at(1))
        whole = Changes((row,), _at(1), is_whole=True)
        read_at = anyio.current_time() - 4
        copy.merge_reading(whole, read_at, reading_s)
        with anyio.move_on_after(0.5):
            await copy.run()
        return store.sent_bytes

    assert (virtualtime.run(scenario) > 0) is reads_store


def test_small_changes_of_a_large_table_are_not_answered_by_whole_readings():
    """Guards against a whole reading for each heartbeat in a large fleet."""

    async def scenario():
        rows = MemoryRows()
        members = {'member/{0}'.format(one): b'x' * 150 for one in range(2_100)}
        rows.write('t', [], members)
        store = _CountedReads(MemoryRowStore(rows, 'vm'))
        copy = TableCopy(store, 't', 1.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(copy.run)
            for _ in range(10):
                await anyio.sleep(0.8)
                rows.write('t', [], {'beat': b'{}'})
            tasks.cancel_scope.cancel()
        return store.whole_readings

    assert virtualtime.run(scenario) == 1


class _CountedReads(RowStore):
    """Counts readings of whole tables."""

    def __init__(self, store):
        self._store = store
        self.whole_readings = 0

    async def read_table(self, table):
        self.whole_readings += 1
        return await self._store.read_table(table)

    async def follow(self, table, after, wait_s):
        return await self._store.follow(table, after, wait_s)

    async def write(self, table, conditions, bodies, removed=()):
        raise NotImplementedError

    async def close(self):
        """Do nothing."""
