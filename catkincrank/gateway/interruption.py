"""Failures of statements that ended without a reply."""

from catkincrank.gateway.reply import Failure
from catkincrank.gateway.session import Session, Transaction
from catkincrank.gateway.statement import Kind, Statement

__all__ = ('fail_interrupted',)


def fail_interrupted(
    session: Session,
    statement: Statement,
    transaction: Transaction | None,
) -> Failure:
    """Return the failure of a statement that was interrupted.

    It says that nothing ran only if no endpoint was sent the statement. An open
    transaction is rolled back, unless its commit may have run.

    Args:
        session: Session of the statement.
        statement: The statement.
        transaction: Transaction that was open when the statement began.
    """
    if transaction is None:
        return _find_failure(session, statement)
    return _end_transaction(session, statement, transaction)


def _find_failure(session: Session, statement: Statement) -> Failure:
    """Return the failure of an interrupted statement outside transactions."""
    if not session.may_have_run:
        return Failure.OVERLOADED
    if session.writes(statement):
        return Failure.IN_DOUBT
    return Failure.TIMED_OUT


def _end_transaction(
    session: Session,
    statement: Statement,
    transaction: Transaction,
) -> Failure:
    """Roll back after an interruption, unless the commit may have run."""
    transaction.close_link()
    if session.transaction is not None:
        session.fail_transaction()
    is_commit = statement.kind is Kind.COMMIT
    if is_commit and transaction.has_written and session.may_have_run:
        return Failure.IN_DOUBT
    return Failure.ABORTED
