import itertools

import pytest

from catkincrank.history import History, LogMark, TermStart
from catkincrank.instance import InstanceStatus, Role
from catkincrank.quorum import (
    Choice,
    choose_successor,
    count_acknowledgement_quorum,
    count_seal_quorum,
    find_held_mark,
    needs_claim,
)

FIRST = History((TermStart(1, 0),))
SECOND = History((TermStart(1, 0), TermStart(2, 100)))


@pytest.mark.parametrize('members', [2, 3, 4, 5])
def test_acknowledging_and_sealing_quorums_intersect(members):
    acknowledged = count_acknowledgement_quorum(members)
    sealed = count_seal_quorum(members)
    everyone = range(members)
    for holders in itertools.combinations(everyone, acknowledged):
        for promised in itertools.combinations(everyone, sealed):
            assert set(holders) & set(promised)
    can_be_disjoint = any(
        not set(one) & set(other)
        for one in itertools.combinations(everyone, sealed)
        for other in itertools.combinations(everyone, sealed)
    )
    assert can_be_disjoint == needs_claim(members)
    fewer = itertools.combinations(everyone, sealed - 1)
    holders = set(range(acknowledged))
    assert any(not holders & set(promised) for promised in fewer)


@pytest.mark.parametrize(
    ('history', 'received', 'expected'),
    [
        (FIRST, 70, LogMark(1, 70)),
        (SECOND, 70, LogMark(1, 70)),
        (SECOND, 99, LogMark(1, 99)),
        (SECOND, 100, LogMark(2, 100)),
        (SECOND, 170, LogMark(2, 170)),
        (History((TermStart(3, 50),)), 10, LogMark(3, 10)),
    ],
)
def test_held_mark_has_the_term_at_the_received_position(
    history,
    received,
    expected,
):
    status = make_status('a', Role.REPLICA, history, received)
    assert find_held_mark(status) == expected


def make_status(name, role, history, received):
    return InstanceStatus(name, 'i', role, history, received, received)


R, P = Role.REPLICA, Role.PRIMARY


@pytest.mark.parametrize(
    ('sealed', 'expected'),
    [
        ([], None),
        ([('a', P, FIRST, 9)], None),
        (
            [('b', R, FIRST, 5), ('c', R, FIRST, 7)],
            Choice('c', '', LogMark(1, 7), is_covered=True),
        ),
        (
            [('b', R, SECOND, 50), ('c', R, FIRST, 90)],
            Choice('c', '', LogMark(1, 90), is_covered=True),
        ),
        (
            [('b', R, SECOND, 101), ('c', R, FIRST, 900)],
            Choice('b', '', LogMark(2, 101), is_covered=True),
        ),
        (
            [('a', P, FIRST, 9), ('b', R, FIRST, 5)],
            Choice('b', 'a', LogMark(1, 9), is_covered=False),
        ),
        (
            [('a', P, FIRST, 9), ('b', R, FIRST, 5), ('c', R, FIRST, 4)],
            Choice('b', 'a', LogMark(1, 9), is_covered=True),
        ),
        (
            [('a', P, FIRST, 9), ('b', R, FIRST, 9)],
            Choice('b', '', LogMark(1, 9), is_covered=True),
        ),
    ],
)
def test_successor_is_the_most_advanced_replica(sealed, expected):
    statuses = {row[0]: make_status(*row) for row in sealed}
    assert choose_successor(statuses, 3) == expected
