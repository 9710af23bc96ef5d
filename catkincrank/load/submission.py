"""One arrival on its way to a final answer."""

from collections.abc import Callable
from typing import final

from catkincrank.load import workload
from catkincrank.load.schedule import Arrival, Operation
from catkincrank.verdict import Verdict

__all__ = ('Submission',)


@final
class Submission:
    """Where one arrival stands.

    Args:
        arrival: The arrival.
        version: Version that it writes.
    """

    def __init__(self, arrival: Arrival, version: int) -> None:
        self.arrival = arrival
        self.version = version
        self.attempts = 0
        self.tag = ''
        self.verdict = Verdict.NOT_RUN
        self.error = 'no time left'
        self.is_recorded = False
        self.is_answered = False
        self.is_committing = False

    @property
    def name(self) -> str:
        """Name of this submission; a key sent again has a new one."""
        return '{0}/{1}'.format(self.tag, self.attempts)

    @property
    def is_final(self) -> bool:
        """Whether nothing is left to do."""
        if self.verdict is Verdict.RAN:
            return True
        if self.verdict is Verdict.NOT_RUN:
            return False
        return self.arrival.operation is Operation.TRANSACTION

    def begin(self, take_number: Callable[[], int]) -> None:
        """Begin an attempt; only an open outcome is asked for again."""
        is_read = self.arrival.operation is Operation.READ
        if is_read or self.verdict is Verdict.NOT_RUN:
            self.tag = workload.name_request(take_number())
        self.is_recorded = False
        self.is_answered = False
        self.is_committing = False

    def judge_cut(self, *, was_sent: bool) -> Verdict:
        """Return the verdict when the connection breaks under it."""
        is_open = self.arrival.operation is Operation.TRANSACTION
        is_early = is_open and not self.is_committing
        if not self.is_recorded or is_early or not was_sent:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def settle(self, verdict: Verdict, error: str = '') -> None:
        """Note what came of the attempt; the first answer counts."""
        if self.is_answered:
            return
        self.verdict = verdict
        self.error = error
