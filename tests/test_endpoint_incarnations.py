"""Endpoints that start again under their identifier, with another ``born``."""

import dataclasses

import anyio
import pytest

from catkincrank.gateway.choice import Latencies
from catkincrank.gateway.evidence import Grant, GroupEvidence
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkpools import make_key
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry, Roster
from tests import virtualtime
from tests.gatewayfleet import Fleet

# A replacement waits for 2.2 s in which another writer's entry would go.
REPLACEMENT_LIMIT_S = 8
FIRST = EndpointEntry('a', 'svc', '10.0.0.1', 80, 'z', 3, born_ms=7, sequence=9)
AGAIN = dataclasses.replace(FIRST, born_ms=8, sequence=1)
STARTS = pytest.mark.parametrize(
    'other',
    [
        AGAIN,
        # An older entry comes back; its start is not this one either.
        dataclasses.replace(FIRST, born_ms=6),
        # Without a start, or with one in the future.
        dataclasses.replace(FIRST, born_ms=0),
        dataclasses.replace(FIRST, born_ms=2**62),
    ],
    ids=lambda entry: entry.born_ms,
)


def _grant(until=100):
    return Grant('a', 1, until, born_ms=FIRST.born_ms)


@STARTS
def test_an_answer_of_another_start_is_no_position_of_the_primary(other):
    """Guards against stale reads after a primary was started again.

    It caught up from a replica, past what this process knew; commits that other
    processes had acknowledged were missing.
    """
    evidence = GroupEvidence()
    evidence.apply_grant(_grant(), 1)
    evidence.record_answer(FIRST, Position(1, 4), 2, 2)
    evidence.record_answer(other, Position(1, 5), 3, 3)
    assert evidence.find_covering_position(2) == Position(1, 4)
    assert evidence.find_covering_position(3) is None


@STARTS
def test_an_answer_of_another_start_is_not_held_for_a_proof(other):
    evidence = GroupEvidence()
    evidence.apply_grant(_grant(until=2), 1)
    evidence.proof.is_allowed = True
    evidence.record_answer(other, Position(1, 5), 3, 3)
    evidence.record_proof(2.5, Position(1, 4))
    assert evidence.find_covering_position(3) is None


@STARTS
def test_a_grant_does_not_hold_for_another_start(other):
    async def find():
        groups = Groups()
        groups.roster.put(other)
        groups.evidence('svc').apply_grant(_grant(), 1)
        return groups.find_primary('svc', 2, 2)

    assert virtualtime.run(find) is None


@STARTS
def test_when_and_how_fast_another_start_answered_is_not_used(other):
    evidence = GroupEvidence()
    evidence.record_answer(FIRST, None, 1, 2)
    latencies = Latencies('z', {})
    initial = latencies.estimate(other, 2)
    latencies.record_answer(FIRST, 9, 2)
    assert evidence.find_answered_at(FIRST) == 2
    assert evidence.find_answered_at(other) == 0
    assert latencies.estimate(other, 2) == initial
    # A late answer of the first start does not count for the second one.
    latencies.record_answer(other, 1, 3)
    latencies.record_answer(FIRST, 9, 4)
    assert latencies.estimate(other, 4) == initial


@STARTS
def test_links_and_prepared_names_of_another_start_are_not_used(other):
    assert make_key(other) != make_key(FIRST)


def test_a_new_start_that_leaves_has_its_own_time_to_leave():
    groups = Groups()
    leaving = dataclasses.replace(FIRST, is_draining=True)
    again = dataclasses.replace(AGAIN, is_draining=True)
    groups.track_leaving(leaving, 1)
    groups.track_leaving(again, 50)
    groups.track_leaving(again, 52)
    assert not groups._has_left(again, 54.9)
    assert groups._has_left(again, 55)


@pytest.mark.parametrize(
    ('seen', 'found', 'is_used'),
    [
        (FIRST, AGAIN, True),
        (AGAIN, FIRST, False),
        # Its clock went back, or another writer gave a start in the future.
        (dataclasses.replace(FIRST, born_ms=2**62), FIRST, False),
    ],
)
def test_a_refused_registration_is_used_once_it_is_written_again(
    seen, found, is_used
):
    """Guards against an endpoint that stays refused after a restoration."""
    roster = Roster()
    roster.put(seen, 0)
    assert roster.is_outdated(found, 1) is not is_used
    roster.refuse(found, 1)
    assert roster.is_outdated(found, 1) is not is_used
    newer = dataclasses.replace(found, sequence=found.sequence + 1)
    assert not roster.is_outdated(newer, 1)
    # A further restoration starts anew.
    assert roster.is_outdated(newer, 2) is not is_used


def _run(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            fleet.start('x', 'y', 'z')
            await fleet.wait_for_grants('a')
            await anyio.sleep(5)
            await scenario(fleet)
            tasks.cancel_scope.cancel()
        return fleet

    return virtualtime.run(run)


def _register(fleet, **changes):
    for node in fleet.nodes.values():
        entry = node.groups.roster.find('a')
        node.groups.roster.put(dataclasses.replace(entry, **changes))


def test_a_primary_that_was_started_again_is_replaced():
    """Guards against a group in which nobody may use the granted primary."""

    async def scenario(fleet):
        _register(fleet, born_ms=8)
        await anyio.sleep(REPLACEMENT_LIMIT_S)
        granted = set(fleet.granted.values())
        assert granted == {fleet.group.newest_primary.endpoint_id}

    assert [call.endpoint_id for call in _run(scenario).promotions] in (
        ['b'],
        ['c'],
    )


def test_a_registration_of_another_writer_does_not_replace_a_primary():
    """The endpoint writes its own registration again within two seconds."""

    async def scenario(fleet):
        for _ in range(5):
            _register(fleet, born_ms=0)
            _register(fleet, born_ms=8)
            await anyio.sleep(1.5)
            _register(fleet, born_ms=0)
            await anyio.sleep(1)
            _register(fleet, service='other')
            await anyio.sleep(1.5)
            _register(fleet, service='svc')
            await anyio.sleep(1)

    assert not _run(scenario).promotions
