import pytest

import catkincrank.acknowledgements  # noqa: F401
from catkincrank.acknowledgement import WriteStatus, acknowledgements
from catkincrank.history import LogMark
from catkincrank.instance import Ballot, Role
from tests.test_feed import FIRST, GROUP, SECOND, make_feed, observe

SEALED = Ballot(2, 'k')
THIRD = SECOND.extend(3, 120)


def check(feed, mark, policy='replica', now=0):
    return acknowledgements.find(policy)().check(GROUP, mark, feed, now)


@pytest.mark.parametrize(
    ('observations', 'standing'),
    [
        ([], WriteStatus.PENDING),
        ([observe('a', 1, 60)], WriteStatus.PENDING),
        ([observe('b', 1, 59)], WriteStatus.PENDING),
        ([observe('b', 1, 60)], WriteStatus.CONFIRMED),
        # Stored, though not replayed yet.
        ([observe('b', 1, 10, received=60)], WriteStatus.CONFIRMED),
        # It stored the write, but has promised a later term.
        ([observe('b', 1, 60, sealed=SEALED)], WriteStatus.PENDING),
        # It had stored the write before it promised.
        (
            [observe('b', 1, 60), observe('b', 2, 60, sealed=SEALED)],
            WriteStatus.CONFIRMED,
        ),
        # A later term holds the write: one instance is not enough.
        (
            [observe('b', 1, 100, SECOND, role=Role.PRIMARY)],
            WriteStatus.PENDING,
        ),
        (
            [
                observe('b', 1, 100, SECOND, role=Role.PRIMARY),
                observe('c', 1, 60, SECOND),
            ],
            WriteStatus.CONFIRMED,
        ),
        # Instances of two terms do not add up.
        (
            [
                observe('a', 1, 60, sealed=SEALED),
                observe('b', 1, 100, SECOND, role=Role.PRIMARY),
                observe('c', 1, 59, SECOND),
            ],
            WriteStatus.PENDING,
        ),
        # An instance that is not of the group does not count.
        ([observe('z', 1, 60)], WriteStatus.PENDING),
    ],
)
def test_replica(observations, standing):
    assert check(make_feed(*observations), LogMark(1, 60)) is standing


@pytest.mark.parametrize(
    ('mark', 'standing'),
    [
        (LogMark(1, 100), WriteStatus.CONFIRMED),
        (LogMark(1, 101), WriteStatus.REPLACED),
        (LogMark(2, 120), WriteStatus.CONFIRMED),
        (LogMark(2, 121), WriteStatus.REPLACED),
        (LogMark(3, 150), WriteStatus.PENDING),
    ],
)
def test_marks_across_terms(mark, standing):
    feed = make_feed(
        observe('b', 1, 90, FIRST),
        observe('b', 2, 140, THIRD, role=Role.PRIMARY),
        observe('c', 2, 130, THIRD),
    )
    assert check(feed, mark) is standing


def test_members_unknown():
    feed = make_feed(observe('b', 1, 60))
    feed.set_members(GROUP, ())
    assert check(feed, LogMark(1, 60)) is WriteStatus.PENDING


@pytest.mark.parametrize(
    ('observations', 'now', 'standing'),
    [
        ([], 10, WriteStatus.PENDING),
        ([observe('a', 10, 60)], 10, WriteStatus.PENDING),
        (
            [observe('a', 10, 60), observe('b', 9.5, 1)],
            10,
            WriteStatus.CONFIRMED,
        ),
        # Seen, but too long ago for the moment of the answer.
        ([observe('a', 10, 60), observe('b', 9, 1)], 10, WriteStatus.PENDING),
        ([observe('a', 10, 60), observe('b', 9.5, 1)], 99, WriteStatus.PENDING),
        # A promise does not count, and takes nothing from what was seen.
        (
            [observe('a', 10, 60), observe('b', 10, 1, sealed=SEALED)],
            10,
            WriteStatus.PENDING,
        ),
        # A replica has stored it: time does not matter.
        ([observe('a', 1, 60), observe('b', 1, 60)], 99, WriteStatus.CONFIRMED),
        # A later term is known to have begun.
        (
            [
                observe('a', 10, 60),
                observe('b', 10, 1),
                observe('c', 10, 100, SECOND, role=Role.PRIMARY),
            ],
            10,
            WriteStatus.PENDING,
        ),
    ],
)
def test_bounded(observations, now, standing):
    feed = make_feed(*observations)
    assert check(feed, LogMark(1, 60), 'bounded', now) is standing


def test_promotion_outwaits_what_was_trusted():
    policy = acknowledgements.find('bounded')
    feed = make_feed(observe('a', 0, 60), observe('b', 0, 1))
    drifting = policy.promotion_delay_s / 1.01
    assert (
        check(feed, LogMark(1, 60), 'bounded', drifting) is WriteStatus.PENDING
    )
    assert acknowledgements.find('replica').promotion_delay_s == 0
