"""Proof that a log holds every commit that was acknowledged.

Where a group is replicated synchronously, a commit is acknowledged once some
number of replicas have received it. The longest log of the replicas has each of
these commits if fewer replicas than that number have not reported theirs.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import final

from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry

__all__ = ('GroupLogs', 'LogReport')

_NO_LOG = Position(0, 0)


@final
@dataclass(frozen=True, slots=True)
class LogReport:
    """What an endpoint reported of its log.

    Attributes:
        entry: The endpoint.
        state: Its state; ``None`` if it was too busy to report one.
        applied: Position that it has applied, if reported; it may have received
            more.
    """

    entry: EndpointEntry
    state: EndpointState | None = None
    applied: Position | None = None

    @property
    def least_received(self) -> Position:
        """Position that the endpoint is known to have received."""
        if self.state is not None:
            return self.state.received
        return self.applied or _NO_LOG


@final
class GroupLogs:
    """Logs of a group's endpoints once no commit can be acknowledged.

    Args:
        record: Row of the group, which names the old primary.
        sync_replicas: Replicas that receive a commit before it is acknowledged.
        members: Endpoints that may have received commits.
        reports: Their reports, by endpoint.
        positions: Log positions that the endpoints have had. One that reports
            less was restarted without its log.
    """

    __slots__ = (
        '_members',
        '_may_return',
        '_positions',
        '_record',
        '_reports',
        '_sync_replicas',
    )

    def __init__(
        self,
        record: GroupRecord,
        sync_replicas: int,
        members: Collection[EndpointEntry],
        reports: Iterable[LogReport],
        positions: Mapping[str, Position],
    ) -> None:
        self._record = record
        self._sync_replicas = sync_replicas
        self._members = [
            entry.endpoint_id
            for entry in members
            if entry.endpoint_id != record.primary
        ]
        # Whether the old primary, with its log, may answer later.
        self._may_return = any(
            entry.endpoint_id == record.primary for entry in members
        )
        self._reports = {one.entry.endpoint_id: one for one in reports}
        self._positions = positions

    @property
    def reports(self) -> list[LogReport]:
        """Reports of all endpoints that answered."""
        return list(self._reports.values())

    @property
    def has_primary_answered(self) -> bool:
        """Whether the old primary answered, in the start of the record."""
        report = self._reports.get(self._record.primary)
        return report is not None and self._is_same_start(report)

    @property
    def primary(self) -> LogReport | None:
        """Report of the old primary with the log that it had, if any."""
        report = self._reports.get(self._record.primary)
        if report is None or report.state is None:
            return None
        is_same_log = self._is_same_start(report) and self._is_intact(report)
        return report if is_same_log else None

    def list_unknown(self) -> list[str]:
        """Return the replicas whose received log is not known."""
        return [
            endpoint_id
            for endpoint_id in self._members
            if not self._is_known(endpoint_id)
        ]

    def find_doubt(self, report: LogReport) -> str:
        """Return why an endpoint may lack a commit; empty if it has all."""
        primary = self.primary
        received = report.least_received
        if primary is not None and received >= primary.least_received:
            return ''
        for endpoint_id in self._members:
            if self._find_held(endpoint_id) > received:
                return '{0} has had a longer log'.format(endpoint_id)
        own_id = report.entry.endpoint_id
        unknown = [one for one in self.list_unknown() if one != own_id]
        if len(unknown) < self._sync_replicas:
            return ''
        return 'no log position of {0}'.format(', '.join(sorted(unknown)))

    def _find_held(self, endpoint_id: str) -> Position:
        """Return the position that a replica is known to have received.

        What a replica lost in a restart counts while the old primary may answer
        with its log.
        """
        report = self._reports.get(endpoint_id)
        held = _NO_LOG if report is None else report.least_received
        if not self._may_return:
            return held
        return max(held, self._positions.get(endpoint_id, _NO_LOG))

    def _is_known(self, endpoint_id: str) -> bool:
        report = self._reports.get(endpoint_id)
        return report is not None and report.state is not None

    def _is_same_start(self, report: LogReport) -> bool:
        start = (self._record.primary, self._record.born_ms)
        return report.entry.start == start

    def _is_intact(self, report: LogReport) -> bool:
        known = self._positions.get(report.entry.endpoint_id, _NO_LOG)
        return report.least_received >= known
