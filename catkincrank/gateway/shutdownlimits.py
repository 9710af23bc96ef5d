"""Limits on the statements of callers while the process stops."""

import math
from collections.abc import Awaitable, Iterator
from contextlib import contextmanager
from typing import final

import anyio

from catkincrank.gateway.interruption import fail_interrupted
from catkincrank.gateway.reply import Failure, Reply, StatementFailed
from catkincrank.gateway.session import Session
from catkincrank.gateway.statement import Statement

__all__ = ('ShutdownLimits',)

_CAUSE = 'the process is stopping; connect again'


@final
class ShutdownLimits:
    """Refuses new operations and interrupts running statements in time.

    A caller without pauses between its operations keeps its session busy, so
    that the session never ends by itself. Its connection must not be closed
    while a statement runs.
    """

    __slots__ = ('_answer_by', '_refuse_at', '_scheduled_at', '_scopes')

    def __init__(self) -> None:
        self._refuse_at = math.inf
        self._answer_by = math.inf
        self._scheduled_at: float | None = None
        self._scopes: set[anyio.CancelScope] = set()

    @property
    def stopping_s(self) -> float | None:
        """Time since the process began to stop; ``None`` before."""
        if self._scheduled_at is None:
            return None
        return anyio.current_time() - self._scheduled_at

    def schedule(self, *, refuse_at: float, answer_by: float) -> None:
        """Set the limits, also for the statements that run.

        Args:
            refuse_at: When new operations begin to be refused, in seconds.
            answer_by: When every statement must be answered, in seconds.
        """
        self._scheduled_at = anyio.current_time()
        self._refuse_at = refuse_at
        self._answer_by = answer_by
        for scope in self._scopes:
            scope.deadline = answer_by

    def check_operation(self, session: Session) -> None:
        """Check that a new operation may begin; its session ends otherwise.

        Raises:
            StatementFailed: The process stops; nothing was run.
        """
        if anyio.current_time() >= self._refuse_at:
            session.is_closing = True
            raise StatementFailed(Failure.OVERLOADED, _CAUSE)

    @contextmanager
    def limit(self) -> Iterator[None]:
        """Interrupt the work of the block when every answer is due."""
        with anyio.CancelScope(deadline=self._answer_by) as scope:
            self._scopes.add(scope)
            try:  # noqa: WPS501
                yield
            finally:
                self._scopes.discard(scope)

    async def run(
        self,
        session: Session,
        statement: Statement,
        pending: Awaitable[Reply],
    ) -> Reply:
        """Return the reply to a statement, unless it comes too late.

        Args:
            session: Session of the statement.
            statement: The statement.
            pending: Runs it.

        Raises:
            StatementFailed: The process stops; the failure tells whether the
                statement may have run.
        """
        transaction = session.transaction
        with self.limit():
            return await pending
        failure = fail_interrupted(session, statement, transaction)
        raise StatementFailed(failure, _CAUSE)
