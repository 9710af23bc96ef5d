import pytest

from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.suspicion import (
    Cause,
    PrimaryObservation,
    find_cause,
    is_voted_unreachable,
)

RECORD = GroupRecord('svc', 'i-1', 0, 3)
ENTRY = EndpointEntry('i-1', 'svc', '10.0.0.1', 80, 'z', 3)
LEAVING = EndpointEntry('i-1', 'svc', '10.0.0.1', 80, 'z', 3, is_draining=True)
PRIMARY_STATE = EndpointState(True, 3, Position(3, 1), 3)
REPLICA_STATE = EndpointState(False, 4, Position(3, 1), 4)


@pytest.mark.parametrize(
    ('record', 'observation', 'cause'),
    [
        (RECORD, PrimaryObservation(ENTRY, PRIMARY_STATE, 0, 0), None),
        (RECORD, PrimaryObservation(ENTRY, None, 0, 0), None),
        (RECORD, PrimaryObservation(ENTRY, None, 1, 0), Cause.UNREACHABLE),
        (RECORD, PrimaryObservation(ENTRY, REPLICA_STATE, 0, 0), Cause.DEMOTED),
        (
            RECORD,
            PrimaryObservation(LEAVING, PRIMARY_STATE, 0, 0),
            Cause.LEAVING,
        ),
        (RECORD, PrimaryObservation(LEAVING, None, 0, 0), Cause.LEAVING),
        # The registration expired in a store outage; the endpoint answers.
        (RECORD, PrimaryObservation(None, None, 0, 1), None),
        (RECORD, PrimaryObservation(None, None, 0, 2.5), Cause.GONE),
        (RECORD, PrimaryObservation(None, None, 1, 0.1), Cause.GONE),
        (
            RECORD.mark_replacing(),
            PrimaryObservation(ENTRY, PRIMARY_STATE, 0, 0),
            Cause.INTERRUPTED,
        ),
    ],
)
def test_observation_gives_cause_of_replacement(record, observation, cause):
    assert find_cause(record, observation) is cause


@pytest.mark.parametrize(
    ('votes', 'asked', 'is_unreachable'),
    [
        # There are no peers.
        ([], 0, True),
        ([False], 1, True),
        ([True], 1, False),
        ([True, False], 2, True),
        ([True, True, False], 3, False),
        ([True, False, False], 3, True),
        # Most peers do not answer: the asking process may be cut off.
        ([], 1, False),
        ([False], 3, False),
        ([False, False], 11, False),
        ([False], 2, True),
        ([False, False, False, False, False, True], 11, True),
    ],
)
def test_endpoint_is_unreachable_unless_most_peers_reach_it(
    votes, asked, is_unreachable
):
    assert is_voted_unreachable(votes, asked) is is_unreachable
