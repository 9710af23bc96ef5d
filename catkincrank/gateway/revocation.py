"""Revokes the grants of all processes before a primary is replaced."""

import dataclasses
from collections.abc import Callable
from typing import final

import anyio

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    HEARTBEAT_KEY,
    MemberRecord,
    decode_group,
    encode_record,
    member_key,
)
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.grants import GRANT_DURATION_S
from catkincrank.gateway.leaserows import HeldLease
from catkincrank.gateway.peermessages import (
    RecallReply,
    RecallRequest,
    RevokeReply,
    RevokeRequest,
)
from catkincrank.gateway.peers import PeerClient
from catkincrank.gateway.revocationround import RevocationRound
from catkincrank.gateway.rowstore import Revision, RowStore
from catkincrank.logs import log_event

__all__ = ('HOLDER_EXTENSION_S', 'Revocation')

# A holder may extend grants without the store until this long after its last
# heartbeat there, less the duration of a grant. That outlasts the usual store
# outages of 5 s; the takeover from a holder that is lost for good is delayed by
# the same time.
HOLDER_EXTENSION_S = 6.5
_ASK_TIMEOUT_S = 0.25
_RETRY_PAUSE_S = 0.1
# Unanswered requests after which a member is removed from the fleet's table.
_MAX_TRIES = 3
# Members are taken for gone only if this many times as many have answered.
_MIN_ANSWERS_PER_SILENT = 4
# The store takes up to 100 rows and conditions in one transaction.
_MAX_REMOVED_ROWS = 90


@final
class Revocation:
    """Revokes grants in all processes of the fleet.

    Args:
        store: The platform's store.
        fleet: State of the fleet's table.
        client: Sends requests to peers.

    Attributes:
        on_revoked: Called after grants of this process were revoked by a peer.
    """

    __slots__ = ('_client', '_fleet', '_round', '_store', 'on_revoked')

    def __init__(
        self,
        store: RowStore,
        fleet: FleetState,
        client: PeerClient,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._client = client
        self._round = RevocationRound(fleet, client)
        self.on_revoked: Callable[[], None] = _ignore

    async def answer(self, request: RevokeRequest) -> RevokeReply:
        """Revoke own grants at the request of a peer, and pass it on."""
        self._fleet.grants.revoke(
            request.service, Revision(request.era, request.version)
        )
        self.on_revoked()
        members = [
            member
            for member in self._fleet.list_others()
            if member.name in request.pass_on_to
        ]
        confirmed: set[str] = set()
        if members:
            confirmed = await self._round.ask(
                members, dataclasses.replace(request, pass_on_to=())
            )
        return RevokeReply(is_done=True, confirmed=tuple(confirmed))

    async def revoke_group(
        self,
        service: str,
        marked: Revision,
        held: HeldLease,
    ) -> None:
        """Wait until no process holds a grant from an older reading of a group.

        Args:
            service: Name of the group.
            marked: Revision of the store that marked the group.
            held: Lease of this process.
        """
        ends_at = anyio.current_time() + GRANT_DURATION_S
        self._fleet.grants.revoke(service, marked)
        await self._fleet.copy.try_reload()
        request = self._make_request(service, marked)
        await self._ask_until(request, held, ends_at)

    async def revoke_holder(
        self,
        held: HeldLease,
        previous: str,
        heartbeat_at: float,
    ) -> None:
        """Wait until no process holds a grant extended by an earlier holder.

        Args:
            held: Lease of this process.
            previous: Name of the previous holder; empty if there was none or if
                its process has ended.
            heartbeat_at: When its last heartbeat was received.
        """
        ends_at = anyio.current_time() + GRANT_DURATION_S
        self._fleet.grants.revoke('', held.revision)
        await self._fleet.copy.try_reload()
        request = self._make_request('', held.revision)
        done = await self._ask_until(request, held, ends_at)
        if previous and previous not in done:
            await anyio.sleep_until(
                max(ends_at, heartbeat_at + HOLDER_EXTENSION_S)
            )

    async def answer_recall(self, request: RecallRequest) -> RecallReply:
        """Return what is known of the groups from before an era."""
        earlier = self._fleet.earlier
        earlier.announced_era = max(earlier.announced_era, request.era)
        return RecallReply(
            tuple(
                encode_record(record)
                for record in self._fleet.list_earlier(request.era)
            )
        )

    async def recall(self, held: HeldLease) -> None:
        """Collect what the members know of the groups from before an era."""
        request = RecallRequest(self._fleet.own_member.name, held.revision.era)
        done: set[str] = set()
        for _ in range(_MAX_TRIES):
            pending = self._find_pending(done)
            answers = await self._client.ask_all(  # noqa: WPS476
                pending, request, _ASK_TIMEOUT_S
            )
            done.update(answers)
            for answer in answers.values():
                self._add_earlier(answer)
        log_event(
            'records_recalled',
            era=held.revision.era,
            members=len(done),
            unreachable=[one.name for one in self._find_pending(done)],
        )

    async def remove(
        self, members: list[MemberRecord], held: HeldLease
    ) -> None:
        """Remove members that no longer answer.

        They get no more grants, and no process waits for them. A member that
        is still running registers again.
        """
        names = [member.name for member in members[:_MAX_REMOVED_ROWS]]
        pruned = self._fleet.pruned
        pruned.record(names)
        heartbeat = encode_record(pruned.make_heartbeat())
        try:
            await self._store.write(
                FLEET_TABLE,
                held.conditions,
                {HEARTBEAT_KEY: heartbeat},
                [member_key(name) for name in names],
            )
            await self._fleet.copy.reload()
        except (ConflictError, StoreUnavailableError) as error:
            log_event('removal_failed', 'WARNING', cause=str(error))
            return
        log_event('members_removed', members=names)

    async def _ask_until(
        self,
        request: RevokeRequest,
        held: HeldLease,
        ends_at: float,
    ) -> set[str]:
        """Ask until every member has revoked its grants or they have expired.

        Returns:
            The names of the members that have confirmed.
        """
        done: set[str] = set()
        pending = self._find_pending(done)
        tries = 0
        done |= await self._round.ask_through_relays(pending, request)
        pending = self._find_pending(done)
        while pending and anyio.current_time() < ends_at:
            done |= await self._round.ask(pending, request)
            pending = self._find_pending(done)
            tries += 1
            if tries == _MAX_TRIES and self._are_few(pending):
                await self.remove(pending, held)
            if pending:
                await anyio.sleep(_RETRY_PAUSE_S)
        if pending:
            log_event(
                'grants_expired',
                service=request.service,
                version=request.version,
                era=request.era,
                unreachable=sorted(member.name for member in pending),
            )
        # Removed members are no longer asked, but may still hold grants.
        removed_at = self._fleet.member_removed_at
        await anyio.sleep_until(min(ends_at, removed_at + GRANT_DURATION_S))
        return done

    def _are_few(self, pending: list[MemberRecord]) -> bool:
        """Return whether the members, and not this process, seem cut off."""
        return (
            0
            < len(pending)
            <= max(1, len(self._fleet.members) // _MIN_ANSWERS_PER_SILENT)
        )

    def _make_request(self, service: str, revision: Revision) -> RevokeRequest:
        return RevokeRequest(
            service,
            revision.version,
            self._fleet.own_member.name,
            revision.era,
        )

    def _add_earlier(self, answer: object) -> None:
        if not isinstance(answer, RecallReply):
            return
        for body in answer.records:
            self._fleet.earlier.add(decode_group(body))

    def _find_pending(self, done: set[str]) -> list[MemberRecord]:
        return [
            member
            for member in self._fleet.list_others()
            if member.name not in done
        ]


def _ignore() -> None:
    """Do nothing."""
