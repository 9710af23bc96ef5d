"""Protocols that callers speak; each is a variant in a registry."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import final

import anyio
from anyio.abc import ByteStream

from catkincrank.gateway.reply import Failure, Reply
from catkincrank.gateway.statement import Statement
from catkincrank.registry import Registry

__all__ = (
    'DISCONNECT_ERRORS',
    'CallerCodec',
    'Startup',
    'Terminate',
    'caller_codecs',
)

# How a stream tells that the other end has gone.
DISCONNECT_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


@final
@dataclass(frozen=True, slots=True)
class Startup:
    """First request of a session.

    Attributes:
        database: Database that the caller wants.
        user: Who it says it is.
    """

    database: str
    user: str


@final
@dataclass(frozen=True, slots=True)
class Terminate:
    """The caller ends its session."""


class CallerCodec(ABC):
    """Reads requests of one caller and writes the replies.

    Every method raises one of ``HANG_UPS`` when the connection ends, or when
    what came can neither be read nor passed over.

    Args:
        stream: The caller's connection.
    """

    @abstractmethod
    def __init__(self, stream: ByteStream) -> None: ...

    @property
    @abstractmethod
    def has_input(self) -> bool:
        """Whether a part of a request has arrived."""

    @abstractmethod
    async def read_startup(self) -> Startup | None:
        """Return what the caller asks for; ``None`` if it cannot be read."""

    @abstractmethod
    async def read_request(self) -> Statement | Terminate:
        """Return the next request."""

    @abstractmethod
    async def send_ready(self) -> None:
        """Tell the caller that its session is open."""

    @abstractmethod
    async def send_rejection(self, failure: Failure) -> None:
        """Tell the caller that it gets no session."""

    @abstractmethod
    async def send(self, reply: Reply) -> None:
        """Send the whole reply to one request."""


caller_codecs: Registry[type[CallerCodec]] = Registry('caller protocol')
