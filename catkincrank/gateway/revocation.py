"""Makes every process give up grants before a primary is replaced."""

from typing import final

import anyio

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    HOLDER_KEY,
    MemberRecord,
    member_key,
)
from catkincrank.gateway.fleetstate import GRANT_DURATION_S, Ledger
from catkincrank.gateway.peermessages import RevokeReply, RevokeRequest
from catkincrank.gateway.peers import PeerClient
from catkincrank.gateway.rowstore import Condition, RowStore
from catkincrank.logs import log_event

__all__ = ('EXTENSION_S', 'Revocation')

# A holder may vouch for the store until this long after its last sign of life
# there, less the length of a grant: longer than the store's usual outages of
# 5 s at both users. A holder that is lost for good delays the next one by it.
EXTENSION_S = 6.5
_ASK_TIMEOUT_S = 0.25
_ASK_PAUSE_S = 0.1
# A member that has not answered this often is removed from the table.
_TRIES = 3


@final
class Revocation:
    """Revokes grants.

    Args:
        store: The platform's store.
        ledger: The fleet's table.
        client: Asks peers.
    """

    __slots__ = ('_client', '_ledger', '_store')

    def __init__(
        self,
        store: RowStore,
        ledger: Ledger,
        client: PeerClient,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._client = client

    async def answer(self, request: RevokeRequest) -> RevokeReply:
        """Give up grants as a peer asks."""
        self._ledger.revoke(request.service, request.version)
        return RevokeReply(is_done=True)

    async def revoke_group(
        self,
        service: str,
        version: int,
        token: int,
    ) -> None:
        """Return once no process acts on an older reading of a group's row.

        Args:
            service: The group.
            version: Version of the store that marked the group.
            token: Fencing token of this process.
        """
        ends_at = anyio.current_time() + GRANT_DURATION_S
        self._ledger.revoke(service, version)
        await self._ledger.copy.try_reload()
        request = RevokeRequest(service, version, self._ledger.me.name)
        await self._ask_until(request, token, ends_at)

    async def revoke_holder(
        self,
        version: int,
        former: str,
        seen_at: float,
    ) -> None:
        """Return once no process acts on an earlier holder's word.

        Args:
            version: Version of the store that made this process the holder.
            former: Name of the holder before; empty if there was none, or if
                its process has ended.
            seen_at: When its last sign of life was seen.
        """
        ends_at = anyio.current_time() + GRANT_DURATION_S
        self._ledger.revoke('', version)
        await self._ledger.copy.try_reload()
        request = RevokeRequest('', version, self._ledger.me.name)
        done = await self._ask_until(request, version, ends_at)
        if former and former not in done:
            await anyio.sleep_until(max(ends_at, seen_at + EXTENSION_S))

    async def remove(self, members: list[MemberRecord], token: int) -> None:
        """Remove members, so that they get no grants and nobody waits.

        One that lives registers again.
        """
        names = [member.name for member in members]
        try:
            await self._store.write(
                FLEET_TABLE,
                [Condition(HOLDER_KEY, token)],
                {},
                [member_key(name) for name in names],
            )
            await self._ledger.copy.reload()
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
        """Ask until all have given up their grants, or these have ended.

        Returns:
            The names of those that have given them up.
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
            if tries == _TRIES and pending:
                await self.remove(pending, token)
            if pending:
                await anyio.sleep(_ASK_PAUSE_S)
        if pending:
            log_event(
                'grants_expired',
                service=request.service,
                version=request.version,
                unreachable=sorted(member.name for member in pending),
            )
        # Those that were removed may hold grants that nobody asked for.
        lost_at = self._ledger.member_lost_at
        await anyio.sleep_until(min(ends_at, lost_at + GRANT_DURATION_S))
        return done

    def _find_pending(self, done: set[str]) -> list[MemberRecord]:
        return [
            member
            for member in self._ledger.list_others()
            if member.name not in done
        ]
