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
    ('observations', 'status'),
    [
        ([], WriteStatus.PENDING),
        ([observe('a', 1, 60)], WriteStatus.PENDING),
        ([observe('b', 1, 59)], WriteStatus.PENDING),
        ([observe('b', 1, 60)], WriteStatus.CONFIRMED),
        # Stored but not replayed yet.
        ([observe('b', 1, 10, received=60)], WriteStatus.CONFIRMED),
        # Stored after a later term was promised.
        ([observe('b', 1, 60, sealed=SEALED)], WriteStatus.PENDING),
        # Stored before a later term was promised.
        (
            [observe('b', 1, 60), observe('b', 2, 60, sealed=SEALED)],
            WriteStatus.CONFIRMED,
        ),
        # One instance of a later term that holds the write is no majority.
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
        # Instances of two terms are not counted together.
        (
            [
                observe('a', 1, 60, sealed=SEALED),
                observe('b', 1, 100, SECOND, role=Role.PRIMARY),
                observe('c', 1, 59, SECOND),
            ],
            WriteStatus.PENDING,
        ),
        # An instance outside the group is not counted.
        ([observe('z', 1, 60)], WriteStatus.PENDING),
    ],
)
def test_replica_policy_requires_majority_of_one_term(observations, status):
    assert check(make_feed(*observations), LogMark(1, 60)) is status


@pytest.mark.parametrize(
    ('mark', 'status'),
    [
        (LogMark(1, 100), WriteStatus.CONFIRMED),
        (LogMark(1, 101), WriteStatus.REPLACED),
        (LogMark(2, 120), WriteStatus.CONFIRMED),
        (LogMark(2, 121), WriteStatus.REPLACED),
        (LogMark(3, 150), WriteStatus.PENDING),
    ],
)
def test_replica_policy_locates_marks_across_terms(mark, status):
    feed = make_feed(
        observe('b', 1, 90, FIRST),
        observe('b', 2, 140, THIRD, role=Role.PRIMARY),
        observe('c', 2, 130, THIRD),
    )
    assert check(feed, mark) is status


def test_write_is_pending_while_members_are_unknown():
    feed = make_feed(observe('b', 1, 60))
    feed.set_members(GROUP, ())
    assert check(feed, LogMark(1, 60)) is WriteStatus.PENDING


@pytest.mark.parametrize(
    ('observations', 'now', 'status'),
    [
        ([], 10, WriteStatus.PENDING),
        ([observe('a', 10, 60)], 10, WriteStatus.PENDING),
        (
            [observe('a', 10, 60), observe('b', 9.5, 1)],
            10,
            WriteStatus.CONFIRMED,
        ),
        # The observation is too old when the caller would be answered.
        ([observe('a', 10, 60), observe('b', 9, 1)], 10, WriteStatus.PENDING),
        ([observe('a', 10, 60), observe('b', 9.5, 1)], 99, WriteStatus.PENDING),
        # An observation with a promise is not counted, but retracts no other.
        (
            [observe('a', 10, 60), observe('b', 10, 1, sealed=SEALED)],
            10,
            WriteStatus.PENDING,
        ),
        # A replica has stored the write: the age is irrelevant.
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
def test_bounded_policy_limits_age_of_observations(observations, now, status):
    feed = make_feed(*observations)
    assert check(feed, LogMark(1, 60), 'bounded', now) is status


def test_promotion_delay_exceeds_validity_of_bounded_policy():
    policy = acknowledgements.find('bounded')
    feed = make_feed(observe('a', 0, 60), observe('b', 0, 1))
    after_delay = policy.promotion_delay_s / 1.01
    assert (
        check(feed, LogMark(1, 60), 'bounded', after_delay)
        is WriteStatus.PENDING
    )
    assert acknowledgements.find('replica').promotion_delay_s == 0
