"""Helpers for programs that call the proxy through a PostgreSQL driver.

Handles the exceptions of psycopg, asyncpg and SQLAlchemy without importing
any of them: it reads only the error fields and session options that the proxy
sets.
"""

import re
from dataclasses import dataclass
from typing import Any, final

from catkincrank.verdict import Verdict

__all__ = ('Failure', 'classify_error', 'format_options', 'quote_value')

_VERDICT = re.compile('^verdict: (.+)$', re.MULTILINE)
_RETRY_AFTER = re.compile(r'^retry_after: ([\d.]+)$', re.MULTILINE)
_SESSION_TOKEN = re.compile('^session: (.+)$', re.MULTILINE)
_PREFIX = 'catkincrank.'
_NEVER_SENT_SQLSTATES = frozenset(('08001', '08004'))


@final
@dataclass(frozen=True, slots=True)
class Failure:
    """Outcome of a failed request, as reported by its error.

    Attributes:
        verdict: Whether the request may have run.
        sqlstate: Its SQLSTATE; empty when the driver gave none.
        retry_after_s: Delay before a retry, in seconds; ``None`` when a retry
            cannot help without a request key.
        session: Session token sent by a draining proxy; empty when none.
    """

    verdict: Verdict
    sqlstate: str
    retry_after_s: float | None
    session: str = ''

    @property
    def may_retry(self) -> bool:
        """Whether the same request may be sent again without a key."""
        return self.verdict is Verdict.NOT_RUN


def classify_error(error: BaseException) -> Failure:
    """Return the outcome that a driver's exception reports.

    A connection that broke without an error message leaves the outcome
    unknown.
    """
    cause = getattr(error, 'orig', None) or error
    sqlstate = getattr(cause, 'sqlstate', None) or ''
    detail = _read_field(cause, 'detail')
    hint = _read_field(cause, 'hint')
    return Failure(
        _find_verdict(detail, sqlstate),
        sqlstate,
        _find_retry_after(hint),
        _find_value(_SESSION_TOKEN, hint),
    )


def format_options(**options: Any) -> str:
    """Return the startup parameter ``options`` that sets session options.

    For example ``format_options(session=token, max_staleness='5s')``.
    """
    return ' '.join(
        '-c {0}{1}={2}'.format(_PREFIX, name, _escape(str(given)))
        for name, given in options.items()
    )


def quote_value(given: str) -> str:
    """Return ``given`` quoted for the right side of a ``SET``."""
    return "'{0}'".format(given.replace("'", "''"))


def _read_field(error: Any, name: str) -> str:
    diagnostics = getattr(error, 'diag', None)
    if diagnostics is not None:
        return getattr(diagnostics, 'message_{0}'.format(name), '') or ''
    return getattr(error, name, '') or ''


def _find_verdict(detail: str, sqlstate: str) -> Verdict:
    text = _find_value(_VERDICT, detail)
    for verdict in Verdict:
        if verdict.value == text:
            return verdict
    if sqlstate in _NEVER_SENT_SQLSTATES:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN


def _find_retry_after(hint: str) -> float | None:
    text = _find_value(_RETRY_AFTER, hint)
    return float(text) if text else None


def _find_value(pattern: re.Pattern[str], text: str) -> str:
    found = pattern.search(text)
    return found.group(1) if found else ''


def _escape(text: str) -> str:
    return text.replace('\\', r'\\').replace(' ', r'\ ')
