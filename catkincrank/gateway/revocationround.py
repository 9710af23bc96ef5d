"""One round in which members are asked to revoke their grants."""

import dataclasses
from collections.abc import Iterable
from typing import final

import anyio

from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.peermessages import RevokeReply, RevokeRequest
from catkincrank.gateway.peers import PeerClient

__all__ = ('RevocationRound',)

_ASK_TIMEOUT_S = 0.25
# A relay asks about 20 members in turn before it answers.
_RELAY_TIMEOUT_S = 0.6


@final
class RevocationRound:
    """Asks members directly, or through the relays of the reading tree.

    Args:
        fleet: State of the fleet's table.
        client: Sends requests to peers.
    """

    __slots__ = ('_client', '_fleet')

    def __init__(self, fleet: FleetState, client: PeerClient) -> None:
        self._fleet = fleet
        self._client = client

    async def ask(
        self, members: Iterable[MemberRecord], request: RevokeRequest
    ) -> set[str]:
        """Ask members directly; return the names of those that confirmed."""
        answers = await self._client.ask_all(members, request, _ASK_TIMEOUT_S)
        return set(answers)

    async def ask_through_relays(
        self, members: Iterable[MemberRecord], request: RevokeRequest
    ) -> set[str]:
        """Ask the relays to pass the request on; return who confirmed."""
        by_name = {member.name: member for member in members}
        groups = self._fleet.tree.group_by_relay(by_name)
        confirmed: set[str] = set()

        async def ask_relay(relay: str, names: tuple[str, ...]) -> None:  # noqa: WPS430
            answer = await self._client.ask(
                by_name[relay],
                dataclasses.replace(request, pass_on_to=names),
                _RELAY_TIMEOUT_S,
            )
            if isinstance(answer, RevokeReply):
                confirmed.update((relay, *answer.confirmed))

        async with anyio.create_task_group() as tasks:
            for relay, names in groups.items():
                tasks.start_soon(ask_relay, relay, names)
        return confirmed
