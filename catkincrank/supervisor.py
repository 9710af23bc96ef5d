"""Supervises every group that a keeper is on duty for."""

import itertools
import random
from collections.abc import Callable
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.acknowledgements.bounded import BoundedAcknowledgement
from catkincrank.confirmation import PeerReport
from catkincrank.endpoint import (
    EndpointAddress,
    EndpointConnection,
    StatementError,
)
from catkincrank.errors import EndpointError
from catkincrank.failoveractions import (
    Action,
    Done,
    Failed,
    Follow,
    InstanceAction,
    JournalEntry,
    Promote,
    Seal,
)
from catkincrank.instance import InstanceStatus, Observation
from catkincrank.journal import Event
from catkincrank.logs import EventRecorder
from catkincrank.messages import SuspicionReport
from catkincrank.settings import Service
from catkincrank.supervision import (
    ReportSuspicion,
    Supervision,
    SupervisionOptions,
)
from catkincrank.termclaims import TermClaims
from catkincrank.watch import Watch
from catkincrank.watches import WatchSet

__all__ = ('Supervisor',)

_TICK_INTERVAL_S = 0.1
_PROMOTION_DELAYS_S = {  # noqa: WPS407
    'bounded': BoundedAcknowledgement.promotion_delay_s,
}


@final
class Supervisor:
    """Carries out the actions that supervisions decide on.

    Args:
        watches: Connections to the instances.
        claims: The groups' rows in the store.
        recorder: Writes decisions to the journal and the log.
        tasks: Task group in which actions run.
        send_report: Sends a suspicion to the other keepers on duty.
        keeper: Name of the keeper and its incarnation, unique to it.
        zone: Availability zone of the keeper.

    Attributes:
        supervisions: The supervisions by group.
    """

    def __init__(
        self,
        watches: WatchSet,
        claims: TermClaims,
        recorder: EventRecorder,
        tasks: TaskGroup,
        send_report: Callable[[str, SuspicionReport], None],
        *,
        keeper: str,
        zone: str,
    ) -> None:
        self.supervisions: dict[str, Supervision] = {}
        self._watches = watches
        self._claims = claims
        self._recorder = recorder
        self._tasks = tasks
        self._send_report = send_report
        self._keeper = keeper
        self._zone = zone
        self._numbers = itertools.count(1)

    def set_group(self, group: str, service: Service, rank: int) -> None:
        """Start to supervise ``group``, or change its options."""
        members = tuple(endpoint.name for endpoint in service.endpoints)
        known = self.supervisions.get(group)
        if known is not None and known.options.members == members:
            keeper = known.options.keeper
            known.change_options(
                self._make_options(members, keeper, service, rank),
            )
            return
        # A ballot must never be used twice, and a new supervision does not
        # know the ballots of an earlier supervision of this group.
        keeper = '{0}.{1}'.format(self._keeper, next(self._numbers))
        self.supervisions[group] = Supervision(
            self._make_options(members, keeper, service, rank),
            anyio.current_time(),
            random.Random(),
        )

    def drop_group(self, group: str) -> None:
        """Stop supervising ``group``."""
        self.supervisions.pop(group, None)

    def record_probe(self, group: str, endpoint: str) -> None:
        """Record that an instance was probed for its status."""
        supervision = self.supervisions.get(group)
        if supervision is not None:
            supervision.health.record_probe(endpoint, anyio.current_time())

    def record_answer(self, group: str, observation: Observation) -> None:
        """Record an instance's status."""
        supervision = self.supervisions.get(group)
        if supervision is not None:
            supervision.health.record_answer(
                observation.status,
                anyio.current_time(),
            )

    def record_failure(self, group: str, endpoint: str, reason: str) -> None:
        """Record that an instance did not answer."""
        supervision = self.supervisions.get(group)
        if supervision is not None:
            supervision.health.record_failure(endpoint, reason)

    def record_report(self, report: SuspicionReport) -> None:
        """Record another keeper's suspicion."""
        supervision = self.supervisions.get(report.group)
        if supervision is not None and report.is_suspect:
            peer_report = PeerReport(
                report.keeper,
                report.zone,
                report.silent_s,
                anyio.current_time(),
            )
            supervision.record_report(report.endpoint, peer_report)

    async def run(self) -> None:
        """Tick the supervision of every group until cancelled."""
        while True:
            now = anyio.current_time()
            for group, supervision in tuple(self.supervisions.items()):
                self._start_actions(group, supervision, supervision.tick(now))
                if supervision.needs_fresh_statuses:
                    self._watches.expedite(group)
            await anyio.sleep(_TICK_INTERVAL_S)

    def _make_options(
        self,
        members: tuple[str, ...],
        keeper: str,
        service: Service,
        rank: int,
    ) -> SupervisionOptions:
        return SupervisionOptions(
            members,
            keeper,
            self._zone,
            service.on_unknown_position,
            _PROMOTION_DELAYS_S.get(service.acknowledgement, 0),
            rank,
        )

    def _start_actions(
        self,
        group: str,
        supervision: Supervision,
        actions: list[Action],
    ) -> None:
        for action in actions:
            match action:
                case JournalEntry():
                    self._record(group, action)
                case ReportSuspicion():
                    self._report(group, supervision, action)
                case _:
                    self._tasks.start_soon(
                        self._perform,
                        group,
                        supervision,
                        action,
                    )

    async def _perform(
        self,
        group: str,
        supervision: Supervision,
        action: Action,
    ) -> None:
        if isinstance(action, InstanceAction):
            event = await self._perform_on_instance(group, action)
        else:
            event = await self._claims.perform(group, action)
        if self.supervisions.get(group) is supervision:
            now = anyio.current_time()
            self._start_actions(
                group,
                supervision,
                supervision.handle(event, now),
            )

    async def _perform_on_instance(
        self,
        group: str,
        action: InstanceAction,
    ) -> Done | Failed:
        watches = self._watches.groups.get(group, {})
        watch = watches.get(action.endpoint)
        if watch is None:
            return Failed(action, 'the instance is not watched')
        try:
            status = await _run_action(watch, action, watches)
        except (EndpointError, StatementError) as error:
            return Failed(action, str(error))
        return Done(action, status)

    def _record(self, group: str, entry: JournalEntry) -> None:
        self._recorder.record(
            Event(
                entry.name,
                group,
                entry.cause,
                entry.outcome,
                dict(entry.evidence),
            ),
        )

    def _report(
        self,
        group: str,
        supervision: Supervision,
        report: ReportSuspicion,
    ) -> None:
        options = supervision.options
        self._send_report(
            group,
            SuspicionReport(
                group,
                report.endpoint,
                options.keeper,
                options.zone,
                is_suspect=True,
                silent_s=report.silent_s,
            ),
        )


async def _run_action(
    watch: Watch,
    action: InstanceAction,
    watches: dict[str, Watch],
) -> InstanceStatus:
    async def work(connection: EndpointConnection) -> InstanceStatus:  # noqa: WPS430
        if isinstance(action, Seal):
            return await connection.seal(action.ballot)
        if isinstance(action, Promote):
            return await connection.promote(action.ballot)
        if isinstance(action, Follow):
            primary = _find_address(watches, action.primary)
            return await connection.follow(primary, action.ballot)
        return await connection.fetch_status()

    return await watch.command(work)


def _find_address(
    watches: dict[str, Watch],
    endpoint: str,
) -> EndpointAddress:
    watch = watches.get(endpoint)
    if watch is None:
        raise EndpointError('the primary is not watched', was_sent=False)
    return watch.target.address
