import anyio
import pytest

from catkincrank.feed import Feed, FeedWaiter
from catkincrank.history import History, LogMark, TermStart
from catkincrank.instance import Ballot, InstanceStatus, Observation, Role
from tests import virtualtime

GROUP = 'sawari/ledger'
FIRST = History((TermStart(1, 0),))
SECOND = FIRST.extend(2, 100)


def observe(endpoint, at, position, history=FIRST, **changes):
    given = {
        'incarnation': 'i1',
        'role': Role.PRIMARY if endpoint == 'a' else Role.REPLICA,
        'received': position,
        'replayed': position,
        **changes,
    }
    return Observation(
        InstanceStatus(endpoint, history=history, **given),
        at,
    )


def make_feed(*observations):
    feed = Feed()
    feed.set_members(GROUP, 'abc')
    for observation in observations:
        feed.record(GROUP, observation)
    return feed


@pytest.mark.parametrize(
    ('observations', 'age'),
    [
        # The replica holds all that the primary had at 10.
        ([('a', 10, 50), ('b', 10, 50), ('c', 10, 40)], 2),
        # It lags: it holds what the primary had at 7.
        ([('a', 7, 30), ('a', 10, 50), ('b', 10, 40), ('c', 10, 40)], 5),
        # No sample of the primary is old enough.
        ([('a', 10, 50), ('b', 10, 40), ('c', 10, 40)], float('inf')),
        # Nothing but the cut-off primary speaks: no majority at 10.
        ([('a', 4, 50), ('b', 4, 50), ('a', 10, 50)], 8),
        ([('a', 10, 50)], float('inf')),
    ],
)
def test_data_age(observations, age):
    feed = make_feed(*(observe(*one) for one in observations))
    assert feed.data_age(GROUP, 'b', 12) == age


def test_cut_off_primary_does_not_make_old_data_fresh():
    # a and b stay together; c was sealed with an unseen keeper's help.
    feed = make_feed(
        observe('a', 1, 50),
        observe('b', 1, 50),
        observe('c', 1, 50),
    )
    sealed = Ballot(2, 'k')
    feed.record(GROUP, observe('c', 5, 50, sealed=sealed))
    feed.record(GROUP, observe('b', 5, 50, sealed=sealed))
    feed.record(GROUP, observe('a', 9, 50))
    assert feed.data_age(GROUP, 'b', 9) == 8
    assert feed.data_age(GROUP, 'a', 9) == 8


def test_new_primary_counts_after_a_majority_follows():
    feed = make_feed(observe('a', 1, 50), observe('b', 1, 50))
    feed.record(GROUP, observe('b', 5, 100, SECOND, role=Role.PRIMARY))
    assert feed.primary(GROUP).status.endpoint == 'b'
    assert feed.data_age(GROUP, 'b', 6) == 5
    feed.record(GROUP, observe('c', 6, 100, SECOND))
    assert feed.data_age(GROUP, 'b', 6) == 1
    assert feed.data_age(GROUP, 'c', 6) == 1


def test_primary_is_unknown_while_only_a_follower_of_its_term_is():
    feed = make_feed(observe('a', 1, 50), observe('c', 2, 100, SECOND))
    assert feed.primary(GROUP) is None
    assert feed.history(GROUP) == SECOND


@pytest.mark.parametrize(
    ('incarnation', 'mark', 'holds'),
    [
        ('i1', LogMark(1, 100), True),
        ('i1', LogMark(2, 120), True),
        ('i1', LogMark(2, 121), False),
        ('i2', LogMark(1, 100), False),
        ('i1', LogMark(1, 101), False),
        ('i1', LogMark(3, 1), False),
    ],
)
def test_replayed_holds(incarnation, mark, holds):
    feed = make_feed(observe('b', 1, 120, SECOND, received=500))
    assert feed.has_replayed(GROUP, 'b', incarnation, mark) is holds


def test_late_observation_takes_nothing_back():
    feed = make_feed(observe('b', 1, 120, SECOND))
    # Read before, but by a keeper whose clock bound is tighter.
    assert feed.record(GROUP, observe('b', 2, 90))
    assert feed.has_replayed(GROUP, 'b', 'i1', LogMark(2, 120))
    assert not feed.record(GROUP, observe('b', 1, 120, SECOND))


async def _wait_for_news():
    feed = make_feed()
    waiter = FeedWaiter(feed)
    seen = []

    async def wait():
        seen.append(await waiter.wait_for_change(GROUP, feed.revision(GROUP)))

    async with anyio.create_task_group() as tasks:
        for _ in range(2):
            tasks.start_soon(wait)
        await anyio.sleep(1)
        feed.record('other/group', observe('a', 1, 1))
        await anyio.sleep(1)
        assert not seen
        feed.record(GROUP, observe('a', 1, 1))
    return seen


def test_waiter():
    assert virtualtime.run(_wait_for_news) == [1, 1]
