"""Transactions that callers open, each on one leased connection."""

from typing import final

from catkincrank.acknowledging import Acknowledger
from catkincrank.doubt import DoubtResolver
from catkincrank.endpoint import (
    Answer,
    Description,
    StatementError,
    TransactionStatus,
)
from catkincrank.errors import EndpointError
from catkincrank.history import LogMark
from catkincrank.leases import Lease, Leases
from catkincrank.primary import PrimaryFinder
from catkincrank.reading import Reader
from catkincrank.request import Access, Progress, Request
from catkincrank.requestkeys import KeyClaim, MissingTableError, RequestKeys
from catkincrank.retrying import Retries
from catkincrank.session import Session
from catkincrank.statement import Kind, Statement
from catkincrank.verdict import Reason, RequestError, Verdict
from catkincrank.writing import (
    NOT_PRIMARY_STATES,
    Writer,
    judge_failure,
    make_claim,
)

__all__ = ('Transaction', 'Transactions')

_FINGERPRINT = 'transaction'
_FAILED_STATE = '25P02'
_ROLLED_BACK = Answer('ROLLBACK', None, (), TransactionStatus.IDLE)
_COMMITTED = Answer('COMMIT', None, (), TransactionStatus.IDLE)


@final
class Transaction:
    """State of a transaction that a caller has open.

    The connection is leased with its first statement.

    Args:
        begin: The statement that began it.
    """

    __slots__ = (
        'access',
        'begin',
        'claim',
        'has_written',
        'lease',
        'settings',
        'statements',
        'status',
    )

    def __init__(self, begin: Statement, settings: dict[str, str]) -> None:
        self.begin = begin
        self.access = Access.READ if begin.is_read_only else Access.WRITE
        self.status = TransactionStatus.OPEN
        self.lease: Lease | None = None
        self.claim: KeyClaim | None = None
        self.has_written = False
        self.statements = 0
        self.settings = settings


@final
class Transactions:
    """Runs callers' transactions.

    Args:
        leases: Connections.
        reader: Leases connections for read-only transactions.
        writer: Creates the table of request keys.
        primaries: Leases connections for the others.
        acknowledger: Waits for acknowledgements.
        resolver: Resolves doubts by request keys.
        retries: Retry budgets.
    """

    __slots__ = (
        '_acknowledger',
        '_keys',
        '_leases',
        '_primaries',
        '_reader',
        '_resolver',
        '_retries',
        '_writer',
    )

    def __init__(
        self,
        leases: Leases,
        reader: Reader,
        writer: Writer,
        primaries: PrimaryFinder,
        acknowledger: Acknowledger,
        resolver: DoubtResolver,
        retries: Retries,
    ) -> None:
        self._leases = leases
        self._reader = reader
        self._writer = writer
        self._primaries = primaries
        self._acknowledger = acknowledger
        self._resolver = resolver
        self._retries = retries
        self._keys = RequestKeys(leases)

    def begin(self, session: Session, statement: Statement) -> Answer:
        """Open a transaction without a connection yet."""
        session.transaction = Transaction(statement, dict(session.settings))
        session.options.begin()
        return Answer('BEGIN', None, (), TransactionStatus.OPEN)

    async def run(self, session: Session, request: Request) -> Answer:
        """Run one statement of the open transaction."""
        transaction = _find_transaction(session)
        if transaction.status is TransactionStatus.FAILED:
            if request.statement.kind is not Kind.SAVEPOINT:
                raise _explain_failed()
        try:
            answer = await self._run_first(session, transaction, request)
        except StatementError as error:
            transaction.status = error.transaction
            raise
        except BaseException:
            transaction.status = TransactionStatus.FAILED
            raise
        transaction.status = answer.transaction
        transaction.statements += 1
        if request.statement.kind is Kind.WRITE:
            transaction.has_written = True
        return answer

    async def describe(
        self,
        session: Session,
        request: Request,
    ) -> Description:
        """Return the shape of a statement as the transaction sees it."""
        transaction = _find_transaction(session)
        lease = transaction.lease
        if lease is None or not lease.is_open:
            raise _explain_failed()
        try:
            return await self._leases.describe(lease, request.statement.text)
        except StatementError as error:
            transaction.status = error.transaction
            raise
        except BaseException:
            transaction.status = TransactionStatus.FAILED
            raise

    async def commit(self, session: Session, request: Request) -> Answer:
        """Commit, and wait until that may be acknowledged."""
        transaction = _find_transaction(session)
        if transaction.status is TransactionStatus.FAILED:
            return await self.roll_back(session)
        try:
            answer = await self._commit_surely(session, transaction, request)
        except BaseException:
            self._end(session, is_committed=False)
            raise
        self._end(session, is_committed=answer is _COMMITTED)
        return answer

    async def roll_back(self, session: Session) -> Answer:
        """Roll back the open transaction, if there is one."""
        transaction = session.transaction
        if transaction is not None:
            lease = transaction.lease
            self._end(session, is_committed=False)
            if lease is not None:
                await self._leases.roll_back(lease)
        return _ROLLED_BACK

    def _end(self, session: Session, *, is_committed: bool) -> None:
        transaction = session.transaction
        if transaction is None:
            return
        session.transaction = None
        session.options.end(is_committed=is_committed)
        if not is_committed:
            session.settings = transaction.settings

    async def _run_first(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> Answer:
        """Run a statement; begin anew if the first one did not run."""
        attempt = 0
        while True:
            try:
                return await self._run_once(session, transaction, request)
            except EndpointError as error:
                failure = _explain_loss(error)
            except StatementError as error:
                failure = await self._judge(transaction, error)
            if transaction.statements:
                raise failure
            attempt += 1
            await self._retries.pause(request, attempt, failure)

    async def _judge(
        self,
        transaction: Transaction,
        error: StatementError,
    ) -> RequestError:
        """Return the failure of a transaction whose primary was replaced.

        Raises:
            StatementError: The statement itself was refused.
        """
        is_replaced = error.sqlstate in NOT_PRIMARY_STATES
        if transaction.access is Access.READ or not is_replaced:
            raise error
        if transaction.lease is not None:
            await self._leases.roll_back(transaction.lease)
        return _explain_replacement(error)

    async def _run_once(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> Answer:
        lease = transaction.lease
        if lease is None or not lease.is_open:
            if transaction.statements:
                raise EndpointError('it is closed', was_sent=False)
            lease = await self._start(session, transaction, request)
        request.progress = Progress.RUNNING
        if request.statement.touches_session:
            lease.is_dirty = True
        return await self._leases.execute(
            lease,
            request.statement.text,
            request.params,
        )

    async def _start(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> Lease:
        """Lease a connection and begin on it."""
        if transaction.access is Access.READ:
            lease = await self._reader.lease(session, request, set())
        else:
            lease = await self._primaries.lease(request)
        transaction.lease = lease
        try:
            await self._begin_on(session, transaction, request)
        except MissingTableError:
            await self._leases.roll_back(lease)
            await self._writer.create_table(request)
            return await self._start(session, transaction, request)
        return lease

    async def _begin_on(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> None:
        lease = transaction.lease
        if session.settings:
            await self._leases.apply(lease, session.settings)
        await self._leases.execute(lease, transaction.begin.text)
        if not request.options.request_key:
            return
        if transaction.access is Access.READ:
            return
        claim = make_claim(request, _FINGERPRINT)
        if await self._keys.claim(lease, claim) is not None:
            raise await self._explain_repetition(transaction, request)
        transaction.claim = claim

    async def _explain_repetition(
        self,
        transaction: Transaction,
        request: Request,
    ) -> RequestError:
        """Say that the transaction ran, once that is sure to last."""
        lease = transaction.lease
        mark = await self._leases.commit(lease)
        await self._leases.release(lease)
        await self._acknowledger.confirm(request, mark)
        return RequestError(
            Verdict.RAN,
            Reason.ALREADY_RAN,
            'the transaction with this request key has run',
        )

    async def _commit_surely(
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
        return _COMMITTED

    async def _commit(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> Answer:
        lease = transaction.lease
        if lease is None:
            return _COMMITTED
        mark = await self._commit_on(transaction, lease, request)
        request.progress = Progress.COMMITTED
        await self._leases.release(lease)
        if transaction.access is Access.READ:
            return _COMMITTED
        if mark is None:
            return _ROLLED_BACK
        if transaction.has_written or transaction.claim is not None:
            await self._acknowledger.confirm(request, mark)
            session.advance(mark)
        return _COMMITTED

    async def _commit_on(
        self,
        transaction: Transaction,
        lease: Lease,
        request: Request,
    ) -> LogMark | None:
        request.progress = Progress.RUNNING
        try:
            if transaction.claim is not None:
                await self._keys.record(lease, transaction.claim, _COMMITTED)
            request.progress = Progress.COMMITTING
            return await self._leases.commit(lease)
        except StatementError as error:
            await self._leases.roll_back(lease)
            raise judge_failure(request, error) from None
        except EndpointError as error:
            raise judge_failure(request, error) from None


def _find_transaction(session: Session) -> Transaction:
    if session.transaction is None:
        raise RuntimeError('no transaction is open')
    return session.transaction


def _explain_failed() -> StatementError:
    return StatementError(
        _FAILED_STATE,
        'current transaction is aborted, commands ignored until end of '
        'transaction block',
        {},
        TransactionStatus.FAILED,
    )


def _explain_loss(error: EndpointError) -> RequestError:
    return RequestError(
        Verdict.NOT_RUN,
        Reason.CONNECTION_LOST,
        'the transaction was lost with its connection: {0}'.format(error),
        retry_after_s=0,
    )


def _explain_replacement(error: StatementError) -> RequestError:
    return RequestError(
        Verdict.NOT_RUN,
        Reason.NO_PRIMARY,
        'the endpoint takes no writes now: {0}'.format(error),
        retry_after_s=0,
    )
