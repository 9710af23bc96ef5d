"""Callers' transactions, each on one leased connection."""

from typing import final

from catkincrank.endpoint import (
    Answer,
    Description,
    StatementError,
    TransactionStatus,
)
from catkincrank.errors import EndpointError
from catkincrank.leases import Leases
from catkincrank.request import Access, Progress, Request
from catkincrank.retrier import Retrier
from catkincrank.session import Session
from catkincrank.statement import Kind, Statement
from catkincrank.transactioncommit import (
    COMMITTED,
    ROLLED_BACK,
    TransactionCommitter,
)
from catkincrank.transactionstart import TransactionStarter
from catkincrank.transactionstate import (
    Transaction,
    get_transaction,
    make_aborted_error,
    make_connection_lost_error,
    make_primary_replaced_error,
)
from catkincrank.verdict import RequestError
from catkincrank.writing import NOT_PRIMARY_SQLSTATES

__all__ = ('Transactions',)


@final
class Transactions:
    """Runs callers' transactions.

    Args:
        leases: Runs statements on leased connections.
        starter: Begins transactions.
        committer: Commits transactions.
        retrier: Paces retries within the retry budgets.
    """

    __slots__ = ('_committer', '_leases', '_retrier', '_starter')

    def __init__(
        self,
        leases: Leases,
        starter: TransactionStarter,
        committer: TransactionCommitter,
        retrier: Retrier,
    ) -> None:
        self._leases = leases
        self._starter = starter
        self._committer = committer
        self._retrier = retrier

    def begin(self, session: Session, statement: Statement) -> Answer:
        """Open a transaction; its first statement leases a connection."""
        session.transaction = Transaction(statement, dict(session.settings))
        session.options.begin()
        return Answer('BEGIN', None, (), TransactionStatus.OPEN)

    async def run(self, session: Session, request: Request) -> Answer:
        """Run one statement of the open transaction."""
        transaction = get_transaction(session)
        if transaction.status is TransactionStatus.FAILED:
            if request.statement.kind is not Kind.SAVEPOINT:
                raise make_aborted_error()
        try:
            answer = await self._run_with_retry(session, transaction, request)
        except StatementError as error:
            transaction.status = error.transaction
            raise
        except BaseException:
            transaction.status = TransactionStatus.FAILED
            raise
        transaction.status = answer.transaction
        transaction.statement_count += 1
        if request.statement.kind is Kind.WRITE:
            transaction.has_written = True
        return answer

    async def describe(
        self,
        session: Session,
        request: Request,
    ) -> Description:
        """Return the description of a statement within the transaction."""
        transaction = get_transaction(session)
        lease = transaction.lease
        if lease is None or not lease.is_open:
            raise make_aborted_error()
        try:
            return await self._leases.describe(lease, request.statement.text)
        except StatementError as error:
            transaction.status = error.transaction
            raise
        except BaseException:
            transaction.status = TransactionStatus.FAILED
            raise

    async def commit(self, session: Session, request: Request) -> Answer:
        """Commit, and wait until the commit may be acknowledged."""
        transaction = get_transaction(session)
        if transaction.status is TransactionStatus.FAILED:
            return await self.roll_back(session)
        try:
            answer = await self._committer.commit(
                session,
                transaction,
                request,
            )
        except BaseException:
            self._end(session, is_committed=False)
            raise
        self._end(session, is_committed=answer is COMMITTED)
        return answer

    async def roll_back(self, session: Session) -> Answer:
        """Roll back the open transaction, if there is one."""
        transaction = session.transaction
        if transaction is not None:
            lease = transaction.lease
            self._end(session, is_committed=False)
            if lease is not None:
                await self._leases.roll_back(lease)
        return ROLLED_BACK

    def _end(self, session: Session, *, is_committed: bool) -> None:
        transaction = session.transaction
        if transaction is None:
            return
        session.transaction = None
        session.options.end(is_committed=is_committed)
        if not is_committed:
            session.settings = transaction.settings

    async def _run_with_retry(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> Answer:
        """Run a statement; retry on a new connection if it is the first."""
        attempt = 0
        while True:
            try:
                return await self._run_once(session, transaction, request)
            except EndpointError as error:
                failure = make_connection_lost_error(error)
            except StatementError as error:
                failure = await self._classify_failure(transaction, error)
            if transaction.statement_count:
                raise failure
            attempt += 1
            await self._retrier.pause(request, attempt, failure)

    async def _classify_failure(
        self,
        transaction: Transaction,
        error: StatementError,
    ) -> RequestError:
        """Return the error of a transaction whose primary was replaced.

        Raises:
            StatementError: The endpoint rejected the statement itself.
        """
        is_primary_replaced = error.sqlstate in NOT_PRIMARY_SQLSTATES
        if transaction.access is Access.READ or not is_primary_replaced:
            raise error
        if transaction.lease is not None:
            await self._leases.roll_back(transaction.lease)
        return make_primary_replaced_error(error)

    async def _run_once(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> Answer:
        lease = transaction.lease
        if lease is None or not lease.is_open:
            if transaction.statement_count:
                raise EndpointError('the connection is closed', was_sent=False)
            lease = await self._starter.start(session, transaction, request)
        request.progress = Progress.RUNNING
        if request.statement.touches_session:
            lease.is_dirty = True
        return await self._leases.execute(
            lease,
            request.statement.text,
            request.params,
        )
