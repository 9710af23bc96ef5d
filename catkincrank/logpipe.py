"""Non-blocking sink for log lines."""

import os
import select
from typing import final

__all__ = ('LogPipe',)

# Writes of up to PIPE_BUF bytes to a pipe that polls as writable are atomic
# and do not block; see pipe(7).
_ATOMIC_BYTES = select.PIPE_BUF
_DROPPED = '{{"event":"log_lines_dropped","count":{0}}}\n'


@final
class LogPipe:
    """Sink for log lines that drops lines instead of blocking.

    Lines are dropped and counted while the pipe is full or if they are too
    long for an atomic write. The count is written before the next line.

    Args:
        descriptor: File descriptor to write to.

    Attributes:
        dropped: Lines dropped since the last one that was written.
    """

    __slots__ = ('_descriptor', '_poll', 'dropped')

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or drop and count it."""
        if self.dropped and self._try_write(_DROPPED.format(self.dropped)):
            self.dropped = 0
        if self.dropped or not self._try_write(text):
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing; lines are not buffered."""

    def _try_write(self, text: str) -> bool:
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
