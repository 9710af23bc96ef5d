"""Message stream that sends a whole answer in one piece."""

from typing import final

from pg_mimic.messages import FLUSH, QUERY, SYNC
from pg_mimic.stream import PgStream

__all__ = ('AnswerStream',)

_ENDS = frozenset((FLUSH, QUERY, SYNC))
_MAX_HELD_BYTES = 65536


@final
class AnswerStream(PgStream):
    """Holds messages back until the other end waits for them.

    Args:
        stream: The stream to take over.
    """

    def __init__(self, stream: PgStream) -> None:
        super().__init__(stream.reader, stream.writer)
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._newest_tag = b''

    async def read_message(self) -> tuple[bytes, bytes]:
        """Read one message."""
        tag, payload = await super().read_message()
        self._newest_tag = tag
        return tag, payload

    def write(self, data: bytes) -> None:  # noqa: WPS110
        """Take a message to be sent."""
        self._held.append(data)
        self._held_bytes += len(data)

    async def drain(self) -> None:
        """Send what is held if the other end waits for it."""
        is_awaited = self._newest_tag in _ENDS
        if is_awaited or self._held_bytes > _MAX_HELD_BYTES:
            self._send()
            await super().drain()

    async def close(self) -> None:
        """Send what is held and close."""
        self._send()
        await super().close()

    def _send(self) -> None:
        if self._held:
            self.writer.write(b''.join(self._held))
        self._held = []
        self._held_bytes = 0
