"""Removals of members are known to processes that start later."""

import anyio
import pytest

from catkincrank.gateway.fleetrecords import (
    HeartbeatRecord,
    decode_heartbeat,
    encode_record,
)
from catkincrank.gateway.prunedmembers import PrunedMembers
from tests import virtualtime


@pytest.mark.parametrize(('age_s', 'is_listed'), [(5, True), (70, False)])
def test_removal_is_passed_on_to_a_process_that_starts_later(age_s, is_listed):
    """Guards against a removed process that nobody knows after a power loss."""

    async def scenario():
        holder = PrunedMembers()
        began_at = holder.listed_since
        await anyio.sleep(1)
        removed_at = anyio.current_time()
        holder.record(['vm1'])
        await anyio.sleep(age_s)
        body = encode_record(holder.make_heartbeat())
        # The row is read later than it was written.
        await anyio.sleep(2)
        later = PrunedMembers()
        later.apply(decode_heartbeat(body))
        assert later.listed_since >= began_at
        assert ('vm1' in later.removed_at) is is_listed
        if is_listed:
            assert later.removed_at['vm1'] >= removed_at

    virtualtime.run(scenario)


def test_removal_outlasts_a_reading_of_an_earlier_heartbeat():
    """Guards against a removal that the next holder is not told.

    The holder reads its own heartbeat from before the removal, after it has
    begun to write the removal.
    """

    async def scenario():
        holder = PrunedMembers()
        earlier = holder.make_heartbeat()
        await anyio.sleep(1)
        holder.record(['vm1'])
        until = holder.removed_at['vm1']
        holder.apply(earlier)
        assert holder.removed_at == {'vm1': until}
        # A write that is done late keeps its time, whatever is read back.
        holder.apply(holder.make_heartbeat())
        assert holder.removed_at == {'vm1': until}

    virtualtime.run(scenario)


def test_heartbeat_of_an_earlier_build_tells_nothing():
    async def scenario():
        found = PrunedMembers()
        since = found.listed_since
        await anyio.sleep(5)
        found.apply(decode_heartbeat(b'{}'))
        assert decode_heartbeat(b'{}') == HeartbeatRecord()
        assert found.listed_since == since

    virtualtime.run(scenario)
