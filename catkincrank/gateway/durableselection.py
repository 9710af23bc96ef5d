"""Selects successors in groups that are replicated synchronously."""

from typing import final

import anyio

from catkincrank.gateway.candidates import (
    Candidate,
    CandidateRanking,
    is_newer_primary,
)
from catkincrank.gateway.durability import GroupLogs, LogReport
from catkincrank.gateway.endpointprobe import EndpointProber
from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.logs import log_event

__all__ = ('DurableSelection',)

# Time after which the replacement starts over, which checks the lease and asks
# for the registered endpoints anew.
_PROOF_LIMIT_S = 3.0
# Time limit for a replica to receive the whole log of a primary that answers.
_CATCH_UP_LIMIT_S = 1.0
_STEP_S = 0.03


@final
class DurableSelection:
    """Selects successors that hold every acknowledged commit.

    Args:
        groups: Local state of the groups.
        prober: Queries endpoints.
        ranking: Order of preference of the successors.
    """

    __slots__ = ('_groups', '_prober', '_ranking')

    def __init__(
        self,
        groups: Groups,
        prober: EndpointProber,
        ranking: CandidateRanking,
    ) -> None:
        self._groups = groups
        self._prober = prober
        self._ranking = ranking

    def is_needed(self, service: str) -> bool:
        """Return whether a group is replicated synchronously."""
        return self._find_sync_replicas(service) > 0

    async def may_demote(self, record: GroupRecord) -> bool:
        """Return whether a successor is certain without the primary's log.

        A demoted primary sends replicas nothing more, and the platform ignores
        its promotion, so it could not become primary again.
        """
        logs = await self._read_logs(record)
        sync_replicas = self._find_sync_replicas(record.service)
        replicas = self._list_replicas(record, logs)
        # A leaving replica may have the longest log; the others then need what
        # the primary has.
        is_any_leaving = any(one.entry.is_draining for one in replicas)
        is_enough = len(logs.list_unknown()) < sync_replicas
        return bool(replicas) and is_enough and not is_any_leaving

    async def choose(
        self, record: GroupRecord, *, may_keep: bool
    ) -> Candidate | None:
        """Return the successor; ``None`` if none is certain in time.

        Endpoints that are too busy to report, or that do not answer, are asked
        again. A leaving replica is chosen if the old primary does not answer
        and no staying endpoint is certain; it is replaced in turn.

        Args:
            record: Row of the group.
            may_keep: Whether the old primary may remain.
        """
        began = anyio.current_time()
        while True:
            logs = await self._read_logs(record)
            waited_s = anyio.current_time() - began
            chosen = self._choose(record, logs, waited_s, may_keep=may_keep)
            if chosen is not None:
                return _as_candidate(record, chosen)
            if waited_s >= _PROOF_LIMIT_S:
                self._log_doubts(record, logs)
                return None
            await anyio.sleep(_STEP_S)

    def _choose(
        self,
        record: GroupRecord,
        logs: GroupLogs,
        waited_s: float,
        *,
        may_keep: bool,
    ) -> LogReport | None:
        newer = _find_newer_primary(record, logs)
        if newer is not None:
            return newer
        # Leaving endpoints would replace each other in turn.
        certain = [
            report
            for report in self._list_replicas(record, logs)
            if not logs.find_doubt(report)
            and not (report.entry.is_draining and logs.has_primary_answered)
        ]
        primary = logs.primary
        if primary is not None and waited_s < _CATCH_UP_LIMIT_S:
            certain = [
                report
                for report in certain
                if report.least_received >= primary.least_received
            ]
        if certain:
            return max(certain, key=lambda one: self._rank(record, one))
        is_kept = primary is not None and _may_remain(
            primary, may_keep=may_keep
        )
        return primary if is_kept and waited_s >= _CATCH_UP_LIMIT_S else None

    def _rank(
        self, record: GroupRecord, report: LogReport
    ) -> tuple[bool, tuple[bool, Position, int]]:
        """Return the preference for a successor; the greatest is chosen."""
        is_staying = not report.entry.is_draining
        return is_staying, self._ranking.rank(
            record, report.entry, report.least_received
        )

    async def _read_logs(self, record: GroupRecord) -> GroupLogs:
        members = self._groups.list_receivers(
            record.service, anyio.current_time()
        )
        reports: list[LogReport] = []

        async def read_one(entry: EndpointEntry) -> None:  # noqa: WPS430
            found = await self._prober.probe(entry)
            if found.state is not None or found.applied is not None:
                reports.append(LogReport(entry, found.state, found.applied))

        async with anyio.create_task_group() as tasks:
            for entry in members:
                tasks.start_soon(read_one, entry)
        return GroupLogs(
            record,
            self._find_sync_replicas(record.service),
            members,
            reports,
            self._groups.evidence(record.service).positions,
        )

    def _find_sync_replicas(self, service: str) -> int:
        catalog = self._groups.catalog
        found = catalog and catalog.services.get(service)
        return found.sync_replicas if found else 0

    def _list_replicas(
        self, record: GroupRecord, logs: GroupLogs
    ) -> list[LogReport]:
        """Return the registered replicas that answered."""
        return [
            report
            for report in logs.reports
            if report.entry.endpoint_id != record.primary
            and not (report.state and report.state.is_primary)
            and self._groups.roster.find(report.entry.endpoint_id)
        ]

    def _log_doubts(self, record: GroupRecord, logs: GroupLogs) -> None:
        log_event(
            'successor_uncertain',
            'WARNING',
            service=record.service,
            causes={
                report.entry.endpoint_id: logs.find_doubt(report)
                for report in self._list_replicas(record, logs)
            },
            unknown=logs.list_unknown(),
        )


def _find_newer_primary(
    record: GroupRecord, logs: GroupLogs
) -> LogReport | None:
    for report in logs.reports:
        state = report.state
        if state is not None and is_newer_primary(state, record):
            return report
    return None


def _may_remain(primary: LogReport, *, may_keep: bool) -> bool:
    """Return whether the old primary may be promoted again or kept."""
    if primary.entry.is_draining:
        return False
    return may_keep or not primary.state.is_primary


def _as_candidate(record: GroupRecord, report: LogReport) -> Candidate:
    state = report.state or EndpointState(
        is_primary=False,
        term=record.term,
        received=report.least_received,
        promised=record.term,
    )
    return report.entry, state
