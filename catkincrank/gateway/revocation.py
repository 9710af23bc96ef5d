"""Makes every process give up grants before a primary is replaced."""

from typing import final

import anyio

from catkincrank.errors import StoreUnavailableError
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.ledger import GRANT_S, Ledger
from catkincrank.gateway.peermessages import RevokeReply, RevokeRequest
from catkincrank.gateway.peers import ask_peer
from catkincrank.logs import log_event

__all__ = ('EXTENSION_S', 'Revocation')

# A holder may vouch for the store this long after it last read it, less the
# length of a grant: longer than the store's usual outages at both users.
EXTENSION_S = 11.0
_ASK_TIMEOUT_S = 0.25
_ASK_PAUSE_S = 0.2


@final
class Revocation:
    """Revokes grants.

    Args:
        ledger: The fleet's table.
    """

    __slots__ = ('_ledger', '_settled_at')

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._settled_at: float = 0

    async def answer(self, request: RevokeRequest) -> RevokeReply:
        """Give up grants as a peer asks."""
        self._ledger.revoke(request.service, request.version)
        return RevokeReply(is_done=True)

    async def revoke_all(
        self,
        service: str,
        version: int,
        marked_at: float,
    ) -> None:
        """Return once no process acts on a reading older than ``version``.

        Args:
            service: Group concerned; empty for all, after a takeover.
            version: Version of the store that marked the change.
            marked_at: When the store had acknowledged that.
        """
        self._ledger.revoke(service, version)
        await self._reload_members()
        pending = self._list_others()
        ends_at = self._find_end(service, marked_at)
        while pending:
            pending = await self._ask_each(pending, service, version)
            now = anyio.current_time()
            if not pending or now >= ends_at:
                break
            await anyio.sleep(min(_ASK_PAUSE_S, ends_at - now))
            pending = list(filter(self._is_member, pending))
        if not service:
            self._settled_at = anyio.current_time()
        if pending:
            log_event(
                'grants_expired',
                service=service,
                version=version,
                unreachable=[member.name for member in pending],
            )

    def _find_end(self, service: str, marked_at: float) -> float:
        """Return when the grants of those that cannot be reached have ended."""
        length_s = GRANT_S if service else EXTENSION_S
        return marked_at + length_s

    async def _reload_members(self) -> None:
        try:
            await self._ledger.copy.reload()
        except StoreUnavailableError as error:
            log_event('members_unread', 'WARNING', cause=str(error))

    def _list_others(self) -> list[MemberRecord]:
        me = self._ledger.me.name
        return [
            member
            for member in self._ledger.members.values()
            if member.name != me
        ]

    def _is_member(self, member: MemberRecord) -> bool:
        return member.name in self._ledger.members

    async def _ask_each(
        self,
        members: list[MemberRecord],
        service: str,
        version: int,
    ) -> list[MemberRecord]:
        """Ask each member; return those that did not answer."""
        pending: list[MemberRecord] = []
        request = RevokeRequest(service, version, self._ledger.me.name)

        async def ask(member: MemberRecord) -> None:  # noqa: WPS430
            current = self._ledger.members.get(member.name, member)
            reply = await ask_peer(current, request, _ASK_TIMEOUT_S)
            if not isinstance(reply, RevokeReply):
                pending.append(member)

        async with anyio.create_task_group() as tasks:
            for member in members:
                tasks.start_soon(ask, member)
        return pending
