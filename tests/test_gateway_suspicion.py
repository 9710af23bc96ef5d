import pytest

from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.suspicion import Cause, Sighting, count_votes, judge

RECORD = GroupRecord('svc', 'i-1', 0, 3)
ENTRY = EndpointEntry('i-1', 'svc', '10.0.0.1', 80, 'z', 3)
LEAVING = EndpointEntry('i-1', 'svc', '10.0.0.1', 80, 'z', 3, is_draining=True)
LEADS = EndpointState(True, 3, Position(3, 1), 3)
FOLLOWS = EndpointState(False, 4, Position(3, 1), 4)


@pytest.mark.parametrize(
    ('record', 'sighting', 'cause'),
    [
        (RECORD, Sighting(ENTRY, LEADS, 0, 0), None),
        (RECORD, Sighting(ENTRY, None, 0, 0), None),
        (RECORD, Sighting(ENTRY, None, 1, 0), Cause.UNREACHABLE),
        (RECORD, Sighting(ENTRY, FOLLOWS, 0, 0), Cause.DEMOTED),
        (RECORD, Sighting(LEAVING, LEADS, 0, 0), Cause.LEAVING),
        (RECORD, Sighting(LEAVING, None, 0, 0), Cause.LEAVING),
        # A registration may lapse with the store; the endpoint answers.
        (RECORD, Sighting(None, None, 0, 1), None),
        (RECORD, Sighting(None, None, 0, 2.5), Cause.GONE),
        (RECORD, Sighting(None, None, 1, 0.1), Cause.GONE),
        (RECORD.replace(), Sighting(ENTRY, LEADS, 0, 0), Cause.INTERRUPTED),
    ],
)
def test_causes(record, sighting, cause):
    assert judge(record, sighting) is cause


@pytest.mark.parametrize(
    ('votes', 'agrees'),
    [
        ([], True),
        ([False], True),
        ([True], False),
        ([True, False], True),
        ([True, True, False], False),
        ([True, False, False], True),
    ],
)
def test_votes(votes, agrees):
    assert count_votes(votes) is agrees
