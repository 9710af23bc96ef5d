"""Runs the statements of sessions, each to one final answer."""

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

OutcomeT = TypeVar('OutcomeT')
_CUT_HINT_S = 1
_CLOSE_LIMIT_S = 1
_DESCRIPTIONS_KEPT = 4096


@final
@dataclass(frozen=True, slots=True)
class StatementRunners:
    """What runs statements on endpoints.

    Attributes:
        leases: Connections.
        reader: Runs reads outside transactions.
        writer: Runs writes outside transactions.
        transactions: Runs callers' transactions.
        primaries: Leases connections to primaries.
        retries: Retry budgets.
        pruner: Deletes old request keys.
        tally: Counts of outcomes.
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
        pipeline: Filters that requests pass.
        runners: What runs statements on endpoints.
    """

    __slots__ = (
        '_descriptions',
        '_catalog',
        '_local',
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
        self._local = LocalAnswers()
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
            RequestError: It was not served; the error has the verdict.
            StatementError: The endpoint refused it.
            OptionError: It sets an option to a value that is not accepted.
        """
        answer = self._local.find(session, statement)
        if answer is not None:
            return answer
        if statement.kind is Kind.BEGIN and session.transaction is None:
            return self.runners.transactions.begin(session, statement)
        try:
            request = self._prepare(session, statement, params)
            return await self._limit(session, request, self._dispatch)
        except (RequestError, StatementError) as error:
            self.runners.tally.count_failed(session.group, error.sqlstate)
            raise

    async def describe(
        self,
        session: Session,
        statement: Statement,
    ) -> Description:
        """Return the shape of a statement; shapes are kept per group."""
        local = self._local.describe(session, statement)
        if local is not None:
            return local
        key = (session.group, statement.text)
        known = self._descriptions.get(key)
        if known is not None:
            self._descriptions.move_to_end(key)
            return known
        request = self._prepare(session, statement, ())
        found = await self._limit(session, request, self._fetch_description)
        self._keep_description(key, found)
        return found

    def forget_description(
        self, session: Session, statement: Statement
    ) -> None:
        """Drop the shape of a statement that was altered since."""
        self._descriptions.pop((session.group, statement.text), None)

    async def expire(self, session: Session) -> bool:
        """Roll back a transaction that its caller has left open too long.

        The caller learns of it at its next statement.
        """
        service = self._catalog.find(session.group)
        transaction = session.transaction
        if service is None or transaction is None or session.is_busy:
            return False
        lease = transaction.lease
        idle_s = anyio.current_time() - session.left_at
        if lease is None or idle_s < service.limits.deadline_s:
            return False
        transaction.lease = None
        transaction.status = TransactionStatus.FAILED
        await self.runners.leases.roll_back(lease)
        return True

    async def close(self, session: Session) -> None:
        """End a session whose caller is gone."""
        with anyio.move_on_after(_CLOSE_LIMIT_S, shield=True):
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
                retry_after_s=_CUT_HINT_S,
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

    async def _limit(
        self,
        session: Session,
        request: Request,
        work: Callable[[Session, Request], Awaitable[OutcomeT]],
    ) -> OutcomeT:
        """Do ``work`` until the request's deadline or its cancellation."""
        with session.limit(request.deadline_at):
            try:  # noqa: WPS501
                return await work(session, request)
            finally:
                session.leave()
        raise _explain_cut(session, request)

    async def _dispatch(self, session: Session, request: Request) -> Answer:
        runners = self.runners
        kind = request.statement.kind
        if session.transaction is not None:
            return await self._run_in_transaction(session, request)
        if kind is Kind.SET:
            return await self._remember_setting(session, request)
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
            session.remember(request.statement.text)
        return answer

    async def _remember_setting(
        self,
        session: Session,
        request: Request,
    ) -> Answer:
        """Check a ``SET`` on an endpoint; repeat it with later statements."""
        leases = self.runners.leases
        lease = await self.runners.reader.lease(session, request, set())
        lease.is_dirty = True
        try:
            answer = await leases.execute(lease, request.statement.text)
        except StatementError:
            await leases.release(lease)
            raise
        await leases.release(lease)
        session.remember(request.statement.text)
        return answer

    async def _fetch_description(
        self,
        session: Session,
        request: Request,
    ) -> Description:
        transaction = session.transaction
        if transaction is not None and transaction.statements:
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

    def _keep_description(
        self,
        key: tuple[str, str],
        found: Description,
    ) -> None:
        self._descriptions[key] = found
        if len(self._descriptions) > _DESCRIPTIONS_KEPT:
            self._descriptions.popitem(last=False)


def _explain_cut(session: Session, request: Request) -> RequestError:
    verdict = request.verdict
    is_safe = verdict is Verdict.NOT_RUN
    cause = session.cut_cause or 'the deadline passed'
    return RequestError(
        verdict,
        Reason.DEADLINE if is_safe else Reason.OUTCOME_UNKNOWN,
        cause,
        retry_after_s=_CUT_HINT_S if is_safe else None,
    )
