"""Counts the bytes on connections to an instance."""

import asyncio
import contextlib
from typing import final

__all__ = ('Meter',)

_HOST = '127.0.0.1'
_CHUNK_BYTES = 65536


@final
class Meter:
    """Forwards connections to an instance and counts their bytes."""

    def __init__(self, port: int) -> None:
        self.port = 0
        self.count = 0
        self._target = port
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, _HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        inner = await asyncio.open_connection(_HOST, self._target)
        await asyncio.gather(
            self._forward(reader, inner[1]),
            self._forward(inner[0], writer),
        )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                self.count += len(chunk)
                writer.write(chunk)
        writer.close()
