"""Records the requests and answers of one caller."""

from typing import final

import anyio

from catkincrank.history import LogMark
from catkincrank.load.schedule import Operation
from catkincrank.load.submission import Submission
from catkincrank.records import (
    RecordedHistory,
    RequestAnswered,
    RequestSubmitted,
)

__all__ = ('SessionRecorder',)


@final
class SessionRecorder:
    """Records the requests of one session.

    Args:
        number: Number of the session.
        history: Receives the records.
    """

    def __init__(self, number: int, history: RecordedHistory) -> None:
        self._number = number
        self._history = history
        self._epoch = 0

    def begin_session(self) -> None:
        """Use a new session name because the session token is lost."""
        self._epoch += 1

    def record_sent(self, submission: Submission, proxy: str) -> None:
        """Record a request that is about to be sent."""
        arrival = submission.arrival
        is_read = arrival.operation is Operation.READ
        is_keyed = arrival.operation is Operation.WRITE
        submission.is_recorded = True
        self._history.add(
            RequestSubmitted(
                anyio.current_time(),
                submission.name,
                'session-{0}.{1}'.format(self._number, self._epoch),
                proxy,
                arrival.item,
                0 if is_read else submission.version,
                submission.tag if is_keyed else '',
                is_read,
                arrival.max_staleness_s,
            ),
        )

    def record_answer(
        self,
        submission: Submission,
        echo: str = '',
        version: int = 0,
        mark: LogMark | None = None,
        at: float | None = None,
    ) -> None:
        """Record a complete answer."""
        if submission.is_answered or not submission.is_recorded:
            return
        submission.is_answered = True
        self._history.add(
            RequestAnswered(
                anyio.current_time() if at is None else at,
                submission.name,
                submission.verdict,
                version,
                mark,
                submission.name if echo == submission.tag else echo,
            ),
        )

    def record_disconnect(self, submission: Submission) -> None:
        """Record that the connection was lost before a complete answer."""
        if submission.is_answered or not submission.is_recorded:
            return
        submission.is_answered = True
        self._history.add(
            RequestAnswered(
                anyio.current_time(),
                submission.name,
                submission.verdict,
                is_complete=False,
                is_disconnected=True,
            ),
        )
