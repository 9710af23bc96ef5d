"""Connection of one caller."""

from typing import final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.gateway.callers import CallerCodec, Terminate
from catkincrank.gateway.session import Session
from catkincrank.gateway.statement import Statement

__all__ = ('Caller',)


@final
class Caller:
    """One caller's connection.

    Args:
        codec: Protocol of the connection.

    Attributes:
        codec: Protocol of the connection.
        session: Its session, once startup has succeeded.
        is_replying: Whether the reply to a request is being sent.
        outstanding: Request that was read and whose reply was not sent yet.
        outstanding_since: When it was read.
    """

    __slots__ = (
        '_is_ending',
        '_read_scope',
        'codec',
        'is_replying',
        'outstanding',
        'outstanding_since',
        'session',
    )

    def __init__(self, codec: CallerCodec) -> None:
        self.codec = codec
        self.session: Session | None = None
        self.is_replying = False
        self.outstanding: Statement | None = None
        self.outstanding_since: float = 0
        self._read_scope: anyio.CancelScope | None = None
        self._is_ending = False

    @property
    def is_idle(self) -> bool:
        """Whether no transaction is open; a failed one counts as open."""
        session = self.session
        return session is None or session.status is TransactionStatus.IDLE

    @property
    def is_ending(self) -> bool:
        """Whether the session is closed now or after the current request."""
        is_revoked = self.session is not None and self.session.is_revoked
        return self.is_idle and (self._is_ending or is_revoked)

    @property
    def state(self) -> str:
        """State of the connection, as a label of metrics."""
        if not self.is_idle:
            return 'in_transaction'
        return 'idle' if self.outstanding is None else 'answering'

    async def read(self, deadline: float) -> Statement | Terminate | None:
        """Return the next request.

        Returns ``None`` when none arrives until ``deadline``, or when ``wake``
        is called meanwhile.
        """
        with anyio.CancelScope(deadline=deadline) as scope:
            self._read_scope = scope
            request = await self.codec.read_request()
            self._read_scope = None
            return request
        self._read_scope = None
        return None

    async def read_last(self, deadline: float) -> Statement | Terminate | None:
        """Return the next request; ``None`` when none arrives in time.

        ``wake`` does not interrupt it. The event loop handles what has arrived
        before a deadline that has passed, but not before a call of ``wake``,
        which would leave a request in the stream.
        """
        with anyio.CancelScope(deadline=deadline):
            return await self.codec.read_request()
        return None

    def end(self) -> None:
        """End the session once idle; a request already received is answered."""
        self._is_ending = True
        if self.is_idle:
            self.wake()

    def wake(self) -> None:
        """Interrupt the wait for the next request."""
        if self._read_scope is not None:
            self._read_scope.cancel()
