"""Writes log lines to a pipe without ever waiting for its reader."""

import os
import select
from typing import final

__all__ = ('LogPipe',)

# A pipe that is ready takes this much at once; see pipe(7).
_ATOMIC_BYTES = select.PIPE_BUF
_DROPPED = '{{"event":"log_lines_dropped","count":{0}}}\n'


@final
class LogPipe:
    """A sink for log lines; a full pipe costs lines, not time.

    Args:
        descriptor: File descriptor to write to.

    Attributes:
        dropped: Lines left out since the last one that got through.
    """

    __slots__ = ('_descriptor', '_poll', 'dropped')

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or count it as left out."""
        if self.dropped and self._put(_DROPPED.format(self.dropped)):
            self.dropped = 0
        if self.dropped or not self._put(text):
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing: lines are not kept."""

    def _put(self, text: str) -> bool:
        line = text.encode('utf-8', 'replace')
        if len(line) > _ATOMIC_BYTES:
            return False
        ready = self._poll.poll(0)
        if not (ready and ready[0][1] & select.POLLOUT):
            return False
        try:
            os.write(self._descriptor, line)
        except OSError:
            return False
        return True
