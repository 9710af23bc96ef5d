"""Makes every process give up grants before a primary is replaced."""

from typing import final

import anyio

from catkincrank.errors import StoreUnavailableError
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.ledger import GRANT_S, Ledger
from catkincrank.gateway.peermessages import RevokeReply, RevokeRequest
from catkincrank.gateway.peers import PeerClient
from catkincrank.logs import log_event

__all__ = ('EXTENSION_S', 'Revocation')

# A holder may vouch for the store until this long after its last sign of life
# there, less the length of a grant: longer than the store's usual outages of
# 5 s at both users, and as long as a lost holder delays the next one.
EXTENSION_S = 8.0
_ASK_TIMEOUT_S = 0.25
_ASK_PAUSE_S = 0.1


@final
class Revocation:
    """Revokes grants.

    Args:
        ledger: The fleet's table.
        client: Asks peers.
    """

    __slots__ = ('_client', '_ledger')

    def __init__(self, ledger: Ledger, client: PeerClient) -> None:
        self._ledger = ledger
        self._client = client

    async def answer(self, request: RevokeRequest) -> RevokeReply:
        """Give up grants as a peer asks."""
        self._ledger.revoke(request.service, request.version)
        return RevokeReply(is_done=True)

    async def revoke_group(self, service: str, version: int) -> None:
        """Return once no process acts on an older reading of a group's row.

        Args:
            service: The group.
            version: Version of the store that marked the group.
        """
        ends_at = anyio.current_time() + GRANT_S
        self._ledger.revoke(service, version)
        await self._reload_members()
        await self._ask_until(service, version, '', ends_at)

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
        ends_at = anyio.current_time() + GRANT_S
        self._ledger.revoke('', version)
        await self._reload_members()
        await self._ask_until('', version, former, ends_at)
        if former in self._ledger.silent:
            await anyio.sleep_until(max(ends_at, seen_at + EXTENSION_S))

    async def _ask_until(
        self,
        service: str,
        version: int,
        former: str,
        ends_at: float,
    ) -> None:
        """Ask until all have given up their grants, or these have ended."""
        request = RevokeRequest(service, version, self._ledger.me.name)
        done: set[str] = set()
        pending = self._find_pending(done)
        while pending and anyio.current_time() < ends_at:
            answers = await self._client.ask_all(
                pending, request, _ASK_TIMEOUT_S
            )
            done.update(answers)
            pending = self._find_pending(done)
            if pending:
                await anyio.sleep(_ASK_PAUSE_S)
        # Those that were removed lately may hold grants that nobody asked for.
        await anyio.sleep_until(
            min(ends_at, self._ledger.member_lost_at + GRANT_S),
        )
        names = {member.name for member in pending}
        self._ledger.silent = names
        if former and former not in done:
            self._ledger.silent.add(former)
        if pending:
            log_event(
                'grants_expired',
                service=service,
                version=version,
                unreachable=sorted(names),
            )

    def _find_pending(self, done: set[str]) -> list[MemberRecord]:
        return [
            member
            for member in self._ledger.list_others()
            if member.name not in done
        ]

    async def _reload_members(self) -> None:
        try:
            await self._ledger.copy.reload()
        except StoreUnavailableError as error:
            log_event('members_unread', 'WARNING', cause=str(error))
