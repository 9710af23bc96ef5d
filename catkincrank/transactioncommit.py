"""Commits callers' transactions."""

from typing import final

from catkincrank.acknowledger import Acknowledger
from catkincrank.endpoint import Answer, StatementError, TransactionStatus
from catkincrank.errors import EndpointError
from catkincrank.history import LogMark
from catkincrank.indoubt import InDoubtResolver
from catkincrank.leases import Lease, Leases
from catkincrank.request import Access, Progress, Request
from catkincrank.requestkeys import RequestKeys
from catkincrank.session import Session
from catkincrank.transactionstate import Transaction
from catkincrank.verdict import RequestError, Verdict
from catkincrank.writing import classify_failure

__all__ = ('COMMITTED', 'ROLLED_BACK', 'TransactionCommitter')

ROLLED_BACK = Answer('ROLLBACK', None, (), TransactionStatus.IDLE)
COMMITTED = Answer('COMMIT', None, (), TransactionStatus.IDLE)


@final
class TransactionCommitter:
    """Commits a transaction and waits until that may be acknowledged.

    Args:
        leases: Connections.
        acknowledger: Waits for acknowledgements.
        resolver: Resolves doubts by request keys.
    """

    __slots__ = ('_acknowledger', '_keys', '_leases', '_resolver')

    def __init__(
        self,
        leases: Leases,
        acknowledger: Acknowledger,
        resolver: InDoubtResolver,
    ) -> None:
        self._leases = leases
        self._acknowledger = acknowledger
        self._resolver = resolver
        self._keys = RequestKeys(leases)

    async def commit(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> Answer:
        """Commit; settle a doubt about it by the request key."""
        try:
            return await self._commit(session, transaction, request)
        except RequestError as error:
            is_open = error.verdict is Verdict.MAY_HAVE_RUN
            if transaction.claim is None or not is_open:
                raise
        mark = await self._resolver.resolve(request, transaction.claim)
        session.advance(mark)
        return COMMITTED

    async def _commit(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> Answer:
        lease = transaction.lease
        if lease is None:
            return COMMITTED
        mark = await self._commit_on(transaction, lease, request)
        request.progress = Progress.COMMITTED
        await self._leases.release(lease)
        if transaction.access is Access.READ:
            return COMMITTED
        if mark is None:
            return ROLLED_BACK
        if transaction.has_written or transaction.claim is not None:
            await self._acknowledger.confirm(request, mark)
            session.advance(mark)
        return COMMITTED

    async def _commit_on(
        self,
        transaction: Transaction,
        lease: Lease,
        request: Request,
    ) -> LogMark | None:
        request.progress = Progress.RUNNING
        try:
            if transaction.claim is not None:
                await self._keys.record(lease, transaction.claim, COMMITTED)
            request.progress = Progress.COMMITTING
            return await self._leases.commit(lease)
        except StatementError as error:
            await self._leases.roll_back(lease)
            raise classify_failure(request, error) from None
        except EndpointError as error:
            raise classify_failure(request, error) from None
