"""State of a request that is submitted until it has a final answer."""

from collections.abc import Callable
from typing import final

from catkincrank.load import workload
from catkincrank.load.schedule import Arrival, Operation
from catkincrank.verdict import Verdict

__all__ = ('Submission',)


@final
class Submission:
    """State of one request over its attempts.

    Args:
        arrival: The scheduled request.
        version: Version that it writes.
    """

    def __init__(self, arrival: Arrival, version: int) -> None:
        self.arrival = arrival
        self.version = version
        self.attempts = 0
        self.tag = ''
        self.verdict = Verdict.NOT_RUN
        self.error = 'deadline passed before the first attempt'
        self.is_recorded = False
        self.is_answered = False
        self.is_committing = False

    @property
    def name(self) -> str:
        """Name of this attempt; a retried key gets a new one."""
        return '{0}/{1}'.format(self.tag, self.attempts)

    @property
    def is_final(self) -> bool:
        """Whether the request must not be retried."""
        if self.verdict is Verdict.RAN:
            return True
        if self.verdict is Verdict.NOT_RUN:
            return False
        return self.arrival.operation is Operation.TRANSACTION

    def begin(self, next_number: Callable[[], int]) -> None:
        """Begin an attempt; a write that may have run keeps its key."""
        is_read = self.arrival.operation is Operation.READ
        if is_read or self.verdict is Verdict.NOT_RUN:
            self.tag = workload.name_request(next_number())
        self.is_recorded = False
        self.is_answered = False
        self.is_committing = False

    def verdict_after_disconnect(self, *, was_sent: bool) -> Verdict:
        """Return the verdict of an attempt that lost its connection."""
        is_transaction = self.arrival.operation is Operation.TRANSACTION
        is_uncommitted = is_transaction and not self.is_committing
        if not self.is_recorded or is_uncommitted or not was_sent:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def set_result(self, verdict: Verdict, error: str = '') -> None:
        """Set the result of the attempt; only the first answer counts."""
        if self.is_answered:
            return
        self.verdict = verdict
        self.error = error
