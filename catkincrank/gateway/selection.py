"""Selects the endpoint that takes over from a primary."""

from typing import final

import anyio

from catkincrank.gateway.endpointprobe import Inspector
from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.suspicion import Cause
from catkincrank.logs import log_event

__all__ = ('Candidate', 'Selection', 'leads')

Candidate = tuple[EndpointEntry, EndpointState]
# How long a replica may take to receive what a leaving primary has.
_CATCH_UP_LIMIT_S = 1.0
_CATCH_UP_STEP_S = 0.03


@final
class Selection:
    """Selects successors, and demotes primaries that were replaced.

    Args:
        groups: What is known of the groups.
        inspector: Talks to endpoints.
    """

    __slots__ = ('_groups', '_inspector')

    def __init__(self, groups: Groups, inspector: Inspector) -> None:
        self._groups = groups
        self._inspector = inspector

    async def demote(self, record: GroupRecord) -> None:
        """Demote a group's primary, if another endpoint may take over.

        Without one it is left alone: promoting the present primary anew does
        nothing on the platform, so a demoted one might never lead again.
        """
        found = await self._ask_all(record.service)
        if _others(found, record):
            entry = self._groups.roster.find(record.primary)
            if entry is not None:
                await self._demote(entry, record)

    async def choose(
        self,
        record: GroupRecord,
        cause: Cause,
        *,
        may_keep: bool,
    ) -> Candidate | None:
        """Return the endpoint that takes over.

        Args:
            record: The group's row.
            cause: Why its primary is replaced.
            may_keep: Whether no other endpoint can have been promoted since
                the group was marked, so that the primary may stay.
        """
        found = await self._ask_all(record.service)
        leading = [one for one in found if leads(one[1], record)]
        if leading:
            return max(leading, key=_term_of)
        usable = _others(found, record)
        if not usable:
            return await self._find_last(record, found, may_keep=may_keep)
        if cause is Cause.LEAVING:
            return await self._catch_up(record, usable, found)
        return max(usable, key=_received_of)

    async def _find_last(
        self,
        record: GroupRecord,
        found: list[Candidate],
        *,
        may_keep: bool,
    ) -> Candidate | None:
        """Return the old primary, if that is all there is.

        Endpoints that were replaced earlier and were never told are demoted;
        the next try may choose them.
        """
        staying = [one for one in found if not one[0].is_draining]
        for entry, state in staying:
            is_own = entry.endpoint_id == record.primary
            if is_own and (may_keep or not state.is_primary):
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
        state = await self._inspector.ask(
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
        """Wait until a replica has what the old primary had."""
        goal = max(state.received for _, state in found)
        ends_at = anyio.current_time() + _CATCH_UP_LIMIT_S
        best = max(usable, key=_received_of)
        while best[1].received < goal and anyio.current_time() < ends_at:
            await anyio.sleep(_CATCH_UP_STEP_S)
            found = await self._ask_all(record.service)
            best = max(
                _others(found, record),
                key=_received_of,
                default=best,
            )
        return best

    async def _ask_all(self, service: str) -> list[Candidate]:
        found: list[Candidate] = []

        async def ask(entry: EndpointEntry) -> None:  # noqa: WPS430
            state = await self._inspector.ask(entry)
            if state is not None:
                found.append((entry, state))

        async with anyio.create_task_group() as tasks:
            for entry in self._groups.roster.of_service(service):
                tasks.start_soon(ask, entry)
        return found


def _others(found: list[Candidate], record: GroupRecord) -> list[Candidate]:
    """Return the replicas that may take over from a group's primary."""
    return [
        (entry, state)
        for entry, state in found
        if entry.endpoint_id != record.primary
        and not (entry.is_draining or state.is_primary)
    ]


def leads(state: EndpointState, record: GroupRecord) -> bool:
    """Return whether an endpoint leads a later term than its group's row."""
    return state.is_primary and state.term > record.term


def _received_of(candidate: Candidate) -> Position:
    return candidate[1].received


def _term_of(candidate: Candidate) -> int:
    return candidate[1].term
