"""A caller's session: state kept between its statements."""

from typing import TYPE_CHECKING, final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import OptionError
from catkincrank.history import LogMark
from catkincrank.optionparser import parse_set
from catkincrank.sessionoptions import SessionOptions
from catkincrank.tokens import SessionToken, encode_token
from catkincrank.verdict import Verdict

if TYPE_CHECKING:
    from catkincrank.request import Request
    from catkincrank.transactionstate import Transaction

__all__ = ('Session',)

_CANCELLED_BY_CALLER = "canceled at the caller's request"


@final
class Session:
    """State of one caller's session.

    Args:
        group: Name of the group that it is connected to, ``team/service``.
    """

    __slots__ = (
        '_is_closed',
        '_request',
        '_scope',
        'group',
        'cancel_cause',
        'idle_since',
        'mark',
        'options',
        'settings',
        'transaction',
    )

    def __init__(self, group: str) -> None:
        self.group = group
        self.options = SessionOptions()
        self.mark: LogMark | None = None
        self.transaction: Transaction | None = None
        self.settings: dict[str, str] = {}
        self.cancel_cause = ''
        self.idle_since: float = 0
        self._is_closed = False
        self._request: Request | None = None
        self._scope: anyio.CancelScope | None = None

    @property
    def status(self) -> TransactionStatus:
        """Transaction status reported to the caller."""
        if self.transaction is None:
            return TransactionStatus.IDLE
        return self.transaction.status

    @property
    def is_busy(self) -> bool:
        """Whether a statement is running."""
        return self._scope is not None

    @property
    def verdict(self) -> Verdict:
        """Verdict on the current request if the connection ended now."""
        if self._request is None:
            return Verdict.NOT_RUN
        return self._request.verdict

    def advance(self, mark: LogMark | None) -> None:
        """Record that the session depends on ``mark`` if it is newer."""
        if mark is not None and (self.mark is None or mark > self.mark):
            self.mark = mark

    def fail_transaction(self) -> None:
        """Mark the open transaction as failed, if there is one."""
        if self.transaction is not None:
            self.transaction.status = TransactionStatus.FAILED

    def show_token(self) -> str:
        """Return the session token; empty when there is no mark yet."""
        if self.mark is None:
            return ''
        return encode_token(SessionToken(self.group, self.mark))

    def assign(self, name: str, text: str, *, is_local: bool = False) -> None:
        """Set one of the session's options.

        Raises:
            OptionError: ``text`` is not a valid value of the option.
        """
        token_option = SessionOptions.session.name
        before = self.options.current
        self.options.assign(name, text, is_local=is_local)
        token = self.options.current.session
        if name != token_option or token is None:
            return
        if token.group != self.group:
            self.options.current = before
            raise OptionError(
                token_option,
                'a token of {0}'.format(token.group),
                'a token of {0}'.format(self.group),
            )
        self.advance(token.mark)

    def record_setting(self, sql: str) -> None:
        """Record a ``SET`` accepted by an endpoint, for replay."""
        assignment = parse_set(sql)
        if assignment is None:
            self.settings[sql.lower()] = sql
        elif not assignment.is_local:
            self.settings[assignment.name] = sql

    def show(self, name: str) -> str:
        """Return the text form of an option."""
        if name == SessionOptions.session.name:
            return self.show_token()
        return self.options.show(name)

    def start_statement(self, request: 'Request') -> anyio.CancelScope:
        """Return a cancel scope that limits a statement to its deadline.

        It is cancelled already if the session is closed.
        """
        self.cancel_cause = ''
        self._request = request
        self._scope = anyio.CancelScope(deadline=request.deadline_at)
        if self._is_closed:
            self._scope.cancel()
        return self._scope

    def end_statement(self) -> None:
        """Record the end of the running statement."""
        self._scope = None
        if self.transaction is not None:
            self.idle_since = anyio.current_time()

    def complete_request(self) -> None:
        """Record that the caller's request is fully answered."""
        self._request = None

    def close(self, cause: str) -> Verdict:
        """Cancel the running statement and all later ones.

        Returns:
            The verdict on the request; it stays true, since a cancelled
            request commits nothing more.
        """
        self._is_closed = True
        self.cancel(cause)
        return self.verdict

    def cancel(self, cause: str = _CANCELLED_BY_CALLER) -> None:
        """Cancel the running statement, if any."""
        if self._scope is not None:
            self.cancel_cause = cause
            self._scope.cancel()
