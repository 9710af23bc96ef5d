"""Monitors the primaries while this process holds the failover lease."""

import random
from functools import partial
from typing import final

import anyio

from catkincrank.gateway.endpointprobe import EndpointProber
from catkincrank.gateway.failoverlease import FailoverLease
from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.peermessages import ReachQuery, ReachReply
from catkincrank.gateway.peers import PeerClient
from catkincrank.gateway.replacement import PrimaryReplacement
from catkincrank.gateway.resilience import run_restarting
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.suspicion import (
    Cause,
    PrimaryObservation,
    find_cause,
    is_voted_unreachable,
)
from catkincrank.logs import log_event

__all__ = ('PrimaryMonitor',)

# Interval between two probes of a primary, in seconds; the shorter one applies
# while the last probe was not answered.
_PROBE_INTERVAL_S = 0.4
_SUSPECT_INTERVAL_S = 0.1
_VOTE_TIMEOUT_S = 0.6
# Peers that vote on a primary. Each opens a connection to it, and endpoints
# accept fewer connections than a large fleet has members.
_MAX_VOTERS = 11
# Interval at which the configuration is checked for new services, in seconds.
_SERVICE_SCAN_INTERVAL_S = 0.4
# Answered statements replace probes, but the role of a primary is still probed
# at this interval, in seconds.
_ROLE_CHECK_INTERVAL_S = 2.0


@final
class _ProbeHistory:
    """Results of earlier probes of one primary."""

    __slots__ = ('failed_probes', 'probed_at', 'unregistered_since')

    def __init__(self) -> None:
        self.probed_at: float = 0
        self.failed_probes = 0
        self.unregistered_since: float | None = None


@final
class PrimaryMonitor:
    """Monitors the primary of every group.

    Args:
        groups: Local state of the groups.
        fleet: State of the fleet's table.
        lease: Lease on the failover duty.
        prober: Probes endpoints.
        replacement: Performs replacements.
        client: Sends requests to peers.
    """

    __slots__ = (
        '_client',
        '_fleet',
        '_groups',
        '_lease',
        '_prober',
        '_replacement',
    )

    def __init__(
        self,
        groups: Groups,
        fleet: FleetState,
        lease: FailoverLease,
        prober: EndpointProber,
        replacement: PrimaryReplacement,
        client: PeerClient,
    ) -> None:
        self._groups = groups
        self._fleet = fleet
        self._lease = lease
        self._prober = prober
        self._replacement = replacement
        self._client = client

    async def answer(self, query: ReachQuery) -> ReachReply:
        """Probe an endpoint for a peer."""
        entry = self._groups.roster.find(query.endpoint)
        if entry is None:
            return ReachReply(is_reachable=False)
        found = await self._prober.probe(entry)
        return ReachReply(is_reachable=found.is_alive)

    async def run(self) -> None:
        """Monitor each group while the lease is held, until cancelled."""
        monitored: set[str] = set()
        await self._lease.wait_held()
        async with anyio.create_task_group() as tasks:
            while True:
                catalog = self._groups.catalog
                services = set(catalog.services) if catalog else set()
                for service in services - monitored:
                    tasks.start_soon(
                        run_restarting,
                        'monitor of {0}'.format(service),
                        partial(self._monitor_group, service),
                    )
                monitored |= services
                await self._prober.retain_only(
                    self._groups.roster.list_entries()
                )
                await anyio.sleep(_SERVICE_SCAN_INTERVAL_S)

    async def _monitor_group(self, service: str) -> None:
        history = _ProbeHistory()
        while True:
            if not self._lease.is_held:
                history = _ProbeHistory()
                await self._lease.wait_held()
            await self._check_primary(service, history)
            is_healthy = not history.failed_probes
            await anyio.sleep(
                _PROBE_INTERVAL_S if is_healthy else _SUSPECT_INTERVAL_S
            )

    async def _check_primary(
        self, service: str, history: _ProbeHistory
    ) -> None:
        if not self._fleet.is_confirmed(service):
            if self._lease.may_confirm:
                await self._replacement.confirm_primary(service)
            return
        record = self._fleet.records[service][1]
        cause = find_cause(record, await self._observe(record, history))
        if cause is Cause.UNREACHABLE and not await self._has_failed(record):
            log_event(
                'primary_partly_reachable',
                service=service,
                endpoint=record.primary,
            )
            history.failed_probes = 0
            return
        if cause is not None:
            await self._replacement.replace(service, cause)
            history.failed_probes = 0
            history.unregistered_since = None

    async def _observe(
        self, record: GroupRecord, history: _ProbeHistory
    ) -> PrimaryObservation:
        now = anyio.current_time()
        entry = self._groups.roster.find(record.primary)
        # Another writer may have registered it for another group.
        if entry is None or entry.service != record.service:
            return await self._observe_unregistered(record, history, now)
        is_same_start = entry.start == (record.primary, record.born_ms)
        if is_same_start:
            history.unregistered_since = None
        elif history.unregistered_since is None:
            history.unregistered_since = now
        if self._has_answered(entry, history, now):
            return PrimaryObservation(entry, None, 0, 0)
        found = await self._prober.probe(entry)
        history.probed_at = now
        history.failed_probes = (
            0 if found.is_alive else history.failed_probes + 1
        )
        restarted_s = 0 if is_same_start else now - history.unregistered_since
        return PrimaryObservation(
            entry, found.state, history.failed_probes, 0, restarted_s
        )

    async def _observe_unregistered(
        self,
        record: GroupRecord,
        history: _ProbeHistory,
        now: float,
    ) -> PrimaryObservation:
        """Probe a primary whose registration is gone.

        The registration may have expired only because of a store outage; a
        primary that does not answer the probe either is considered gone.
        """
        if history.unregistered_since is None:
            history.unregistered_since = now
        lapsed = self._groups.roster.find_lapsed(record.primary)
        found = None
        if lapsed is not None:
            found = await self._prober.probe(lapsed)
        is_alive = found is not None and found.is_alive
        history.failed_probes = (
            0 if is_alive or lapsed is None else history.failed_probes + 1
        )
        unregistered_s = now - history.unregistered_since
        return PrimaryObservation(
            None, None, history.failed_probes, unregistered_s
        )

    def _has_answered(
        self,
        entry: EndpointEntry,
        history: _ProbeHistory,
        now: float,
    ) -> bool:
        """Return whether an answered statement makes a probe unnecessary.

        A probe is still due from time to time to check the primary's role.
        """
        evidence = self._groups.evidence(entry.service)
        answered_at = evidence.find_answered_at(entry)
        is_due = now >= history.probed_at + _ROLE_CHECK_INTERVAL_S
        is_recent = now < answered_at + _PROBE_INTERVAL_S
        return is_recent and not (is_due or history.failed_probes)

    async def _has_failed(self, record: GroupRecord) -> bool:
        """Return whether a second probe and the votes confirm a failure."""
        votes: list[bool] = []

        async def poll() -> None:  # noqa: WPS430
            votes.append(await self._poll_peers(record))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poll)
            entry = self._groups.roster.find(record.primary)
            found = entry and await self._prober.probe(entry)
        is_alive = found is not None and found.is_alive
        return not is_alive and all(votes)

    async def _poll_peers(self, record: GroupRecord) -> bool:
        """Return whether the peers vote that the primary is unreachable."""
        query = ReachQuery(record.service, record.primary)
        others = self._fleet.list_others()
        voters = random.sample(others, min(len(others), _MAX_VOTERS))
        answers = await self._client.ask_all(
            voters,
            query,
            _VOTE_TIMEOUT_S,
        )
        votes = [
            answer.is_reachable
            for answer in answers.values()
            if isinstance(answer, ReachReply)
        ]
        return is_voted_unreachable(votes, len(voters))
