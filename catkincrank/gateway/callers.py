"""Interface of the protocols that callers speak, and their registry."""

from abc import ABC, abstractmethod
from contextlib import suppress
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
    'refuse_caller',
)

# Errors by which a stream reports that the peer has disconnected.
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
        database: Database that the caller asks for.
        credential: Digest of the key that the caller gives.
    """

    database: str
    credential: bytes = b''


@final
@dataclass(frozen=True, slots=True)
class Terminate:
    """Request to end the session."""


class CallerCodec(ABC):
    """Reads requests of one caller and writes the replies.

    Every method raises one of ``DISCONNECT_ERRORS`` when the connection ends,
    or when the input can neither be parsed nor skipped.

    Args:
        stream: The caller's connection.
    """

    @abstractmethod
    def __init__(self, stream: ByteStream) -> None: ...

    @property
    @abstractmethod
    def has_input(self) -> bool:
        """Whether at least part of a request has arrived."""

    @abstractmethod
    async def read_startup(self) -> Startup | None:
        """Return the startup request; ``None`` if it is malformed."""

    @abstractmethod
    async def read_request(self) -> Statement | Terminate:
        """Return the next request."""

    @abstractmethod
    async def send_ready(self) -> None:
        """Report that the session is open."""

    @abstractmethod
    async def send_rejection(self, failure: Failure) -> None:
        """Report that the session is rejected."""

    @abstractmethod
    async def send(self, reply: Reply) -> None:
        """Send the whole reply to one request."""


async def refuse_caller(
    codec_type: type[CallerCodec], stream: ByteStream
) -> None:
    """Tell a caller that the process serves no more sessions."""
    codec = codec_type(stream)
    with suppress(*DISCONNECT_ERRORS):
        await codec.read_startup()
        await codec.send_rejection(Failure.OVERLOADED)


caller_codecs: Registry[type[CallerCodec]] = Registry('caller protocol')
