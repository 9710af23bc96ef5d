"""Calls to the store are counted by kind and outcome."""

import pytest

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.countedstore import CountedStore
from catkincrank.gateway.rowstore import (
    ORIGIN,
    Condition,
    HistoryLostError,
    Revision,
)
from catkincrank.metrics import Metrics
from catkincrank.standins.memoryrows import MemoryRows, MemoryRowStore
from tests import virtualtime


@pytest.mark.parametrize(
    ('call', 'error', 'labels'),
    [
        (lambda store: store.read_table('t'), None, ('read', 'answered')),
        (
            lambda store: store.follow('t', Revision(0, 9), 0),
            HistoryLostError,
            ('follow', 'HistoryLostError'),
        ),
        (
            lambda store: store.write('t', [], {'k': b'v'}),
            None,
            ('write', 'answered'),
        ),
        (
            lambda store: store.write(
                't', [Condition('k', Revision(0, 3))], {'k': b'v'}
            ),
            ConflictError,
            ('write', 'ConflictError'),
        ),
    ],
)
def test_calls_are_counted_by_kind_and_outcome(call, error, labels):
    async def scenario():
        metrics = Metrics()
        store = CountedStore(MemoryRowStore(MemoryRows(), 'vm'), metrics)
        if error is None:
            await call(store)
        else:
            with pytest.raises(error):
                await call(store)
        return store._calls.labels(*labels)._value.get()

    assert virtualtime.run(scenario) == 1


def test_calls_without_an_answer_are_counted():
    async def scenario():
        rows = MemoryRows()
        rows.is_down = True
        store = CountedStore(MemoryRowStore(rows, 'vm'), Metrics())
        with pytest.raises(StoreUnavailableError):
            await store.write('t', [Condition('k', ORIGIN)], {'k': b'v'})
        labels = 'write', 'StoreUnavailableError'
        return store._calls.labels(*labels)._value.get()

    assert virtualtime.run(scenario) == 1
