"""Lines of the platform's session protocol, which callers and endpoints speak.

A line is a word and fields parted by blanks; the last field runs to the end.
"""

from typing import final

import anyio
from anyio.abc import ByteStream

__all__ = ('LineReader', 'LineTooLongError')

# The page on the protocol limits a message to 1 MiB.
_MAX_LINE_BYTES = 1024 * 1024
_READ_BYTES = 65536
_END = b'\r\n'


@final
class LineTooLongError(anyio.BrokenResourceError):
    """A line is longer than the protocol allows; the stream is of no use."""


@final
class LineReader:
    """Reads whole lines from a stream.

    Args:
        stream: The stream.
    """

    __slots__ = ('_buffer', '_stream')

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> bytes:
        """Return the next line without its end.

        Raises:
            EndOfStream: The other end closed, maybe within a line.
            LineTooLongError: The line is too long.
        """
        searched = 0
        while True:
            end = self._buffer.find(_END, searched)
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + len(_END)]  # noqa: WPS420
                return line
            searched = max(0, len(self._buffer) - 1)
            if searched > _MAX_LINE_BYTES:
                raise LineTooLongError
            self._buffer += await self._stream.receive(_READ_BYTES)

    @property
    def has_bytes(self) -> bool:
        """Whether bytes have arrived that were not read as a line yet."""
        return bool(self._buffer)
