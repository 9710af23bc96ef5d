"""Revokes the grants of all processes before a primary is replaced."""

from typing import final

import anyio

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    HOLDER_KEY,
    MemberRecord,
    member_key,
)
from catkincrank.gateway.fleetstate import GRANT_DURATION_S, FleetState
from catkincrank.gateway.peermessages import RevokeReply, RevokeRequest
from catkincrank.gateway.peers import PeerClient
from catkincrank.gateway.rowstore import Condition, RowStore
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


@final
class Revocation:
    """Revokes grants in all processes of the fleet.

    Args:
        store: The platform's store.
        fleet: State of the fleet's table.
        client: Sends requests to peers.
    """

    __slots__ = ('_client', '_fleet', '_store')

    def __init__(
        self,
        store: RowStore,
        fleet: FleetState,
        client: PeerClient,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._client = client

    async def answer(self, request: RevokeRequest) -> RevokeReply:
        """Revoke own grants at the request of a peer."""
        self._fleet.revoke(request.service, request.version)
        return RevokeReply(is_done=True)

    async def revoke_group(
        self,
        service: str,
        version: int,
        token: int,
    ) -> None:
        """Wait until no process holds a grant from an older reading of a group.

        Args:
            service: Name of the group.
            version: Version of the store that marked the group.
            token: Fencing token of this process.
        """
        ends_at = anyio.current_time() + GRANT_DURATION_S
        self._fleet.revoke(service, version)
        await self._fleet.copy.try_reload()
        request = RevokeRequest(service, version, self._fleet.own_member.name)
        await self._ask_until(request, token, ends_at)

    async def revoke_holder(
        self,
        version: int,
        previous: str,
        heartbeat_at: float,
    ) -> None:
        """Wait until no process holds a grant extended by an earlier holder.

        Args:
            version: Version of the store that made this process the holder.
            previous: Name of the previous holder; empty if there was none or if
                its process has ended.
            heartbeat_at: When its last heartbeat was received.
        """
        ends_at = anyio.current_time() + GRANT_DURATION_S
        self._fleet.revoke('', version)
        await self._fleet.copy.try_reload()
        request = RevokeRequest('', version, self._fleet.own_member.name)
        done = await self._ask_until(request, version, ends_at)
        if previous and previous not in done:
            await anyio.sleep_until(
                max(ends_at, heartbeat_at + HOLDER_EXTENSION_S)
            )

    async def remove(self, members: list[MemberRecord], token: int) -> None:
        """Remove members that no longer answer.

        They get no more grants, and no process waits for them. A member that
        is still running registers again.
        """
        names = [member.name for member in members]
        try:
            await self._store.write(
                FLEET_TABLE,
                [Condition(HOLDER_KEY, token)],
                {},
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
        token: int,
        ends_at: float,
    ) -> set[str]:
        """Ask until every member has revoked its grants or they have expired.

        Returns:
            The names of the members that have confirmed.
        """
        done: set[str] = set()
        pending = self._find_pending(done)
        tries = 0
        while pending and anyio.current_time() < ends_at:
            answers = await self._client.ask_all(
                pending, request, _ASK_TIMEOUT_S
            )
            done.update(answers)
            pending = self._find_pending(done)
            tries += 1
            if tries == _MAX_TRIES and pending:
                await self.remove(pending, token)
            if pending:
                await anyio.sleep(_RETRY_PAUSE_S)
        if pending:
            log_event(
                'grants_expired',
                service=request.service,
                version=request.version,
                unreachable=sorted(member.name for member in pending),
            )
        # Removed members are no longer asked, but may still hold grants.
        removed_at = self._fleet.member_removed_at
        await anyio.sleep_until(min(ends_at, removed_at + GRANT_DURATION_S))
        return done

    def _find_pending(self, done: set[str]) -> list[MemberRecord]:
        return [
            member
            for member in self._fleet.list_others()
            if member.name not in done
        ]
