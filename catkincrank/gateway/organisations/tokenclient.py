"""Requests tokens from the owners of shards, in batches."""

from collections import Counter, deque
from typing import final

import anyio

from catkincrank.errors import MessageError
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.organisations.quotameasures import QuotaMeasures
from catkincrank.gateway.organisations.tokenmessages import (
    MAX_WANTED,
    TOKEN_LIFETIME_S,
    GrantedTokens,
    TokenGrant,
    TokenRequest,
    WantedTokens,
    check_grant,
)
from catkincrank.gateway.peers import PeerClient

__all__ = ('TokenClient',)

# Between regions an answer takes 20 ms; an owner that was lost without a reset
# costs an operation this time once.
_ASK_TIMEOUT_S = 0.15


@final
class _Ticket:
    """An operation that waits for a token.

    Args:
        organisation: Its organisation.

    Attributes:
        organisation: Its organisation.
        woken: Set when the operation is answered, or is to send a request.
        is_sender: Whether it sends the request for all that wait.
        granted: What the owner answered; ``None`` if it did not.
    """

    __slots__ = ('granted', 'is_sender', 'organisation', 'woken')

    def __init__(self, organisation: str) -> None:
        self.organisation = organisation
        self.woken = anyio.Event()
        self.is_sender = False
        self.granted: GrantedTokens | None = None

    def become_sender(self) -> None:
        """Have the operation send the next request."""
        self.is_sender = True
        self.woken.set()


@final
class TokenClient:
    """Requests tokens, with one request to an owner at a time.

    Operations that come meanwhile wait, and share the next request.

    Args:
        name: Name of this VM.
        client: Sends requests to peers.
        measures: Records malformed answers.
    """

    __slots__ = ('_client', '_measures', '_name', '_queues')

    def __init__(
        self, name: str, client: PeerClient, measures: QuotaMeasures
    ) -> None:
        self._name = name
        self._client = client
        self._measures = measures
        # Operations that wait to be sent, by owner. A queue exists while one of
        # its operations is the sender.
        self._queues: dict[MemberRecord, deque[_Ticket]] = {}

    async def request(
        self, owner: MemberRecord, organisation: str
    ) -> GrantedTokens | None:
        """Request one token; return ``None`` if the owner did not answer."""
        ticket = _Ticket(organisation)
        queue = self._queues.get(owner)
        if queue is None:
            queue = deque()
            self._queues[owner] = queue
            ticket.become_sender()
        queue.append(ticket)
        try:  # noqa: WPS501
            await ticket.woken.wait()
            if ticket.is_sender:
                await self._send(owner, queue)
        finally:
            self._leave(owner, queue, ticket)
        return ticket.granted

    def _leave(
        self, owner: MemberRecord, queue: deque[_Ticket], ticket: _Ticket
    ) -> None:
        """Remove an operation, and let the next one send if it was to."""
        if ticket in queue:
            queue.remove(ticket)
        if not ticket.is_sender:
            return
        if queue:
            queue[0].become_sender()
        else:
            self._queues.pop(owner)

    async def _send(self, owner: MemberRecord, queue: deque[_Ticket]) -> None:
        """Send one request for the operations that wait."""
        tickets = [queue.popleft() for _ in range(min(len(queue), MAX_WANTED))]
        try:  # noqa: WPS501
            # A caller that leaves takes no tokens from those that wait with it.
            with anyio.CancelScope(shield=True):
                await self._exchange(owner, tickets)
        finally:
            for ticket in tickets:
                ticket.woken.set()

    async def _exchange(
        self, owner: MemberRecord, tickets: list[_Ticket]
    ) -> None:
        """Send one request and give its tokens to the operations."""
        counts = Counter(ticket.organisation for ticket in tickets)
        request = TokenRequest(
            self._name,
            tuple(WantedTokens(*pair) for pair in counts.items()),
        )
        sent_at = anyio.current_time()
        answer = await self._client.ask(owner, request, _ASK_TIMEOUT_S)
        is_late = anyio.current_time() >= sent_at + TOKEN_LIFETIME_S
        granted = None if is_late else self._read(owner, request, answer)
        if granted is not None:
            _distribute(granted, tickets)

    def _read(
        self, owner: MemberRecord, request: TokenRequest, answer: object
    ) -> TokenGrant | None:
        if not isinstance(answer, TokenGrant):
            return None
        try:
            check_grant(answer, request)
        except MessageError as error:
            self._measures.record_malformed(owner.name, error)
            return None
        return answer


def _distribute(grant: TokenGrant, tickets: list[_Ticket]) -> None:
    """Give the tokens to the operations that have waited longest."""
    found = {one.organisation: one for one in grant.granted}
    left = {one.organisation: one.count for one in grant.granted}
    for ticket in tickets:
        one = found[ticket.organisation]
        count = min(1, left[one.organisation])
        left[one.organisation] -= count
        ticket.granted = GrantedTokens(
            one.organisation,
            count,
            one.retry_after_s,
            one.is_exhausted,
            one.is_declined,
        )
