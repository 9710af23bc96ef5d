"""Carries statements of other processes to endpoints."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import CatkincrankError, EndpointError
from catkincrank.gateway.carriermessages import (
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
from catkincrank.metrics import Metrics
from catkincrank.verdict import RequestError

__all__ = ('CarrierService', 'CarriageDeclinedError', 'CarriedSession')


@final
class CarriageDeclinedError(CatkincrankError):
    """This process does not carry a statement; another one may."""


@final
class CarrierService:
    """Lends this process's links to statements that others send.

    Args:
        groups: Knows the endpoints.
        pools: Links to them.
        metrics: Metrics of the process.

    Attributes:
        busy: Sessions that hold a link.
        is_leaving: Whether no new statements are taken.
    """

    __slots__ = ('_groups', '_pools', '_statements', 'busy', 'is_leaving')

    def __init__(
        self,
        groups: Groups,
        pools: LinkPools,
        metrics: Metrics,
    ) -> None:
        self._groups = groups
        self._pools = pools
        self.busy: set[CarriedSession] = set()
        self.is_leaving = False
        self._statements = metrics.counter(
            'carried_statements',
            'Statements for callers of other processes, by outcome.',
            ('outcome',),
        )

    def open(self) -> 'CarriedSession':
        """Return what serves one connection of another process."""
        return CarriedSession(self)

    def find(self, wanted: Destination) -> EndpointEntry:
        """Return the endpoint that others know by the same address and start.

        Raises:
            CarriageDeclinedError: This process does not know it.
        """
        entry = self._groups.roster.find(wanted.endpoint)
        if entry is not None and Destination.of_entry(entry) == wanted:
            return entry
        raise CarriageDeclinedError('unknown endpoint')

    def count(self, answer: CarryReply) -> None:
        """Count a statement by what came of it."""
        self._statements.labels(_name_outcome(answer)).inc()

    async def borrow(
        self,
        entry: EndpointEntry,
        request: CarryRequest,
    ) -> BorrowedLink:
        """Return a link for a statement.

        Raises:
            CarriageDeclinedError: This process leaves.
            EndpointError: There will be none; nothing ran.
            RequestError: Too many statements wait already.
        """
        if self.is_leaving:
            raise CarriageDeclinedError('this process leaves')
        claim = Claim(
            request.route,
            request.priority,
            anyio.current_time() + request.limit_s,
        )
        return await self._pools.borrow(entry, claim)


@final
class CarriedSession:
    """Serves one connection; it holds a link while a transaction is open.

    Args:
        carriage: Lends links.
    """

    __slots__ = ('_borrowed', '_carriage', '_entry')

    def __init__(self, carrier_service: CarrierService) -> None:
        self._carriage = carrier_service
        self._borrowed: BorrowedLink | None = None
        self._entry: EndpointEntry | None = None

    async def answer(self, request: CarryRequest) -> CarryReply:
        """Run a statement; say whether it may have run if that fails."""
        answer = await self._answer(request)
        self._carriage.count(answer)
        return answer

    def close(self) -> None:
        """Close the link that is held; what is open on it is rolled back."""
        self._carriage.busy.discard(self)
        if self._borrowed is not None:
            self._borrowed.discard(is_lost=True)
            self._borrowed = None

    async def _answer(self, request: CarryRequest) -> CarryReply:
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
        except (CarriageDeclinedError, RequestError) as refusal:
            self.close()
            is_full = isinstance(refusal, RequestError)
            return CarryReply(
                error=str(refusal),
                is_full=is_full,
                is_declined=not is_full,
            )
        except EndpointError as error:
            self.close()
            is_doubt = was_sent and error.was_sent
            return CarryReply(error=str(error), was_sent=is_doubt)
        except BaseException:
            self.close()
            raise
        self.close()
        return CarryReply(error='no answer in time', was_sent=was_sent)

    async def _hold(self, request: CarryRequest) -> BorrowedLink:
        if self._borrowed is None:
            if request.action == Kind.ROLLBACK.value:
                raise EndpointError('no transaction is open', was_sent=False)
            if request.destination is not None:
                self._entry = self._carriage.find(request.destination)
            if self._entry is None:
                raise EndpointError('no destination', was_sent=False)
            self._borrowed = await self._carriage.borrow(self._entry, request)
        self._borrowed.unpark()
        return self._borrowed

    def _release(self, reply: Reply) -> None:
        """Return the link unless a transaction is open on it."""
        if reply.status is not TransactionStatus.IDLE:
            self._borrowed.park()
            return
        self._borrowed.give_back()
        self._borrowed = None
        self._carriage.busy.discard(self)


async def _adopt(link: EndpointLink, request: CarryRequest) -> None:
    values = {one.name: one.content for one in request.values}
    if not await link.adopt(values, request.prepared):
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
    Kind.READ.value: partial(_run, Kind.READ),
    Kind.WRITE.value: partial(_run, Kind.WRITE),
    Kind.COMMIT.value: partial(_run, Kind.COMMIT),
    Kind.EXECUTE.value: _execute,
    Kind.BEGIN.value: _begin,
    Kind.BEGIN_READ.value: partial(_begin, is_read_only=True),
    Kind.ROLLBACK.value: _roll_back,
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


def _name_outcome(answer: CarryReply) -> str:
    """Return what came of a statement, for the metric."""
    if not answer.error:
        return answer.failure.lower() or 'done'
    if answer.is_full:
        return 'full'
    if answer.is_declined:
        return 'declined'
    return 'in_doubt' if answer.was_sent else 'not_run'
