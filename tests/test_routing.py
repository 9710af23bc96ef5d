import pytest

from catkincrank.history import Containment, LogMark
from catkincrank.instance import Ballot
from catkincrank.routing import (
    EndpointLoad,
    Lost,
    ReadRequest,
    Route,
    Wait,
    choose_read,
    choose_write,
)
from tests.test_feed import GROUP, SECOND, make_feed, observe

LOADS = {name: EndpointLoad(zone=name, limit=2) for name in 'abc'}
TO_A, TO_B, TO_C = Route('a', True), Route('b', False), Route('c', False)
BUSY = EndpointLoad(zone='c', in_use=2, limit=2)
CLOSED = EndpointLoad(zone='b', is_open=False)


def make_group():
    return make_feed(
        observe('a', 8, 50),
        observe('a', 10, 70),
        observe('b', 10, 70),
        observe('c', 10, 60),
    )


def make_read(mark=None, staleness=None, **changes):
    given = {'zone': 'c', 'arrived_at': 10, **changes}
    return ReadRequest(GROUP, mark, staleness, **given)


@pytest.mark.parametrize(
    ('request_', 'loads', 'route'),
    [
        (make_read(), {}, TO_C),
        (make_read(zone='b'), {}, TO_B),
        (make_read(), {'c': BUSY}, TO_B),
        (make_read(excluded=frozenset('c')), {}, TO_B),
        (make_read(excluded=frozenset('c')), {'b': CLOSED}, TO_A),
        (make_read(LogMark(1, 61)), {}, TO_B),
        (make_read(LogMark(1, 71)), {}, TO_A),
        (make_read(staleness=0), {}, TO_A),
        (make_read(staleness=1), {}, TO_B),
        (make_read(staleness=2), {}, TO_C),
        (make_read(staleness=1, arrived_at=15), {}, Wait),
        (make_read(LogMark(2, 1)), {}, Wait),
        (make_read(), {'a': CLOSED, 'b': CLOSED, 'c': CLOSED}, Wait),
    ],
)
def test_read(request_, loads, route):
    answer = choose_read(request_, make_group(), LOADS | loads, 10)
    assert answer == route or isinstance(answer, route)


@pytest.mark.parametrize(
    ('mark', 'lost'),
    [
        (LogMark(1, 101), Lost(LogMark(1, 101), Containment.LOST)),
        (LogMark(0, 1), Lost(LogMark(0, 1), Containment.UNKNOWN)),
    ],
)
def test_read_of_a_lost_mark(mark, lost):
    feed = make_group()
    feed.record(GROUP, observe('c', 11, 100, SECOND))
    assert choose_read(make_read(mark), feed, LOADS, 11) == lost


@pytest.mark.parametrize(
    ('news', 'loads', 'route'),
    [
        (observe('a', 11, 70), {}, TO_A),
        (observe('a', 11, 70), {'a': CLOSED}, Wait),
        (observe('a', 11, 70, sealed=Ballot(2, 'k')), {}, Wait),
        (observe('c', 11, 100, SECOND), {}, Wait),
    ],
)
def test_write(news, loads, route):
    feed = make_group()
    feed.record(GROUP, news)
    answer = choose_write(GROUP, feed, 11, LOADS | loads)
    assert answer == route or isinstance(answer, route)
