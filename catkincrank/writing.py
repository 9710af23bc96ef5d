"""Runs writes outside transactions, each in a transaction of its own."""

import time
from typing import final

from anyio.lowlevel import checkpoint_if_cancelled

from catkincrank.acknowledger import Acknowledger
from catkincrank.endpoint import Answer, StatementError, TransactionStatus
from catkincrank.errors import EndpointError
from catkincrank.history import LogMark
from catkincrank.indoubt import InDoubtResolver
from catkincrank.leases import Lease, Leases
from catkincrank.primary import PrimaryFinder
from catkincrank.request import Access, Progress, Request
from catkincrank.requestkeys import KeyClaim, MissingTableError, RequestKeys
from catkincrank.retrier import Retrier
from catkincrank.session import Session
from catkincrank.statement import Kind
from catkincrank.tally import Tally
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = (
    'Writer',
    'NOT_PRIMARY_SQLSTATES',
    'classify_failure',
    'add_earlier_doubt',
    'make_claim',
    'may_resubmit',
)

NOT_PRIMARY_SQLSTATES = frozenset(('25006', '57P01', '57P02', '57P03'))
_BEGIN = 'BEGIN'
_RETRIED_REASONS = frozenset((Reason.CONNECTION_LOST, Reason.NO_PRIMARY))
_COMPLETION_UNKNOWN_SQLSTATE = '40003'
# Classes of SQLSTATEs after which the transaction is certain not to have
# committed: data, constraint, transaction state, rollback, syntax or access,
# object state, error raised in PL/pgSQL.
_ROLLED_BACK_CLASSES = frozenset(('22', '23', '25', '40', '42', '55', 'P0'))


@final
class Writer:
    """Runs writes.

    Args:
        leases: Leases of pooled connections.
        primaries: Leases connections to primaries.
        acknowledger: Waits for acknowledgements.
        resolver: Resolves in-doubt commits by request keys.
        retrier: Paces retries within the retry budgets.
        tally: Counts served requests.
    """

    __slots__ = (
        '_acknowledger',
        '_keys',
        '_leases',
        '_primaries',
        '_resolver',
        '_retrier',
        '_tally',
    )

    def __init__(
        self,
        leases: Leases,
        primaries: PrimaryFinder,
        acknowledger: Acknowledger,
        resolver: InDoubtResolver,
        retrier: Retrier,
        tally: Tally,
    ) -> None:
        self._leases = leases
        self._primaries = primaries
        self._acknowledger = acknowledger
        self._resolver = resolver
        self._retrier = retrier
        self._tally = tally
        self._keys = RequestKeys(leases)

    async def run(self, session: Session, request: Request) -> Answer:
        """Run a write and wait until it may be acknowledged.

        A request with a key whose outcome is in doubt is submitted again: it
        either finds the row of its key or runs for the first time.
        """
        attempt = 0
        while True:
            try:
                return await self._run_once(session, request)
            except (EndpointError, StatementError) as error:
                failure = classify_failure(request, error)
            except RequestError as error:
                failure = error
            if not may_resubmit(request, failure):
                raise add_earlier_doubt(request, failure)
            attempt += 1
            await self._retrier.pause(request, attempt, failure)
            request.progress = Progress.QUEUED

    async def create_table(self, request: Request) -> None:
        """Create the table of request keys if the login is allowed to."""
        lease = await self._primaries.lease(request)
        try:
            await self._keys.create_table(lease)
        except StatementError:
            await self._leases.release(lease)
            raise
        await self._leases.release(lease)

    async def _run_once(self, session: Session, request: Request) -> Answer:
        lease = await self._primaries.lease(request)
        request.progress = Progress.RUNNING
        try:
            answer, mark = await self._run_on(session, request, lease)
        except MissingTableError:
            await self._leases.roll_back(lease)
            await self.create_table(request)
            return await self._run_once(session, request)
        except (StatementError, RequestError):
            await self._leases.roll_back(lease)
            raise
        except BaseException:
            self._leases.discard(lease)
            raise
        request.progress = Progress.COMMITTED
        await self._leases.release(lease)
        await self._acknowledger.confirm(request, mark)
        session.advance(mark)
        self._tally.count_served(request.group, Access.WRITE, lease.endpoint)
        return answer

    async def _run_on(
        self,
        session: Session,
        request: Request,
        lease: Lease,
    ) -> tuple[Answer, LogMark | None]:
        leases = self._leases
        if session.settings:
            await leases.apply(lease, session.settings)
        if request.statement.touches_session:
            lease.is_dirty = True
        if request.statement.kind is Kind.STANDALONE:
            return await self._run_standalone(request, lease)
        await leases.execute(lease, _BEGIN)
        answer = await self._run_with_key(request, lease)
        if answer.transaction is not TransactionStatus.OPEN:
            request.progress = Progress.COMMITTED
            raise _make_ended_transaction_error()
        request.progress = Progress.COMMITTING
        return answer, await leases.commit(lease)

    async def _run_with_key(self, request: Request, lease: Lease) -> Answer:
        text, params = request.statement.text, request.params
        if not request.fingerprint:
            return await self._leases.execute(lease, text, params)
        claim = make_claim(request, request.fingerprint)
        recorded = await self._keys.claim(lease, claim)
        if recorded is not None:
            return recorded
        if request.is_in_doubt:
            await self._resolver.confirm_term(request, lease)
        answer = await self._leases.execute(lease, text, params)
        await self._keys.record(lease, claim, answer)
        return answer

    async def _run_standalone(
        self,
        request: Request,
        lease: Lease,
    ) -> tuple[Answer, LogMark | None]:
        await checkpoint_if_cancelled()
        request.progress = Progress.COMMITTING
        answer = await self._leases.execute(
            lease,
            request.statement.text,
            request.params,
        )
        return answer, await self._leases.commit(lease)


def make_claim(request: Request, fingerprint: str) -> KeyClaim:
    """Return the claim for the key of a request."""
    return KeyClaim(
        request.team,
        request.options.request_key,
        fingerprint,
        int(time.time()),
    )


def classify_failure(
    request: Request,
    error: EndpointError | StatementError,
) -> RequestError:
    """Return the error of a write that failed at an endpoint.

    Raises:
        StatementError: The endpoint rejected the statement itself.
    """
    if isinstance(error, EndpointError):
        is_certain = not error.was_sent
    else:
        is_certain = _is_rolled_back(error)
    if request.progress is Progress.COMMITTING and not is_certain:
        return RequestError(
            Verdict.MAY_HAVE_RUN,
            Reason.OUTCOME_UNKNOWN,
            'the response to the commit was lost: {0}'.format(error),
        )
    if isinstance(error, EndpointError):
        return _make_write_failure(Reason.CONNECTION_LOST, error)
    if error.sqlstate in NOT_PRIMARY_SQLSTATES or request.is_in_doubt:
        return _make_write_failure(Reason.NO_PRIMARY, error)
    raise error


def may_resubmit(request: Request, failure: RequestError) -> bool:
    """Return whether a failed write may be resubmitted.

    Marks the request as in doubt when it may have run.
    """
    if failure.verdict is Verdict.NOT_RUN:
        return failure.reason in _RETRIED_REASONS
    if failure.verdict is Verdict.RAN or not request.fingerprint:
        return False
    request.is_in_doubt = True
    return True


def add_earlier_doubt(request: Request, failure: RequestError) -> RequestError:
    """Return the failure; in doubt if an earlier attempt may have run."""
    if failure.verdict is not Verdict.NOT_RUN or not request.is_in_doubt:
        return failure
    return RequestError(
        Verdict.MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        'an earlier attempt may have run; {0}'.format(failure.message),
        retry_after_s=failure.retry_after_s,
    )


def _is_rolled_back(error: StatementError) -> bool:
    if error.sqlstate == _COMPLETION_UNKNOWN_SQLSTATE:
        return False
    return error.sqlstate[:2] in _ROLLED_BACK_CLASSES


def _make_write_failure(reason: Reason, error: Exception) -> RequestError:
    return RequestError(
        Verdict.NOT_RUN,
        reason,
        'the write failed on the endpoint: {0}'.format(error),
        retry_after_s=0,
    )


def _make_ended_transaction_error() -> RequestError:
    return RequestError(
        Verdict.MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        'the statement ended its own transaction',
    )
