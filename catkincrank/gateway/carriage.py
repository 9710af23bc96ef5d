"""Carries statements of other processes to endpoints."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import EndpointError
from catkincrank.gateway.carriagemessages import (
    CarryReply,
    CarryRequest,
    Destination,
)
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import EndpointLink
from catkincrank.gateway.linkpools import BorrowedLink, Claim, LinkPools
from catkincrank.gateway.reply import Reply
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.statement import Kind, Statement
from catkincrank.verdict import RequestError

__all__ = ('Carriage', 'CarriedSession')


@final
class Carriage:
    """Lends this process's links to statements that others send.

    Args:
        groups: Knows the endpoints.
        pools: Links to them.

    Attributes:
        busy: Sessions that hold a link.
        is_leaving: Whether no new statements are taken.
    """

    __slots__ = ('_groups', '_pools', 'busy', 'is_leaving')

    def __init__(self, groups: Groups, pools: LinkPools) -> None:
        self._groups = groups
        self._pools = pools
        self.busy: set[CarriedSession] = set()
        self.is_leaving = False

    def open(self) -> 'CarriedSession':
        """Return what serves one connection of another process."""
        return CarriedSession(self)

    def find(self, wanted: Destination) -> EndpointEntry:
        """Return the endpoint that others know by the same address and start.

        Raises:
            EndpointError: This process does not know it.
        """
        entry = self._groups.roster.find(wanted.endpoint)
        if entry is not None:
            known = Destination(
                entry.service,
                entry.endpoint_id,
                entry.host,
                entry.port,
                entry.born_ms,
            )
            if known == wanted:
                return entry
        raise EndpointError('unknown endpoint', was_sent=False)

    async def borrow(
        self,
        entry: EndpointEntry,
        request: CarryRequest,
    ) -> BorrowedLink:
        """Return a link for a statement.

        Raises:
            EndpointError: There will be none; nothing ran.
        """
        if self.is_leaving:
            raise EndpointError('this process leaves', was_sent=False)
        claim = Claim(
            request.route,
            request.priority,
            anyio.current_time() + request.limit_s,
        )
        try:
            return await self._pools.borrow(entry, claim)
        except RequestError as error:
            raise EndpointError(str(error), was_sent=False) from None


@final
class CarriedSession:
    """Serves one connection; it holds a link while a transaction is open.

    Args:
        carriage: Lends links.
    """

    __slots__ = ('_borrowed', '_carriage', '_entry')

    def __init__(self, carriage: Carriage) -> None:
        self._carriage = carriage
        self._borrowed: BorrowedLink | None = None
        self._entry: EndpointEntry | None = None

    async def answer(self, request: CarryRequest) -> CarryReply:
        """Run a statement; say whether it may have run if that fails."""
        self._carriage.busy.add(self)
        was_sent = False
        try:
            with anyio.move_on_after(request.limit_s):
                borrowed = await self._hold(request)
                await _adopt(borrowed.link, request)
                was_sent = True
                reply = await _act(borrowed.link, request)
                self._release(reply)
                return _encode(reply)
        except EndpointError as error:
            self.close()
            is_doubt = was_sent and error.was_sent
            return CarryReply(error=str(error), was_sent=is_doubt)
        except BaseException:
            self.close()
            raise
        self.close()
        return CarryReply(error='no answer in time', was_sent=was_sent)

    def close(self) -> None:
        """Close the link that is held; what is open on it is rolled back."""
        self._carriage.busy.discard(self)
        if self._borrowed is not None:
            self._borrowed.discard(is_lost=True)
            self._borrowed = None

    async def _hold(self, request: CarryRequest) -> BorrowedLink:
        if self._borrowed is None:
            if request.action == 'roll_back':
                raise EndpointError('no transaction is open', was_sent=False)
            if request.destination is not None:
                self._entry = self._carriage.find(request.destination)
            if self._entry is None:
                raise EndpointError('no destination', was_sent=False)
            self._borrowed = await self._carriage.borrow(self._entry, request)
        return self._borrowed

    def _release(self, reply: Reply) -> None:
        """Return the link unless a transaction is open on it."""
        if reply.status is TransactionStatus.IDLE:
            self._borrowed.give_back()
            self._borrowed = None
            self._carriage.busy.discard(self)


async def _adopt(link: EndpointLink, request: CarryRequest) -> None:
    values = {one.name: one.content for one in request.values}
    try:
        accepted = await link.adopt(values, request.prepared)
    except EndpointError as error:
        raise EndpointError(str(error), was_sent=False) from None
    if not accepted:
        raise EndpointError('session state refused', was_sent=False)


async def _act(link: EndpointLink, request: CarryRequest) -> Reply:
    act = _ACTIONS.get(request.action)
    if act is None:
        reason = 'unknown action {0}'.format(request.action)
        raise EndpointError(reason, was_sent=False)
    return await act(link, request)


async def _run(
    kind: Kind,
    link: EndpointLink,
    request: CarryRequest,
) -> Reply:
    statement = Statement(kind, request.request_id, request.text)
    return await link.run(statement, request.after)


async def _execute(link: EndpointLink, request: CarryRequest) -> Reply:
    statement = Statement(
        Kind.EXECUTE,
        request.request_id,
        b'',
        operand=request.text,
    )
    alias = link.prepared.get(request.prepared, b'')
    return await link.run(statement, request.after, alias)


async def _begin(
    link: EndpointLink,
    request: CarryRequest,
    *,
    is_read_only: bool = False,
) -> Reply:
    return await link.begin(is_read_only=is_read_only, after=request.after)


async def _roll_back(link: EndpointLink, _request: CarryRequest) -> Reply:
    return await link.roll_back()


_Action = Callable[[EndpointLink, CarryRequest], Awaitable[Reply]]
_ACTIONS: dict[str, _Action] = {  # noqa: WPS407
    'read': partial(_run, Kind.READ),
    'write': partial(_run, Kind.WRITE),
    'commit': partial(_run, Kind.COMMIT),
    'execute': _execute,
    'begin': _begin,
    'begin_read': partial(_begin, is_read_only=True),
    'roll_back': _roll_back,
}


def _encode(reply: Reply) -> CarryReply:
    refusal = reply.refusal
    return CarryReply(
        reply.rows,
        reply.signature,
        refusal.failure.name if refusal else '',
        refusal.detail if refusal else b'',
        reply.status.value,
        reply.position,
    )
