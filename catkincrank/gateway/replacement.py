"""Replaces the primary of one group, step by step."""

from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.endpointprobe import Inspector
from catkincrank.gateway.failoverlease import Tenure
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    HOLDER_KEY,
    GroupRecord,
    encode_record,
    group_key,
)
from catkincrank.gateway.fleetstate import Ledger
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.promoter import Promoter, PromotionError
from catkincrank.gateway.relay import TableRelay
from catkincrank.gateway.revocation import Revocation
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.rowstore import Condition, RowStore
from catkincrank.gateway.selection import Candidate, Selection, leads
from catkincrank.gateway.suspicion import Cause
from catkincrank.logs import log_event

__all__ = ('Succession',)

# A promotion takes up to a second at the users.
_LEAD_LIMIT_S = 3.0
_LEAD_STEP_S = 0.04
_RETRY_PAUSE_S = 0.15
# A write that has no answer by now may have lost it: a tenth of a second is
# what the store takes ten times over.
_LOOK_S = 0.1


@final
class Succession:  # noqa: WPS214
    """Carries out replacements.

    Args:
        store: The platform's store.
        ledger: The fleet's table.
        groups: What is known of the groups.
        tenure: The duty to replace primaries.
        revocation: Makes others give up grants.
        inspector: Talks to endpoints.
        promoter: Appoints primaries.
        relay: Spreads the news.
    """

    __slots__ = (
        '_groups',
        '_inspector',
        '_ledger',
        '_promoter',
        '_relay',
        '_revocation',
        '_selection',
        '_store',
        '_untouched',
        '_tenure',
    )

    def __init__(  # noqa: WPS211
        self,
        store: RowStore,
        ledger: Ledger,
        groups: Groups,
        tenure: Tenure,
        revocation: Revocation,
        inspector: Inspector,
        promoter: Promoter,
        relay: TableRelay,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._groups = groups
        self._tenure = tenure
        self._revocation = revocation
        self._inspector = inspector
        self._promoter = promoter
        self._relay = relay
        self._selection = Selection(groups, inspector)
        # Versions of the marks after which nobody can have been promoted.
        self._untouched: dict[str, int] = {}

    async def record_first(self, service: str) -> None:
        """Record the primary of a group that has no row yet."""
        for entry in self._groups.roster.of_service(service):
            state = await self._inspector.ask(entry)  # noqa: WPS476
            if state is not None and state.is_primary:
                record = GroupRecord(
                    service,
                    entry.endpoint_id,
                    entry.born_ms,
                    state.term,
                )
                await self._write(record, 0)  # noqa: WPS476
                return

    async def replace(self, service: str, cause: Cause) -> None:
        """Replace the primary of a group.

        Returns early where the next step is not possible; the group stays
        marked, and the replacement is taken up again.
        """
        version, record = self._ledger.records[service]
        started = anyio.current_time()
        log_event(
            'replacement_started',
            service=service,
            endpoint=record.primary,
            term=record.term,
            cause=cause.value,
        )
        marked = await self._mark(version, record)
        if not marked:
            return
        await self._fence(record, marked)
        if not await self._tenure.wait_settled():
            return
        may_keep = self._untouched.get(service) == marked
        chosen = await self._selection.choose(record, cause, may_keep=may_keep)
        if chosen is None:
            await anyio.sleep(_RETRY_PAUSE_S)
            return
        leader = await self._appoint(record, chosen)
        if leader is None:
            return
        entry, state = leader
        await self._install(record, entry, state)
        await self._relay.nudge_all()
        log_event(
            'replacement_finished',
            service=service,
            endpoint=entry.endpoint_id,
            term=state.term,
            took_ms=round((anyio.current_time() - started) * 1000),
        )

    async def _mark(self, version: int, record: GroupRecord) -> int:
        """Mark the group in the store; return the version, 0 on failure.

        A group that is marked already is marked again: a write that named a
        successor, and got no answer, may be done yet, unless the row changes.
        """
        is_untouched = (
            not record.is_replacing
            or self._untouched.get(record.service) == version
        )
        marked = await self._write(record.replace(), version)
        if marked and is_untouched:
            self._untouched[record.service] = marked
        return marked

    async def _fence(self, record: GroupRecord, marked: int) -> None:
        """Return once nobody acts for the old primary any more."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._selection.demote, record)
            await self._revocation.revoke_group(
                record.service,
                marked,
                self._tenure.token,
            )
            # Grants have ended: the old primary's answer decides nothing more.
            tasks.cancel_scope.cancel()

    async def _appoint(
        self,
        record: GroupRecord,
        chosen: Candidate,
    ) -> Candidate | None:
        """Promote an endpoint; return it once it leads."""
        entry, state = chosen
        if state.is_primary:
            return chosen
        self._untouched.pop(record.service, None)
        if not await self._tenure.confirm():
            return None
        try:
            await self._promoter.promote(
                record.service,
                entry.endpoint_id,
                self._tenure.token,
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
        return await self._await_lead(record, chosen)

    async def _await_lead(
        self,
        record: GroupRecord,
        chosen: Candidate,
    ) -> Candidate | None:
        entry = chosen[0]
        ends_at = anyio.current_time() + _LEAD_LIMIT_S
        while anyio.current_time() < ends_at:
            state = await self._inspector.ask(entry)
            if state is not None and leads(state, record):
                return entry, state
            await anyio.sleep(_LEAD_STEP_S)
        return None

    async def _install(
        self,
        record: GroupRecord,
        entry: EndpointEntry,
        state: EndpointState,
    ) -> None:
        """Record the new primary, so that it is granted."""
        following = record.keep()
        if state.term != record.term:
            following = record.follow(
                entry.endpoint_id,
                entry.born_ms,
                state.term,
                state.received,
            )
        version, current = self._ledger.records[record.service]
        if current.term != record.term:
            return
        await self._write(following, version)

    async def _write(self, record: GroupRecord, version: int) -> int:
        """Write a group's row as the holder; return the store's version."""
        conditions = [
            Condition(HOLDER_KEY, self._tenure.token),
            Condition(group_key(record.service), version),
        ]
        written = 0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._look_for, record, version, tasks)
            written = await self._try_write(record, conditions)
            tasks.cancel_scope.cancel()
        await self._ledger.copy.try_reload()
        found_version, found = self._find_record(record.service)
        if found == record and found_version > version:
            return found_version
        return written

    async def _try_write(
        self,
        record: GroupRecord,
        conditions: list[Condition],
    ) -> int:
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
        return 0

    async def _look_for(
        self,
        record: GroupRecord,
        version: int,
        tasks: TaskGroup,
    ) -> None:
        """End the wait for a write once the row is there.

        The answer to a write may be lost; reading the row is sooner than the
        time limit of the call.
        """
        while True:
            await anyio.sleep(_LOOK_S)
            await self._ledger.copy.try_reload()
            found_version, found = self._find_record(record.service)
            if found == record and found_version > version:
                tasks.cancel_scope.cancel()

    def _find_record(self, service: str) -> tuple[int, GroupRecord | None]:
        return self._ledger.records.get(service, (0, None))
