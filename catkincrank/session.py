"""A caller's session: what outlives its statements."""

from typing import TYPE_CHECKING, final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import OptionError
from catkincrank.history import LogMark
from catkincrank.optionparser import parse_set
from catkincrank.sessionoptions import SessionOptions
from catkincrank.tokens import SessionToken, encode_token

if TYPE_CHECKING:
    from catkincrank.transactionstate import Transaction

__all__ = ('Session',)

_CANCELLED = "canceled at the caller's request"


@final
class Session:
    """State of one caller's session.

    Args:
        group: Name of the group that it works on, ``team/service``.
    """

    __slots__ = (
        '_scope',
        'group',
        'cut_cause',
        'left_at',
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
        self.cut_cause = ''
        self.left_at: float = 0
        self._scope: anyio.CancelScope | None = None

    @property
    def status(self) -> TransactionStatus:
        """Transaction state that the caller sees."""
        if self.transaction is None:
            return TransactionStatus.IDLE
        return self.transaction.status

    @property
    def is_busy(self) -> bool:
        """Whether a statement runs now."""
        return self._scope is not None

    def advance(self, mark: LogMark | None) -> None:
        """Note that the session depends on ``mark``."""
        if mark is not None and (self.mark is None or mark > self.mark):
            self.mark = mark

    def fail(self) -> None:
        """Note that a statement failed: so did the open transaction."""
        if self.transaction is not None:
            self.transaction.status = TransactionStatus.FAILED

    def show_token(self) -> str:
        """Return the token to carry; empty before the first write."""
        if self.mark is None:
            return ''
        return encode_token(SessionToken(self.group, self.mark))

    def assign(self, name: str, text: str, *, is_local: bool = False) -> None:
        """Set one of the session's options.

        Raises:
            OptionError: The option does not take ``text``.
        """
        own = SessionOptions.session.name
        before = self.options.current
        self.options.assign(name, text, is_local=is_local)
        token = self.options.current.session
        if name != own or token is None:
            return
        if token.group != self.group:
            self.options.current = before
            raise OptionError(
                own,
                'a token of {0}'.format(token.group),
                'a token of {0}'.format(self.group),
            )
        self.advance(token.mark)

    def remember(self, sql: str) -> None:
        """Keep a ``SET`` that an endpoint accepted, for later statements."""
        words = parse_set(sql)
        if words is None:
            self.settings[sql.lower()] = sql
        elif not words.is_local:
            self.settings[words.name] = sql

    def show(self, name: str) -> str:
        """Return an option's text form."""
        if name == SessionOptions.session.name:
            return self.show_token()
        return self.options.show(name)

    def limit(self, deadline: float) -> anyio.CancelScope:
        """Return the scope of a statement that may run until ``deadline``."""
        self.cut_cause = ''
        self._scope = anyio.CancelScope(deadline=deadline)
        return self._scope

    def leave(self) -> None:
        """Note that the statement ended."""
        self._scope = None
        if self.transaction is not None:
            self.left_at = anyio.current_time()

    def cancel(self, cause: str = _CANCELLED) -> None:
        """Cut off the statement that runs now, if any."""
        if self._scope is not None:
            self.cut_cause = cause
            self._scope.cancel()
