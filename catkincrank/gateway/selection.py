"""Selects the successor of a primary."""

from typing import final

import anyio

from catkincrank.gateway.candidates import (
    Candidate,
    CandidateRanking,
    is_newer_primary,
)
from catkincrank.gateway.durableselection import DurableSelection
from catkincrank.gateway.endpointprobe import EndpointProber
from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.suspicion import Cause
from catkincrank.logs import log_event

__all__ = ('Selection',)

# Time limit for a replica to receive the whole log of a leaving primary.
_CATCH_UP_LIMIT_S = 1.0
_CATCH_UP_STEP_S = 0.03


@final
class Selection:
    """Selects successors and demotes replaced primaries.

    Args:
        groups: Local state of the groups.
        prober: Queries endpoints.

    Attributes:
        ranking: Order of preference of the successors.
    """

    __slots__ = ('_durable', '_groups', '_prober', 'ranking')

    def __init__(self, groups: Groups, prober: EndpointProber) -> None:
        self._groups = groups
        self._prober = prober
        self.ranking = CandidateRanking()
        self._durable = DurableSelection(groups, prober, self.ranking)

    async def demote(self, record: GroupRecord) -> None:
        """Demote a group's primary if another endpoint can take over.

        Without a successor the primary is not demoted: the platform ignores a
        promotion of the current primary, so it could not become primary again.
        """
        if await self._has_successor(record):
            entry = self._groups.roster.find(record.primary)
            if entry is not None:
                await self._demote(entry, record)

    async def choose_successor(
        self,
        record: GroupRecord,
        cause: Cause,
        *,
        may_keep: bool,
    ) -> Candidate | None:
        """Return the successor.

        Args:
            record: Row of the group.
            cause: Why the primary is replaced.
            may_keep: Whether no other endpoint can have been promoted since
                the group was marked, so that the primary may be kept.
        """
        if self._durable.is_needed(record.service):
            return await self._choose_durable(record, may_keep=may_keep)
        found = await self.query_all(record.service)
        newer_primaries = [
            candidate
            for candidate in found
            if is_newer_primary(candidate[1], record)
        ]
        if newer_primaries:
            return max(newer_primaries, key=_term_of)
        usable = _list_successors(found, record)
        if not usable:
            return await self._choose_previous(record, found, may_keep=may_keep)
        if cause is Cause.LEAVING:
            return await self._catch_up(record, usable, found)
        return max(
            usable,
            key=lambda one: self.ranking.rank(record, one[0], one[1].received),
        )

    async def query_all(self, service: str) -> list[Candidate]:
        """Return the registered endpoints of a group that report a state."""
        return await self.query(self._groups.roster.of_service(service))

    async def query(self, entries: list[EndpointEntry]) -> list[Candidate]:
        """Return those endpoints that report a state."""
        found: list[Candidate] = []

        async def query_one(entry: EndpointEntry) -> None:  # noqa: WPS430
            state = await self._prober.probe_state(entry)
            if state is not None:
                found.append((entry, state))

        async with anyio.create_task_group() as tasks:
            for entry in entries:
                tasks.start_soon(query_one, entry)
        return found

    async def _has_successor(self, record: GroupRecord) -> bool:
        if self._durable.is_needed(record.service):
            return await self._durable.may_demote(record)
        found = await self.query_all(record.service)
        return bool(_list_successors(found, record))

    async def _choose_durable(
        self, record: GroupRecord, *, may_keep: bool
    ) -> Candidate | None:
        chosen = await self._durable.choose(record, may_keep=may_keep)
        if chosen is None:
            found = await self.query_all(record.service)
            await self._demote_replaced(record, found)
        return chosen

    async def _choose_previous(
        self,
        record: GroupRecord,
        found: list[Candidate],
        *,
        may_keep: bool,
    ) -> Candidate | None:
        """Return the old primary if there is no other candidate.

        Otherwise demotes endpoints that were replaced earlier and still act as
        primaries, so that the next attempt can choose them.
        """
        staying = [
            candidate for candidate in found if not candidate[0].is_draining
        ]
        for entry, state in staying:
            is_recorded = entry.endpoint_id == record.primary
            if is_recorded and (may_keep or not state.is_primary):
                return entry, state
        await self._demote_replaced(record, staying)
        log_event('no_successor', 'WARNING', service=record.service)
        return None

    async def _demote_replaced(
        self,
        record: GroupRecord,
        found: list[Candidate],
    ) -> None:
        for entry, state in found:
            if state.is_primary and entry.endpoint_id != record.primary:
                await self._demote(entry, record)  # noqa: WPS476

    async def _demote(self, entry: EndpointEntry, record: GroupRecord) -> None:
        state = await self._prober.probe_state(
            entry,
            lambda link: link.demote(record.term + 1),
        )
        log_event(
            'primary_demoted',
            service=record.service,
            endpoint=entry.endpoint_id,
            confirmed=state is not None and not state.is_primary,
        )

    async def _catch_up(
        self,
        record: GroupRecord,
        usable: list[Candidate],
        found: list[Candidate],
    ) -> Candidate:
        """Wait until a replica has received the log of the old primary."""
        target = max(state.received for _, state in found)
        ends_at = anyio.current_time() + _CATCH_UP_LIMIT_S
        best = max(usable, key=_received_of)
        while best[1].received < target and anyio.current_time() < ends_at:
            await anyio.sleep(_CATCH_UP_STEP_S)
            found = await self.query_all(record.service)
            best = max(
                _list_successors(found, record),
                key=_received_of,
                default=best,
            )
        return best


def _list_successors(
    found: list[Candidate], record: GroupRecord
) -> list[Candidate]:
    """Return the replicas that can take over from a group's primary."""
    return [
        (entry, state)
        for entry, state in found
        if entry.endpoint_id != record.primary
        and not (entry.is_draining or state.is_primary)
    ]


def _received_of(candidate: Candidate) -> Position:
    return candidate[1].received


def _term_of(candidate: Candidate) -> int:
    return candidate[1].term
