"""Outcomes of the requests of a run."""

from collections import Counter
from dataclasses import dataclass, field
from typing import final

from catkincrank.load.schedule import Arrival, Operation
from catkincrank.verdict import Verdict

__all__ = ('Outcome', 'Tally')


@final
@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one request.

    Attributes:
        arrival: The scheduled request.
        service: Number of the service.
        finished_s: Time of the final answer, from the start of the run.
        verdict: The final verdict.
        attempts: Number of submissions.
        error: Final error in one line; empty on success.
    """

    arrival: Arrival
    service: int
    finished_s: float
    verdict: Verdict
    attempts: int
    error: str = ''

    @property
    def latency_s(self) -> float:
        """Time since the scheduled arrival, including queueing."""
        return self.finished_s - self.arrival.at_s

    @property
    def is_write(self) -> bool:
        """Whether the request writes."""
        return self.arrival.operation is not Operation.READ


@final
@dataclass(slots=True)
class Tally:
    """Counts over a run.

    Attributes:
        outcomes: Outcome of each request, in the order of the answers.
        statements: Statements with a complete answer.
        refused_not_run: Answers with the verdict "not run".
        may_have_run: Answers with the verdict "may have run".
        connects: Connections opened.
        failed_connects: Failed connection attempts.
        peak_queue: Maximum number of requests queued in sessions.
        queue: Number of requests queued in sessions over time.
        errors: Failed submissions, by error.
    """

    outcomes: list[Outcome] = field(default_factory=list)
    statements: int = 0
    refused_not_run: int = 0
    may_have_run: int = 0
    connects: int = 0
    failed_connects: int = 0
    peak_queue: int = 0
    queue: list[tuple[float, int]] = field(default_factory=list)
    errors: Counter[str] = field(default_factory=Counter)

    def count_answer(self, verdict: Verdict, error: str) -> None:
        """Count the answer to one submission."""
        if error:
            self.errors['{0}: {1}'.format(verdict.value, error)] += 1
        self.refused_not_run += int(verdict is Verdict.NOT_RUN)
        self.may_have_run += int(verdict is Verdict.MAY_HAVE_RUN)
