"""Verdicts on requests: whether a request ran, did not run, or may have run.

Without a request key, only a request with the verdict ``NOT_RUN`` may be
retried.
"""

import enum
from typing import final

from catkincrank.errors import CatkincrankError

__all__ = ('Reason', 'RequestError', 'Verdict')


@final
class Verdict(enum.Enum):
    """Whether a request had, or may have had, an effect."""

    NOT_RUN = 'not run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may have run'


@final
class Reason(enum.Enum):
    """Why a request failed; the value is the SQLSTATE sent to the caller."""

    OVERLOADED = '53300'
    DRAINING = '57P01'
    NO_PRIMARY = '57P03'
    DEADLINE = '57014'
    HISTORY_LOST = '72000'
    TOKEN_AHEAD = '72001'
    BAD_OPTION = '22023'
    UNKNOWN_SERVICE = '3D000'
    CONNECTION_LOST = '08006'
    OUTCOME_UNKNOWN = '08007'
    KEY_MISMATCH = '22000'
    ALREADY_RAN = 'CK001'


@final
class RequestError(CatkincrankError):
    """Final error of a request that was not served.

    Args:
        verdict: Whether the request may have run.
        reason: Why it was not served.
        message: One-line message for the caller.
        retry_after_s: Delay before a retry, in seconds; ``None`` when a retry
            cannot help.
    """

    def __init__(
        self,
        verdict: Verdict,
        reason: Reason,
        message: str,
        *,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.reason = reason
        self.message = message
        self.retry_after_s = retry_after_s

    @property
    def sqlstate(self) -> str:
        """SQLSTATE sent to the PostgreSQL driver."""
        return self.reason.value

    @property
    def detail(self) -> str:
        """DETAIL line with the verdict in machine-readable form."""
        return 'verdict: {0}'.format(self.verdict.value)

    @property
    def hint(self) -> str:
        """HINT line with the retry delay."""
        if self.retry_after_s is None:
            return 'retry_after: never'
        return 'retry_after: {0:.3f}'.format(self.retry_after_s)
