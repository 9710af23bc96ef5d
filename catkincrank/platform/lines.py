"""Lines of the platform's session protocol, used by callers and endpoints.

A line is a word and fields separated by blanks; the last field extends to the
end of the line.
"""

import re
from typing import final

import anyio
from anyio.abc import ByteStream

__all__ = ('LineReader', 'LineTooLongError', 'is_field')

# The protocol limits a message to 1 MiB.
_MAX_LINE_BYTES = 1024 * 1024
_READ_BYTES = 65536
_LINE_END = b'\r\n'
_FIELD = re.compile('[!-~]+')


def is_field(text: str) -> bool:
    """Return whether ``text`` can be one field of a line."""
    return _FIELD.fullmatch(text) is not None


@final
class LineTooLongError(anyio.BrokenResourceError):
    """A line is longer than the protocol allows; the stream is unusable."""


@final
class LineReader:
    """Reads complete lines from a stream.

    Args:
        stream: The stream.
    """

    __slots__ = ('_buffer', '_stream')

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> bytes:
        """Return the next line without its terminator.

        Raises:
            EndOfStream: The other end closed, possibly within a line.
            LineTooLongError: The line is too long.
        """
        searched = 0
        while True:
            end = self._buffer.find(_LINE_END, searched)
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + len(_LINE_END)]  # noqa: WPS420
                return line
            searched = max(0, len(self._buffer) - 1)
            if searched > _MAX_LINE_BYTES:
                raise LineTooLongError
            self._buffer += await self._stream.receive(_READ_BYTES)

    @property
    def has_bytes(self) -> bool:
        """Whether the buffer holds bytes that have not been returned yet."""
        return bool(self._buffer)
