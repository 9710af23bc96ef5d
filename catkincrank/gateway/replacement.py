"""Replaces the primary of a group: marking, fencing and promotion."""

from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.candidates import Candidate, is_newer_primary
from catkincrank.gateway.endpointprobe import EndpointProber
from catkincrank.gateway.failoverlease import FailoverLease
from catkincrank.gateway.firstprimary import FirstPrimary
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    GroupRecord,
    encode_record,
    group_key,
)
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.leaserows import HeldLease
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.primaryproof import find_objection
from catkincrank.gateway.promoter import Promoter, PromotionError
from catkincrank.gateway.relay import TableRelay
from catkincrank.gateway.revocation import Revocation
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.rowstore import (
    ORIGIN,
    Condition,
    Revision,
    RowStore,
)
from catkincrank.gateway.selection import Selection
from catkincrank.gateway.suspicion import Cause
from catkincrank.logs import log_event

__all__ = ('PrimaryReplacement',)

# Time limit for a promotion to take effect; it usually takes up to a second.
_PROMOTION_TIMEOUT_S = 3.0
_PROMOTION_POLL_S = 0.04
_RETRY_PAUSE_S = 0.15
# Interval at which the table is checked for a row whose write has had no answer
# yet. The store usually answers within a tenth of this, so the answer may have
# been lost.
_WRITE_CHECK_INTERVAL_S = 0.1


@final
class PrimaryReplacement:  # noqa: WPS214
    """Performs replacements.

    Args:
        store: The platform's store.
        fleet: State of the fleet's table.
        groups: Local state of the groups.
        lease: Lease on the failover duty.
        revocation: Revokes the grants of other processes.
        prober: Queries endpoints.
        promoter: Promotes endpoints.
        relay: Sends change notices to peers.
    """

    __slots__ = (
        '_first_primary',
        '_fleet',
        '_groups',
        '_lease',
        '_prober',
        '_promoter',
        '_relay',
        '_revocation',
        '_selection',
        '_store',
        '_unpromoted_marks',
    )

    def __init__(  # noqa: WPS211
        self,
        store: RowStore,
        fleet: FleetState,
        groups: Groups,
        lease: FailoverLease,
        revocation: Revocation,
        prober: EndpointProber,
        promoter: Promoter,
        relay: TableRelay,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._groups = groups
        self._lease = lease
        self._revocation = revocation
        self._prober = prober
        self._promoter = promoter
        self._relay = relay
        self._selection = Selection(groups, prober)
        self._first_primary = FirstPrimary()
        # Row revision of each group's mark, while no endpoint can have been
        # promoted since.
        self._unpromoted_marks: dict[str, Revision] = {}

    async def record_first_primary(self, service: str) -> None:
        """Record the primary of a group that has no row.

        If it has no primary either, a marked record is written, so that the
        endpoint with the longest log is promoted.
        """
        entries = self._groups.roster.of_service(service)
        answers = await self._selection.query(entries)
        record = self._first_primary.choose(
            service,
            len(entries),
            answers,
            self._lease.token,
            anyio.current_time(),
            may_mark=self._lease.is_settled,
        )
        if record is not None:
            await self._write(record.confirm(self._fleet.era), ORIGIN)

    async def confirm_primary(self, service: str) -> None:
        """Confirm a group's row after the store was restored from a copy.

        The copy may lack a promotion. Its record counts if this process held
        the lease until then, or if no endpoint knows a later term; otherwise
        the primary is replaced.
        """
        found = self._fleet.find_group(service)
        if found is None:
            await self.record_first_primary(service)
            return
        revision, record = found
        is_certain = not record.is_replacing and (
            self._lease.knows_all or await self._is_proved(record)
        )
        if is_certain:
            confirmed = record.confirm(self._fleet.era)
            if await self._write(confirmed, revision) != ORIGIN:
                log_event(
                    'record_confirmed',
                    service=service,
                    endpoint=record.primary,
                    term=record.term,
                    era=confirmed.era,
                )
                await self._relay.notify_peers()
        elif self._lease.is_settled:
            await self.replace(service, Cause.RESTORED)

    async def replace(self, service: str, cause: Cause) -> None:
        """Replace the primary of a group.

        Returns early if a step fails; the group stays marked and the
        replacement is tried again.
        """
        held = self._lease.held
        found = self._fleet.find_group(service)
        if held is None or found is None:
            return
        record = found[1].confirm(self._fleet.era)
        started = anyio.current_time()
        log_event(
            'replacement_started',
            service=service,
            endpoint=record.primary,
            term=record.term,
            cause=cause.value,
        )
        marked = await self._mark(found[0], record, cause)
        if marked == ORIGIN:
            return
        await self._fence(record, marked, held)
        if not await self._lease.wait_settled():
            return
        may_keep = self._unpromoted_marks.get(service) == marked
        chosen = await self._selection.choose_successor(
            record, cause, may_keep=may_keep
        )
        if chosen is None:
            await anyio.sleep(_RETRY_PAUSE_S)
            return
        promoted = await self._promote(record, chosen)
        if promoted is None:
            return
        entry, state = promoted
        await self._record_primary(record, entry, state)
        await self._relay.notify_peers()
        log_event(
            'replacement_finished',
            service=service,
            endpoint=entry.endpoint_id,
            term=state.term,
            took_ms=round((anyio.current_time() - started) * 1000),
        )

    async def _is_proved(self, record: GroupRecord) -> bool:
        """Return whether the endpoints show that the primary still leads."""
        entries = self._groups.list_members(
            record.service, anyio.current_time()
        )
        states = dict.fromkeys((entry.endpoint_id for entry in entries), None)
        states.update(
            (entry.endpoint_id, state)
            for entry, state in await self._selection.query(entries)
        )
        evidence = self._groups.evidence(record.service)
        objection = find_objection(
            record.primary, record.term, states, evidence.positions
        )
        if objection:
            log_event(
                'record_unproved', service=record.service, cause=objection
            )
        return not objection

    async def _mark(
        self, revision: Revision, record: GroupRecord, cause: Cause
    ) -> Revision:
        """Mark the group in the store.

        Returns:
            The revision of its row, or ``ORIGIN`` on failure.

        A marked group is marked again: an unanswered write of a successor may
        still be applied late, unless the version of the row has changed.
        """
        is_unpromoted = cause is not Cause.RESTORED and (
            not record.is_replacing
            or self._unpromoted_marks.get(record.service) == revision
        )
        marked = await self._write(record.mark_replacing(), revision)
        if marked != ORIGIN and is_unpromoted:
            self._unpromoted_marks[record.service] = marked
        return marked

    async def _fence(
        self, record: GroupRecord, marked: Revision, held: HeldLease
    ) -> None:
        """Wait until no process holds a grant for the old primary."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._selection.demote, record)
            await self._revocation.revoke_group(
                record.service,
                marked,
                held,
            )
            # All grants have ended, so the demotion need not be confirmed.
            tasks.cancel_scope.cancel()

    async def _promote(
        self,
        record: GroupRecord,
        chosen: Candidate,
    ) -> Candidate | None:
        """Promote an endpoint; return it once it is the primary."""
        entry, state = chosen
        if state.is_primary:
            return chosen
        self._unpromoted_marks.pop(record.service, None)
        if not await self._lease.confirm():
            return None
        try:
            await self._promoter.promote(
                record.service,
                entry.endpoint_id,
                self._lease.token,
            )
        except PromotionError as error:
            log_event(
                'promotion_failed',
                'WARNING',
                service=record.service,
                endpoint=entry.endpoint_id,
                cause=str(error),
            )
            if not error.may_have_applied:
                await anyio.sleep(_RETRY_PAUSE_S)
                return None
        promoted = await self._await_promotion(record, chosen)
        if promoted is None:
            self._selection.ranking.count_ineffective(record, entry)
        return promoted

    async def _await_promotion(
        self,
        record: GroupRecord,
        chosen: Candidate,
    ) -> Candidate | None:
        entry = chosen[0]
        ends_at = anyio.current_time() + _PROMOTION_TIMEOUT_S
        while anyio.current_time() < ends_at:
            state = await self._prober.probe_state(entry)
            if state is not None and is_newer_primary(state, record):
                return entry, state
            await anyio.sleep(_PROMOTION_POLL_S)
        return None

    async def _record_primary(
        self,
        record: GroupRecord,
        entry: EndpointEntry,
        state: EndpointState,
    ) -> None:
        """Record the new primary, so that processes get grants for it."""
        next_record = record.clear_replacing(entry.born_ms)
        if state.term != record.term:
            next_record = record.with_primary(
                entry.endpoint_id,
                entry.born_ms,
                state.term,
                state.received,
            )
        revision, current = self._find_record(record.service)
        if current is None or current.term != record.term:
            return
        await self._write(next_record, revision)

    async def _write(self, record: GroupRecord, revision: Revision) -> Revision:
        """Write a group's row as lease holder.

        Returns:
            The revision of the row, or ``ORIGIN`` if it was not written.
        """
        held = self._lease.held
        if held is None:
            return ORIGIN
        conditions = [
            *held.conditions,
            Condition(group_key(record.service), revision),
        ]
        written = ORIGIN
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_for_record, record, revision, tasks)
            written = await self._try_write(record, conditions)
            tasks.cancel_scope.cancel()
        await self._fleet.copy.try_reload()
        found_revision, found = self._find_record(record.service)
        if found == record and found_revision > revision:
            return found_revision
        return written if written.era == held.revision.era else ORIGIN

    async def _try_write(
        self,
        record: GroupRecord,
        conditions: list[Condition],
    ) -> Revision:
        key = group_key(record.service)
        try:
            return await self._store.write(
                FLEET_TABLE,
                conditions,
                {key: encode_record(record)},
            )
        except (ConflictError, StoreUnavailableError) as error:
            log_event(
                'record_unwritten',
                'WARNING',
                service=record.service,
                cause=str(error),
            )
        return ORIGIN

    async def _poll_for_record(
        self,
        record: GroupRecord,
        revision: Revision,
        tasks: TaskGroup,
    ) -> None:
        """Cancel the wait for a write once the table holds the row.

        If the answer to the write was lost, reading the row takes less time
        than waiting for the time-out of the call.
        """
        while True:
            await anyio.sleep(_WRITE_CHECK_INTERVAL_S)
            await self._fleet.copy.try_reload()
            found_revision, found = self._find_record(record.service)
            if found == record and found_revision > revision:
                tasks.cancel_scope.cancel()

    def _find_record(self, service: str) -> tuple[Revision, GroupRecord | None]:
        return self._fleet.records.get(service, (ORIGIN, None))
