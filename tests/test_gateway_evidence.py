import pytest

from catkincrank.gateway.evidence import Grant, GroupEvidence
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry


def _entry(name, born_ms=0):
    return EndpointEntry(name, 'svc', '10.0.0.1', 80, 'z', 3, born_ms=born_ms)


def _make_grant(name, term, until=100, bases=()):
    return Grant(name, term, until, bases)


@pytest.mark.parametrize(
    ('sent_at', 'is_sample'),
    [(4, False), (9.9, False), (10, True), (11, True)],
)
def test_answer_to_a_request_sent_before_the_grant_adds_no_position_sample(
    sent_at, is_sample
):
    """Guards against a position that is older than the endpoint's term.

    The endpoint may have answered as a replica, before it caught up.
    """
    evidence = GroupEvidence()
    evidence.apply_grant(_make_grant('a', 1), 1)
    evidence.apply_grant(_make_grant('b', 2), 10)
    evidence.record_answer(_entry('b'), Position(1, 38), sent_at, 12)
    assert (evidence.find_covering_position(0) is not None) is is_sample


def test_renewed_grant_keeps_position_samples():
    evidence = GroupEvidence()
    evidence.apply_grant(_make_grant('a', 1), 1)
    evidence.apply_grant(_make_grant('a', 1), 10)
    evidence.record_answer(_entry('a'), Position(1, 38), 5, 12)
    assert evidence.find_covering_position(5) == Position(1, 38)
    assert evidence.find_covering_position(6) is None


@pytest.mark.parametrize(
    ('position', 'expected'),
    [
        (Position(1, 50), Position(1, 40)),
        (Position(1, 30), Position(1, 30)),
        (Position(2, 41), Position(2, 41)),
        (Position(2, 90), Position(2, 60)),
        (Position(3, 61), Position(3, 61)),
    ],
)
def test_positions_exclude_records_that_later_terms_rolled_back(
    position, expected
):
    evidence = GroupEvidence()
    bases = ((2, Position(1, 40)), (3, Position(2, 60)))
    evidence.apply_grant(_make_grant('c', 3, bases=bases), 1)
    assert evidence.exclude_rolled_back(position) == expected


@pytest.mark.parametrize('later', [Position(1, 0), Position(1, 37)])
def test_an_endpoint_without_its_log_does_not_lower_what_is_known(later):
    """Guards against stale reads at a primary restarted without its log.

    A refusal for its short log was taken as its newest position, and the next
    read was sent with it. Found by seed 2003 of the soak with restorations.
    """
    evidence = GroupEvidence()
    evidence.apply_grant(_make_grant('a', 1), 1)
    evidence.record_answer(_entry('a'), Position(1, 38), 2, 3)
    evidence.record_answer(_entry('a'), later, 4, 5)
    assert evidence.find_primary_position() == Position(1, 38)
    assert evidence.find_covering_position(3) is None


@pytest.mark.parametrize(
    ('answered', 'expected'),
    [(None, Position(1, 40)), (Position(2, 41), Position(2, 41))],
)
def test_a_primary_must_hold_the_beginning_of_its_term(answered, expected):
    evidence = GroupEvidence()
    bases = ((1, Position(0, 0)), (2, Position(1, 40)))
    evidence.apply_grant(_make_grant('a', 2, bases=bases), 1)
    if answered:
        evidence.record_answer(_entry('a'), answered, 2, 3)
    assert evidence.find_primary_position() == expected
