"""Takes a token for an operation from an owner of shards."""

from typing import final

import anyio

from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.organisations.ownerselection import OwnerSelection
from catkincrank.gateway.organisations.shardrecords import find_group
from catkincrank.gateway.organisations.shardstate import ShardState
from catkincrank.gateway.organisations.tokenclient import TokenClient
from catkincrank.gateway.organisations.tokenissuer import TokenIssuer
from catkincrank.gateway.organisations.tokenmessages import GrantedTokens

__all__ = ('TokenAdmission',)

# An operation is refused if no owner had a token for this long.
_MAX_WAIT_S = 0.5
_MIN_PAUSE_S = 0.01
# With this many owners whose tokens are far from enough, the others have none
# left either.
_MOST_EXHAUSTED = 2


@final
class TokenAdmission:
    """Takes tokens from the owners of shards, this VM among them.

    Args:
        fleet: State of the fleet's table.
        shards: Owners of the shards.
        issuer: Issues tokens of the own shards.
        client: Requests tokens from other owners.
        selection: Chooses the owner to ask.

    Attributes:
        issuer: Issues tokens of the own shards.
    """

    __slots__ = ('_client', '_fleet', '_selection', '_shards', 'issuer')

    def __init__(
        self,
        fleet: FleetState,
        shards: ShardState,
        issuer: TokenIssuer,
        client: TokenClient,
        selection: OwnerSelection,
    ) -> None:
        self._fleet = fleet
        self._shards = shards
        self.issuer = issuer
        self._client = client
        self._selection = selection

    async def take_token(self, organisation: str) -> str:
        """Take a token; return why there is none, or an empty string."""
        record = self._shards.records[find_group(organisation)]
        members = self._fleet.members
        selection = self._selection
        now = anyio.current_time()
        ends_at = now + _MAX_WAIT_S
        cause = 'no_owner'
        while now < ends_at:
            owners = selection.list_owners(organisation, record, members, now)
            answers = await self._ask_in_turn(owners, organisation, ends_at)
            if any(one.count for one in answers):
                return ''
            if answers:
                cause = 'limit'
            next_at = selection.find_next(organisation, record, members)
            if _are_exhausted(answers) or next_at >= ends_at:
                return cause
            await anyio.sleep(max(_MIN_PAUSE_S, next_at - now))
            now = anyio.current_time()
        return cause

    async def _ask_in_turn(
        self, owners: list[MemberRecord], organisation: str, ends_at: float
    ) -> list[GrantedTokens]:
        """Ask owners until one grants a token; return the answers."""
        answers: list[GrantedTokens] = []
        for owner in owners:
            if anyio.current_time() >= ends_at:
                break
            granted = await self._ask(owner, organisation)  # noqa: WPS476
            if granted is not None:
                answers.append(granted)
            if _are_enough(answers):
                break
        return answers

    async def _ask(
        self, owner: MemberRecord, organisation: str
    ) -> GrantedTokens | None:
        """Ask one owner for a token; return ``None`` if it issues none now."""
        asked_at = anyio.current_time()
        if owner.name == self._fleet.own_member.name:
            granted = self.issuer.issue(organisation, 1, asked_at)
        else:
            granted = await self._client.request(owner, organisation)
        now = anyio.current_time()
        if granted is None or granted.is_declined:
            self._selection.record_silence(owner.name, asked_at, now)
            return None
        self._selection.record_answer(owner.name)
        if not granted.count:
            self._selection.record_empty(
                organisation, owner.name, now + granted.retry_after_s
            )
        return granted


def _are_exhausted(answers: list[GrantedTokens]) -> bool:
    """Return whether the other owners need not be asked."""
    return sum(one.is_exhausted for one in answers) >= _MOST_EXHAUSTED


def _are_enough(answers: list[GrantedTokens]) -> bool:
    has_token = any(one.count for one in answers)
    return has_token or _are_exhausted(answers)
