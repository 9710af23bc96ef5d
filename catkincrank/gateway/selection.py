"""Selects the successor of a primary."""

from collections import Counter
from functools import partial
from typing import final

import anyio

from catkincrank.gateway.endpointprobe import EndpointProber
from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.suspicion import Cause
from catkincrank.logs import log_event

__all__ = ('Candidate', 'Selection', 'is_newer_primary')

Candidate = tuple[EndpointEntry, EndpointState]
# Time limit for a replica to receive the whole log of a leaving primary.
_CATCH_UP_LIMIT_S = 1.0
_CATCH_UP_STEP_S = 0.03
# The platform ignores the promotion of an endpoint that it takes for the
# primary. After this many promotions without an effect, an endpoint with a
# shorter log is chosen; the first ones may only have been slow.
_MAX_INEFFECTIVE = 3


@final
class Selection:
    """Selects successors and demotes replaced primaries.

    Args:
        groups: Local state of the groups.
        prober: Queries endpoints.
    """

    __slots__ = ('_groups', '_ineffective', '_prober')

    def __init__(self, groups: Groups, prober: EndpointProber) -> None:
        self._groups = groups
        self._prober = prober
        # Promotions without an effect by service, term of the replaced primary
        # and endpoint.
        self._ineffective: Counter[tuple[str, int, str]] = Counter()

    def count_ineffective(
        self, record: GroupRecord, entry: EndpointEntry
    ) -> None:
        """Count a promotion that did not take effect in time."""
        key = (record.service, record.term, entry.endpoint_id)
        self._ineffective[key] += 1

    async def demote(self, record: GroupRecord) -> None:
        """Demote a group's primary if another endpoint can take over.

        Without a successor the primary is not demoted: the platform ignores a
        promotion of the current primary, so it could not become primary again.
        """
        found = await self.query_all(record.service)
        if _list_successors(found, record):
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
        return max(usable, key=partial(self._rank, record))

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

    def _rank(
        self, record: GroupRecord, candidate: Candidate
    ) -> tuple[bool, Position, int]:
        """Return the preference for a successor; the greatest is chosen."""
        entry, state = candidate
        key = (record.service, record.term, entry.endpoint_id)
        failed = self._ineffective[key]
        return failed < _MAX_INEFFECTIVE, state.received, -failed

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


def is_newer_primary(state: EndpointState, record: GroupRecord) -> bool:
    """Return whether an endpoint is primary in a later term than recorded."""
    return state.is_primary and state.term > record.term


def _received_of(candidate: Candidate) -> Position:
    return candidate[1].received


def _term_of(candidate: Candidate) -> int:
    return candidate[1].term
