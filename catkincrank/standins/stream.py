"""Message stream that sends the messages of an answer in one write."""

from typing import final

from pg_mimic.messages import FLUSH, QUERY, SYNC
from pg_mimic.stream import PgStream

__all__ = ('AnswerStream',)

_RESPONSE_REQUESTS = frozenset((FLUSH, QUERY, SYNC))
_MAX_BUFFERED_BYTES = 65536


@final
class AnswerStream(PgStream):
    """Buffers messages until the client waits for them.

    The client waits after a query, a flush or a sync. A larger buffer than
    64 KiB is sent at once.

    Args:
        stream: The stream whose reader and writer are used.
    """

    def __init__(self, stream: PgStream) -> None:
        super().__init__(stream.reader, stream.writer)
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._last_tag = b''

    async def read_message(self) -> tuple[bytes, bytes]:
        """Read one message."""
        tag, payload = await super().read_message()
        self._last_tag = tag
        return tag, payload

    def write(self, data: bytes) -> None:  # noqa: WPS110
        """Buffer a message to be sent."""
        self._buffered.append(data)
        self._buffered_bytes += len(data)

    async def drain(self) -> None:
        """Send the buffer if the client waits or the buffer is too large."""
        is_awaited = self._last_tag in _RESPONSE_REQUESTS
        if is_awaited or self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self._flush()
            await super().drain()

    async def close(self) -> None:
        """Send the buffer and close."""
        self._flush()
        await super().close()

    def _flush(self) -> None:
        if self._buffered:
            self.writer.write(b''.join(self._buffered))
        self._buffered = []
        self._buffered_bytes = 0
