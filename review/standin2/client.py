"""Callers that send one statement after another and note the answers."""

from dataclasses import dataclass, field
from typing import final

import anyio
from anyio.abc import SocketStream

from catkincrank.gateway.callers import DISCONNECT_ERRORS
from catkincrank.platform.lines import LineReader
from review.standin2.gateways import GatewayProcess

__all__ = ('Attempt', 'Client')

_HOST = '127.0.0.1'
_ANSWER_LIMIT_S = 4.0
_RECONNECT_DELAY_S = 0.1
_FAILURES = (*DISCONNECT_ERRORS, OSError, TimeoutError)


@final
@dataclass(slots=True)
class Attempt:
    """One statement of a caller.

    Attributes:
        request_id: Its identifier.
        text: The statement.
        gateway: Gateway that it was sent to.
        sent_at: When it was sent, in seconds.
        answered_at: When the answer was complete, in seconds.
        answer: First word of the answer, or its error code; empty without one.
        rows: Rows of the answer.
    """

    request_id: bytes
    text: bytes
    gateway: str
    sent_at: float
    answered_at: float = 0
    answer: str = ''
    rows: list[bytes] = field(default_factory=list)

    @property
    def is_success(self) -> bool:
        """Whether the statement was answered with success."""
        return self.answer == 'COMPLETE'

    def describe(self) -> str:
        """Return the line of a record."""
        return '{0:.3f} {1} of {2} sent, {3:.3f} answer {4}'.format(
            self.sent_at,
            self.request_id.decode('ascii'),
            self.gateway,
            self.answered_at,
            self.answer or 'none',
        )


@final
class Client:
    """A caller with one session at a time.

    Args:
        name: Its name.
        gateway: Gateway that it connects to.
        database: Database that it names.
        attempts: List to which its statements are appended.
    """

    def __init__(
        self,
        name: str,
        gateway: GatewayProcess,
        database: str,
        attempts: list[Attempt],
    ) -> None:
        self._name = name
        self._gateway = gateway
        self._database = database
        self._attempts = attempts
        self._count = 0
        self._stream: SocketStream | None = None
        self._reader: LineReader | None = None

    async def run(self, text: bytes, pause_s: float) -> None:
        """Send the same statement with pauses until cancelled."""
        while True:
            await self.send(text)
            await anyio.sleep(pause_s)

    async def send(self, text: bytes) -> Attempt:
        """Send a statement, and wait for its answer."""
        self._count += 1
        attempt = Attempt(
            '{0}-{1}'.format(self._name, self._count).encode('ascii'),
            text,
            self._gateway.name,
            anyio.current_time(),
        )
        try:
            with anyio.fail_after(_ANSWER_LIMIT_S):
                await self._exchange(attempt)
        except _FAILURES:
            await self.close()
            await anyio.sleep(_RECONNECT_DELAY_S)
        return attempt

    async def close(self) -> None:
        """Close the session without a word."""
        if self._stream is not None:
            await anyio.aclose_forcefully(self._stream)
        self._stream = None

    async def _exchange(self, attempt: Attempt) -> None:
        if self._stream is None:
            await self._connect()
        attempt.sent_at = anyio.current_time()
        self._attempts.append(attempt)
        await self._stream.send(
            b'QUERY %b %b\r\n' % (attempt.request_id, attempt.text)
        )
        line = await self._reader.read()
        while line.startswith(b'ROW'):
            attempt.rows.append(line)
            line = await self._reader.read()
        await self._reader.read()
        attempt.answered_at = anyio.current_time()
        word, _, rest = line.decode('ascii').partition(' ')
        attempt.answer = rest.split(' ')[0] if word == 'ERROR' else word

    async def _connect(self) -> None:
        stream = await anyio.connect_tcp(_HOST, self._gateway.port)
        self._stream = stream
        self._reader = LineReader(stream)
        startup = 'STARTUP {0} {1}\r\n'.format(self._database, self._name)
        await stream.send(startup.encode('ascii'))
        if not (await self._reader.read()).startswith(b'READY'):
            raise anyio.EndOfStream
