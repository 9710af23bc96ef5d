"""Runs callers' statements; each gets exactly one final answer."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar, final

import anyio

from catkincrank.catalog import Catalog
from catkincrank.endpoint import (
    Answer,
    Description,
    StatementError,
    TransactionStatus,
)
from catkincrank.keypruner import KeyPruner
from catkincrank.leases import Leases
from catkincrank.localanswers import LocalAnswers
from catkincrank.pipeline import Pipeline
from catkincrank.primary import PrimaryFinder
from catkincrank.reading import Reader
from catkincrank.request import Access, Request
from catkincrank.retrier import Retrier
from catkincrank.session import Session
from catkincrank.statement import Kind, Statement
from catkincrank.tally import Tally
from catkincrank.transaction import Transactions
from catkincrank.verdict import Reason, RequestError, Verdict
from catkincrank.writing import Writer

__all__ = ('Executor', 'StatementRunners')

ResultT = TypeVar('ResultT')
_RETRY_AFTER_S = 1
_CLOSE_TIMEOUT_S = 1
_MAX_DESCRIPTIONS = 4096


@final
@dataclass(frozen=True, slots=True)
class StatementRunners:
    """Components that run statements on endpoints.

    Attributes:
        leases: Leases pooled connections.
        reader: Runs reads outside transactions.
        writer: Runs writes outside transactions.
        transactions: Runs callers' transactions.
        primaries: Leases connections to primaries.
        retrier: Paces retries within the retry budgets.
        pruner: Deletes old request keys.
        tally: Counts outcomes.
    """

    leases: Leases
    reader: Reader
    writer: Writer
    transactions: Transactions
    primaries: PrimaryFinder
    retrier: Retrier
    pruner: KeyPruner
    tally: Tally


@final
class Executor:
    """Runs statements of every session of a proxy.

    Args:
        catalog: Services in force.
        pipeline: Filters applied to requests.
        runners: Components that run statements on endpoints.
    """

    __slots__ = (
        '_descriptions',
        '_catalog',
        '_local_answers',
        '_pipeline',
        'runners',
    )

    def __init__(
        self,
        catalog: Catalog,
        pipeline: Pipeline,
        runners: StatementRunners,
    ) -> None:
        self._catalog = catalog
        self._pipeline = pipeline
        self._local_answers = LocalAnswers()
        self._descriptions: OrderedDict[tuple[str, str], Description] = (
            OrderedDict()
        )
        self.runners = runners

    async def run(
        self,
        session: Session,
        statement: Statement,
        params: tuple[str | None, ...] = (),
    ) -> Answer:
        """Run one statement to its final answer.

        Raises:
            RequestError: It was not served; the error carries the verdict.
            StatementError: The endpoint rejected it.
            OptionError: It sets an option to an invalid value.
        """
        answer = self._local_answers.find(session, statement)
        if answer is not None:
            return answer
        if statement.kind is Kind.BEGIN and session.transaction is None:
            return self.runners.transactions.begin(session, statement)
        try:
            request = self._prepare(session, statement, params)
            return await self._run_until_deadline(
                session, request, self._dispatch
            )
        except (RequestError, StatementError) as error:
            self.runners.tally.count_failed(session.group, error.sqlstate)
            raise

    async def describe(
        self,
        session: Session,
        statement: Statement,
    ) -> Description:
        """Return the description of a statement, cached per group."""
        local = self._local_answers.describe(session, statement)
        if local is not None:
            return local
        key = (session.group, statement.text)
        cached = self._descriptions.get(key)
        if cached is not None:
            self._descriptions.move_to_end(key)
            return cached
        request = self._prepare(session, statement, ())
        found = await self._run_until_deadline(
            session, request, self._fetch_description
        )
        self._cache_description(key, found)
        return found

    def drop_description(self, session: Session, statement: Statement) -> None:
        """Drop a cached description whose result columns have changed."""
        self._descriptions.pop((session.group, statement.text), None)

    async def expire_transaction(self, session: Session) -> bool:
        """Roll back a transaction that has been idle for too long.

        The caller's next statement fails with an aborted transaction.
        """
        service = self._catalog.find(session.group)
        transaction = session.transaction
        if service is None or transaction is None or session.is_busy:
            return False
        lease = transaction.lease
        idle_s = anyio.current_time() - session.idle_since
        if lease is None or idle_s < service.limits.deadline_s:
            return False
        transaction.lease = None
        transaction.status = TransactionStatus.FAILED
        await self.runners.leases.roll_back(lease)
        return True

    async def close(self, session: Session) -> None:
        """Close a session whose caller has disconnected."""
        with anyio.move_on_after(_CLOSE_TIMEOUT_S, shield=True):
            await self.runners.transactions.roll_back(session)

    def _prepare(
        self,
        session: Session,
        statement: Statement,
        params: tuple[str | None, ...],
    ) -> Request:
        service = self._catalog.find(session.group)
        if service is None:
            raise RequestError(
                Verdict.NOT_RUN,
                Reason.UNKNOWN_SERVICE,
                'the service {0!r} is not known here'.format(session.group),
                retry_after_s=_RETRY_AFTER_S,
            )
        self.runners.retrier.record_request(session.group)
        request = self._pipeline.prepare(
            Request(
                session.group,
                service,
                statement,
                params,
                session.options.current,
                anyio.current_time(),
                weight=self._catalog.weight(session.group),
            ),
        )
        if request.fingerprint:
            self.runners.pruner.record_use(session.group)
        return request

    async def _run_until_deadline(
        self,
        session: Session,
        request: Request,
        operation: Callable[[Session, Request], Awaitable[ResultT]],
    ) -> ResultT:
        """Run ``operation`` until the request's deadline or cancellation."""
        with session.start_statement(request):
            try:  # noqa: WPS501
                return await operation(session, request)
            finally:
                session.end_statement()
        raise _make_cancellation_error(session, request)

    async def _dispatch(self, session: Session, request: Request) -> Answer:
        runners = self.runners
        kind = request.statement.kind
        if session.transaction is not None:
            return await self._run_in_transaction(session, request)
        if kind is Kind.SET:
            return await self._run_set(session, request)
        if request.access is Access.READ:
            return await runners.reader.run(session, request)
        return await runners.writer.run(session, request)

    async def _run_in_transaction(
        self,
        session: Session,
        request: Request,
    ) -> Answer:
        transactions = self.runners.transactions
        kind = request.statement.kind
        if kind is Kind.COMMIT:
            return await transactions.commit(session, request)
        if kind is Kind.ROLLBACK:
            return await transactions.roll_back(session)
        answer = await transactions.run(session, request)
        if kind is Kind.SET:
            session.record_setting(request.statement.text)
        return answer

    async def _run_set(
        self,
        session: Session,
        request: Request,
    ) -> Answer:
        """Validate a ``SET`` on an endpoint and record it for replay."""
        leases = self.runners.leases
        lease = await self.runners.reader.lease(session, request, set())
        lease.is_dirty = True
        try:
            answer = await leases.execute(lease, request.statement.text)
        except StatementError:
            await leases.release(lease)
            raise
        await leases.release(lease)
        session.record_setting(request.statement.text)
        return answer

    async def _fetch_description(
        self,
        session: Session,
        request: Request,
    ) -> Description:
        transaction = session.transaction
        if transaction is not None and transaction.statement_count:
            return await self.runners.transactions.describe(session, request)
        leases = self.runners.leases
        lease = await self.runners.reader.lease(session, request, set())
        try:
            found = await leases.describe(lease, request.statement.text)
        except StatementError:
            await leases.release(lease)
            raise
        await leases.release(lease)
        return found

    def _cache_description(
        self,
        key: tuple[str, str],
        found: Description,
    ) -> None:
        self._descriptions[key] = found
        if len(self._descriptions) > _MAX_DESCRIPTIONS:
            self._descriptions.popitem(last=False)


def _make_cancellation_error(
    session: Session, request: Request
) -> RequestError:
    verdict = request.verdict
    is_safe = verdict is Verdict.NOT_RUN
    cause = session.cancel_cause or 'the deadline passed'
    return RequestError(
        verdict,
        Reason.DEADLINE if is_safe else Reason.OUTCOME_UNKNOWN,
        cause,
        retry_after_s=_RETRY_AFTER_S if is_safe else None,
    )
