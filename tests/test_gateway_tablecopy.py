"""Copies of a table of a store that is restored from a copy."""

from types import SimpleNamespace

import anyio
import pytest

from catkincrank.gateway.heartbeats import Heartbeats
from catkincrank.gateway.peermessages import TableQuery, TableVersion
from catkincrank.gateway.relay import TableRelay, _as_changes
from catkincrank.gateway.rowstore import Changes, Revision, RowChange
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.standins.memoryrows import MemoryRows, MemoryRowStore
from tests import virtualtime


def _write(rows, count, prefix):
    for number in range(count):
        rows.write('t', [], {'{0}{1}'.format(prefix, number): b'v'})


def _keys(copy):
    return sorted(copy.rows)


async def _follow(copy, times=1):
    for _ in range(times):
        await copy._read_once()


def test_a_restored_store_takes_back_what_it_lost():
    """Guards against a copy that keeps rows which the store has lost.

    A copy at version 10 ignored the store until its versions were as high
    again, and then kept the lost rows for good.
    """

    async def scenario():
        rows = MemoryRows()
        copy = TableCopy(MemoryRowStore(rows, 'vm'), 't', 0)
        _write(rows, 5, 'kept')
        await anyio.sleep(10)
        _write(rows, 5, 'lost')
        await copy.reload()
        rows.restore(5)
        read_at = copy.read_at
        await anyio.sleep(1)
        await _follow(copy)
        assert copy.revision == Revision(1, 5)
        assert copy.read_at > read_at
        _write(rows, 5, 'new')
        await _follow(copy)
        assert copy.revision == Revision(1, 10)
        return _keys(copy), sorted(key for _, key in rows.rows)

    copied, stored = virtualtime.run(scenario)
    assert copied == stored


@pytest.mark.parametrize('written', [0, 2, 5, 9])
def test_a_copy_notices_the_restoration_at_any_version(written):
    """The restored store may have given out the copy's version again."""

    async def scenario():
        rows = MemoryRows()
        copy = TableCopy(MemoryRowStore(rows, 'vm'), 't', 0)
        _write(rows, 5, 'kept')
        await anyio.sleep(10)
        _write(rows, 5, 'lost')
        await copy.reload()
        rows.restore(5)
        _write(rows, written, 'new')
        await _follow(copy, 2)
        return _keys(copy), sorted(key for _, key in rows.rows)

    copied, stored = virtualtime.run(scenario)
    assert copied == stored


def _row(key, era, version, body=b'v'):
    return RowChange(key, body, Revision(era, version))


@pytest.mark.parametrize(
    ('reading', 'keys'),
    [
        # A peer that has not seen the restoration.
        (Changes((_row('old', 0, 30),), Revision(0, 30)), ['kept']),
        (Changes((_row('old', 0, 30),), Revision(0, 30), True), ['kept']),
        # A peer that has seen a later one.
        (Changes((_row('new', 2, 3),), Revision(2, 3)), ['kept']),
        (Changes((_row('new', 2, 3),), Revision(2, 3), True), ['new']),
        # The same era.
        (Changes((_row('new', 1, 9),), Revision(1, 9)), ['kept', 'new']),
    ],
)
def test_readings_of_peers_are_ordered_by_era(reading, keys):
    async def scenario():
        copy = TableCopy(MemoryRowStore(MemoryRows(), 'vm'), 't', 0)
        copy.merge_reading(
            Changes((_row('kept', 1, 4),), Revision(1, 5), True), 1
        )
        copy.merge_reading(reading, 2)
        return _keys(copy)

    assert virtualtime.run(scenario) == keys


@pytest.mark.parametrize('known', [Revision(0, 9), Revision(1, 0)])
def test_a_peer_of_an_earlier_era_gets_the_whole_table(known):
    async def scenario():
        copy = TableCopy(MemoryRowStore(MemoryRows(), 'vm'), 't', 0)
        whole = Changes((_row('k', 1, 4),), Revision(1, 5), True)
        copy.merge_reading(whole, 1)
        return copy.list_changes(known)

    assert virtualtime.run(scenario).is_whole


def test_a_restarted_process_passes_on_removals_that_it_has_not_seen():
    """Guards against removed rows that stay in use at peers.

    A lease holder that had just read the whole table knew no earlier removals,
    so its peers kept rows that were removed before.
    """

    async def scenario():
        rows = MemoryRows()
        peer = TableCopy(MemoryRowStore(rows, 'peer'), 't', 0)
        _write(rows, 3, 'row')
        await peer.reload()
        rows.write('t', [], {'row1': None})
        restarted = TableCopy(MemoryRowStore(rows, 'holder'), 't', 0)
        await anyio.sleep(1)
        await restarted.reload()
        fleet = SimpleNamespace(heartbeats=Heartbeats(), copy=None)
        relay = TableRelay((restarted,), fleet, None, None)
        query = TableQuery(
            'peer', (TableVersion('t', peer.revision.version, 0),)
        )
        replies = (await relay.answer(query)).replies
        peer.merge_reading(_as_changes(replies[0]), restarted.read_at)
        return _keys(peer)

    assert virtualtime.run(scenario) == ['row0', 'row2']
