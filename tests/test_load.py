import math

import pytest

from catkincrank.errors import OptionError
from catkincrank.load import workload
from catkincrank.load.groupobserver import GroupObserver, ReadCounts
from catkincrank.load.outcome import Outcome
from catkincrank.load.profile import Workload, list_profiles, load_profile
from catkincrank.load.schedule import Arrival, Operation, draw_arrivals
from catkincrank.load.summary import find_gap, measure_latency
from catkincrank.records import RecordedHistory, StatementRan
from catkincrank.standins.observer import ExecutedStatement
from catkincrank.verdict import Verdict
from tests import virtualtime

WORKLOAD = Workload(duration_s=50, rate=100, sessions=10)


def test_profiles():
    assert list_profiles() == ['kitakaze', 'sawari']
    for name in list_profiles():
        assert len(load_profile(name).groups()) == 3
    with pytest.raises(OptionError, match='sawari'):
        load_profile('nothing')


def test_arrivals_are_open_and_seeded():
    arrivals = draw_arrivals(WORKLOAD, 3, 1)
    assert arrivals == draw_arrivals(WORKLOAD, 3, 1)
    assert arrivals != draw_arrivals(WORKLOAD, 3, 2)
    assert 4500 < len(arrivals) < 5500
    for one in arrivals:
        owner = int(one.item.partition('-')[2])
        assert owner % 3 == one.session % 3
        is_own = owner == one.session
        assert is_own or one.operation is Operation.READ


def write_at(at_s, verdict=Verdict.RAN):
    arrival = Arrival(0, 0, Operation.WRITE, 'item-0')
    return Outcome(arrival, 0, at_s, verdict, 1)


@pytest.mark.parametrize(
    ('times', 'expected'),
    [
        ((1, 2, 6, 7), 4),
        ((1, 2.5, 9, 17, 18), 8),
        ((1, 2.5, 9, 12, 20), 8),
        ((1, 20), 19),
        ((1,), math.inf),
        ((20,), 18),
        ((3, 4), 1),
        ((), math.inf),
    ],
)
def test_gap(times, expected):
    outcomes = [write_at(at_s) for at_s in times]
    outcomes.append(write_at(3, Verdict.NOT_RUN))
    assert find_gap(outcomes, 0, 2, 16) == expected


def test_a_service_that_stays_away_has_no_end_of_its_gap():
    lost = Outcome(
        Arrival(5, 0, Operation.WRITE, 'item-0'), 0, 15, Verdict.NOT_RUN, 3
    )
    outcomes = [write_at(1), write_at(2.2), lost]
    assert find_gap(outcomes, 0, 2, 16) == math.inf
    assert find_gap([*outcomes, write_at(9)], 0, 2, 16) == 6.8


def test_latency():
    measured = measure_latency([number / 1000 for number in range(1, 101)])
    assert measured.count == 100
    assert measured.p50 == pytest.approx(0.05, rel=0.01)
    assert measured.p99 == pytest.approx(0.099, rel=0.01)


def see(connection, sql, *params, is_open=False):
    return ExecutedStatement('a', True, connection, sql, params, is_open)


def test_observed_places():
    virtualtime.run(check_places)


async def check_places():
    history, reads = RecordedHistory(), ReadCounts()
    observer = GroupObserver('t/s', history, reads)
    first, second = workload.name_request(1), workload.name_request(2)
    observer.on_statement(see('1', 'SELECT 1', first))
    observer.on_statement(see('1', 'BEGIN', is_open=True))
    observer.on_statement(see('1', 'INSERT', 'team', is_open=True))
    observer.on_statement(see('1', 'INSERT', second, is_open=True))
    observer.on_statement(see('1', 'INSERT', second, is_open=True))
    observer.on_statement(see('1', 'COMMIT'))
    observer.on_statement(see('1', 'DISCARD ALL'))
    ran = history.of_kind(StatementRan)
    assert [(one.transaction, one.place.value) for one in ran] == [
        (first, 'alone'),
        (second, 'first'),
        (second, 'inner'),
        (second, 'last'),
    ]
    assert {one.connection for one in ran} == {'t/s/1'}
    assert reads.by_primaries == 1
