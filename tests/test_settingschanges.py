import msgspec
import pytest

from catkincrank.errors import OptionError
from catkincrank.settingschanges import (
    Change,
    ChangeConflictError,
    ChangeUnresolvedError,
    change_team,
)
from catkincrank.settingshistory import read_history
from catkincrank.settingsindex import INDEX_KEY, decode_index
from tests import virtualtime
from tests.fakestore import FakeStore

KEY = 'settings/sawari'


def change(weight, expected, author='asha', change_id=None):
    body = msgspec.json.encode({'weight': weight})
    change_id = change_id or 'c{0}'.format(weight)
    return Change('sawari', body, expected, author, 1.0, change_id)


def weights(store):
    return [
        msgspec.json.decode(row.body)['weight']
        for row in store.rows.get(KEY, ())
    ]


async def _apply(store, *changes):
    return [await change_team(store, each) for each in changes]


def test_versions_rise_and_history_says_who_and_when():
    store = FakeStore()
    virtualtime.run(_apply, store, change(1, 0), change(2, 1, 'binod'))
    entries, row = virtualtime.run(read_history, store, 'sawari')
    assert [entry.author for entry in entries] == ['binod', 'asha']
    assert row.version == 2
    announced = decode_index(store.newest(INDEX_KEY))
    assert [(each.sequence, each.version) for each in announced] == [
        (1, 1),
        (2, 2),
    ]


def test_conflict_shows_both_edits():
    store = FakeStore()
    virtualtime.run(_apply, store, change(1, 0), change(2, 1, 'binod'))
    with pytest.raises(ChangeConflictError) as caught:
        virtualtime.run(_apply, store, change(3, 1))
    assert caught.value.author == 'binod'
    assert [str(edit) for edit in caught.value.ours] == ['weight: 1 -> 3']
    assert [str(edit) for edit in caught.value.theirs] == ['weight: 1 -> 2']
    assert weights(store) == [1, 2]


def test_invalid_subtree_touches_nothing():
    store = FakeStore()
    with pytest.raises(OptionError, match='weight'):
        virtualtime.run(_apply, store, change(0, 0))
    assert store.calls == 0


@pytest.mark.parametrize('fault', ['lost', 'refused'])
@pytest.mark.parametrize('call', range(1, 9))
def test_fault_at_each_call_applies_once(call, fault):
    store = FakeStore()
    virtualtime.run(_apply, store, change(1, 0))
    faults = store.lost_calls if fault == 'lost' else store.refused_calls
    faults.add(store.calls + call)
    rows = virtualtime.run(_apply, store, change(2, 1))
    assert weights(store) == [1, 2]
    assert rows[0].version == 2


@pytest.mark.parametrize('call', range(1, 7))
def test_rival_at_each_call_gets_or_gives_a_conflict(call):
    store = FakeStore()
    virtualtime.run(_apply, store, change(1, 0))
    start = store.calls

    async def overtake(number):
        if number == start + call:
            store.on_call = None
            await _apply(store, change(9, 1, 'rival'))

    store.on_call = overtake
    with pytest.raises(ChangeConflictError):
        virtualtime.run(_apply, store, change(2, 1))
    assert weights(store) == [1, 9]


def test_lost_answer_then_overtaken_is_found_in_the_history():
    store = FakeStore()
    virtualtime.run(_apply, store, change(1, 0), change(2, 1), change(3, 2))
    rows = virtualtime.run(_apply, store, change(2, 1))
    assert rows[0].version == 2
    assert weights(store) == [1, 2, 3]


def test_outage_is_reported_with_the_change_id():
    store = FakeStore()
    store.is_down = True
    with pytest.raises(ChangeUnresolvedError) as caught:
        virtualtime.run(_apply, store, change(1, 0))
    assert caught.value.change_id == 'c1'
    assert not caught.value.may_have_applied


def test_stale_read_never_overwrites():
    store = FakeStore()
    virtualtime.run(_apply, store, change(1, 0), change(2, 1))
    store.stale_by = 1
    with pytest.raises(ChangeUnresolvedError):
        virtualtime.run(_apply, store, change(3, 1))
    assert weights(store) == [1, 2]


def test_history_is_pruned():
    store = FakeStore()
    changes = [change(number + 1, number) for number in range(60)]
    virtualtime.run(_apply, store, *changes)
    entries, _ = virtualtime.run(read_history, store, 'sawari')
    assert len(entries) == 50
    assert entries[-1].version == 11
