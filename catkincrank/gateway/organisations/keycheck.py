"""Admits sessions by their keys and ends those whose key was withdrawn."""

import math
from collections import Counter
from collections.abc import Iterable
from typing import Final, final

import anyio

from catkincrank.gateway.caller import Caller
from catkincrank.gateway.callers import Startup
from catkincrank.gateway.catalog import Route
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.organisations.admission import Quotas
from catkincrank.gateway.organisations.directory import Directory
from catkincrank.gateway.reply import Failure
from catkincrank.gateway.requestlog import RequestLog
from catkincrank.gateway.session import Session
from catkincrank.gateway.transactions import Transactions

__all__ = ('KeyCheck',)

# A withdrawn key may be used for 5 s after the version that removed it. This
# leaves 1 s for the version to arrive, 1 s for the rollback, and a margin.
_TRANSACTION_LIMIT_S: Final = 2.0


@final
class KeyCheck:
    """Checks the keys of sessions.

    Args:
        groups: Holds the configuration.
        transactions: Rolls transactions back.
        quotas: Limits the operations of organisations.
        log: Log of requests.
    """

    __slots__ = ('_directory', '_groups', '_log', '_quotas', '_transactions')

    def __init__(
        self,
        groups: Groups,
        transactions: Transactions,
        quotas: Quotas,
        log: RequestLog,
    ) -> None:
        self._groups = groups
        self._directory = Directory(groups)
        self._transactions = transactions
        self._quotas = quotas
        self._log = log

    def record_unknown_database(self, database: str) -> None:
        """Log an unknown database, unless the caller sent a key instead."""
        is_key = self._directory.holds(database)
        self._log.record_unknown_database('' if is_key else database)

    def open_session(self, startup: Startup, route: Route) -> Session | None:
        """Return a session for a caller; ``None`` if its key is unknown."""
        found = self._directory.resolve(route, startup.credential)
        if found is None:
            self._log.record_denied_session(startup.database)
            return None
        return Session(startup.database, startup.credential, found)

    async def admit_operation(self, session: Session, route: Route) -> None:
        """Check the key before an operation, and count the operation.

        Raises:
            StatementFailed: The key was withdrawn, or the operation exceeds
                the limit of the organisation; nothing was run.
        """
        self._require_key(session, route)
        if session.organisation:
            await self._quotas.admit(session.organisation)
            self._require_key(session, route)

    async def check_transaction(
        self, session: Session, route: Route | None
    ) -> None:
        """Check the key before a statement of the open transaction.

        Raises:
            StatementFailed: The key was withdrawn; the transaction is rolled
                back.
        """
        if not self._directory.is_valid(session, route):
            raise await self._transactions.revoke(session)

    def review(self, callers: Iterable[Caller]) -> None:
        """Have sessions end whose key the accepted configuration lacks.

        Idle ones end now, the others after their request or transaction. A key
        that is held again before that is valid again.
        """
        revoked = [caller for caller in callers if self._review(caller)]
        if not revoked:
            return
        self._log.record_revoked_sessions(
            self._groups.catalog.version,
            Counter(caller.state for caller in revoked),
            {caller.session.organisation for caller in revoked},
        )

    def _review(self, caller: Caller) -> bool:
        """Return whether the key of a caller was found to be withdrawn."""
        session = caller.session
        if session is None:
            return False
        route = self._find_route(session)
        is_revoked = not self._directory.is_valid(session, route)
        if is_revoked is session.is_revoked:
            return False
        session.is_revoked = is_revoked
        if session.transaction is not None:
            session.transaction.expire(
                anyio.current_time() + _TRANSACTION_LIMIT_S
                if is_revoked
                else math.inf
            )
        caller.wake()
        return is_revoked

    def _find_route(self, session: Session) -> Route | None:
        route = self._groups.catalog.routes.get(session.database)
        if route is None and session.transaction is not None:
            return session.transaction.route
        return route

    def _require_key(self, session: Session, route: Route) -> None:
        if not self._directory.is_valid(session, route):
            raise session.deny(Failure.DENIED)
