"""Replaces the primary of one group, step by step."""

from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    HOLDER_KEY,
    GroupRecord,
    encode_record,
    group_key,
)
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.inspection import Inspector
from catkincrank.gateway.ledger import Ledger
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.promoter import Promoter, PromotionError
from catkincrank.gateway.relay import TableRelay
from catkincrank.gateway.revocation import Revocation
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.rowstore import Condition, RowStore
from catkincrank.gateway.suspicion import Cause
from catkincrank.gateway.tenure import Tenure
from catkincrank.logs import log_event

__all__ = ('Succession',)

_Candidate = tuple[EndpointEntry, EndpointState]
# How long a replica may take to receive what a leaving primary has.
_CATCH_UP_LIMIT_S = 1.0
_CATCH_UP_STEP_S = 0.03
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
        '_store',
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
        chosen = await self._choose(record, cause)
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
        return await self._write(record.replace(), version)

    async def _fence(self, record: GroupRecord, marked: int) -> None:
        """Return once nobody acts for the old primary any more."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._demote, record)
            await self._revocation.revoke_group(
                record.service,
                marked,
                self._tenure.token,
            )
            # Grants have ended: the old primary's answer decides nothing more.
            tasks.cancel_scope.cancel()

    async def _demote(self, record: GroupRecord) -> EndpointState | None:
        entry = self._groups.roster.find(record.primary)
        if entry is None:
            return None
        state = await self._inspector.ask(
            entry,
            lambda link: link.demote(record.term + 1),
        )
        log_event(
            'primary_demoted',
            service=record.service,
            endpoint=record.primary,
            confirmed=state is not None and not state.is_primary,
        )
        return state

    async def _choose(
        self,
        record: GroupRecord,
        cause: Cause,
    ) -> _Candidate | None:
        """Return the endpoint that takes over."""
        found = await self._ask_all(record.service)
        leading = [
            one
            for one in found
            if one[1].is_primary and one[1].term > record.term
        ]
        if leading:
            return max(leading, key=_term_of)
        usable = [one for one in found if _may_lead(one)]
        others = [one for one in usable if one[0].endpoint_id != record.primary]
        usable = others or usable
        if not usable:
            log_event('no_successor', 'WARNING', service=record.service)
            return None
        if cause is Cause.LEAVING:
            return await self._catch_up(record, usable, found)
        return max(usable, key=_received_of)

    async def _catch_up(
        self,
        record: GroupRecord,
        usable: list[_Candidate],
        found: list[_Candidate],
    ) -> _Candidate:
        """Wait until a replica has what the old primary had."""
        goal = max(state.received for _, state in found)
        ends_at = anyio.current_time() + _CATCH_UP_LIMIT_S
        best = max(usable, key=_received_of)
        while best[1].received < goal and anyio.current_time() < ends_at:
            await anyio.sleep(_CATCH_UP_STEP_S)
            found = await self._ask_all(record.service)
            again = [
                one
                for one in found
                if _may_lead(one) and one[0].endpoint_id != record.primary
            ]
            best = max(again, key=_received_of, default=best)
        return best

    async def _ask_all(self, service: str) -> list[_Candidate]:
        found: list[_Candidate] = []

        async def ask(entry: EndpointEntry) -> None:  # noqa: WPS430
            state = await self._inspector.ask(entry)
            if state is not None:
                found.append((entry, state))

        async with anyio.create_task_group() as tasks:
            for entry in self._groups.roster.of_service(service):
                tasks.start_soon(ask, entry)
        return found

    async def _appoint(
        self,
        record: GroupRecord,
        chosen: _Candidate,
    ) -> _Candidate | None:
        """Promote an endpoint; return it once it leads."""
        entry, state = chosen
        if state.is_primary and state.term > record.term:
            return chosen
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
        chosen: _Candidate,
    ) -> _Candidate | None:
        entry = chosen[0]
        ends_at = anyio.current_time() + _LEAD_LIMIT_S
        while anyio.current_time() < ends_at:
            state = await self._inspector.ask(entry)
            if state is not None and _leads(state, record):
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


def _leads(state: EndpointState, record: GroupRecord) -> bool:
    return state.is_primary and state.term > record.term


def _may_lead(candidate: _Candidate) -> bool:
    entry, state = candidate
    return not (entry.is_draining or state.is_primary)


def _received_of(candidate: _Candidate) -> tuple:
    return candidate[1].received


def _term_of(candidate: _Candidate) -> int:
    return candidate[1].term
