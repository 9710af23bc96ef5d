"""Cap'n Proto encoding of messages: the envelope and its message types.

Each message is a frozen data class registered under its member of the
schema's ``Envelope`` union. ``encode_message`` and ``decode_message`` are the
only conversions to and from bytes; anything but a complete message of a known
schema version raises ``MessageError``.
"""

import functools
from pathlib import Path
from typing import Any, NamedTuple, Protocol, TypeVar

from catkincrank.codec import build_reader, build_writer
from catkincrank.errors import MessageError
from catkincrank.registry import Registry

__all__ = (
    'SCHEMA_VERSION',
    'Message',
    'decode_message',
    'encode_message',
    'register_message',
    'messages',
)

SCHEMA_VERSION = 1

_SCHEMA_PATH = Path(__file__).parent / 'schema' / 'control.capnp'
_MessageT = TypeVar('_MessageT', bound=type)


class Message(Protocol):
    """Any message type registered in ``messages``."""


messages: Registry[type[Any]] = Registry('message')
_members: dict[type[Any], str] = {}
_types: dict[str, type[Any]] = {}
_find_writer = functools.cache(build_writer)
_find_reader = functools.cache(build_reader)


class _Library(NamedTuple):
    schema: Any
    encode_errors: tuple[type[Exception], ...]
    decode_errors: tuple[type[Exception], ...]


def register_message(member: str) -> Any:
    """Return a decorator that registers a class under ``member``."""

    def decorate(message_type: _MessageT) -> _MessageT:  # noqa: WPS430
        _members[message_type] = member
        _types[member] = message_type
        return messages.register(member)(message_type)

    return decorate


def encode_message(message: Message) -> bytes:
    """Return ``message`` encoded in an envelope.

    Raises:
        MessageError: A field does not fit the schema.
    """
    message_type = type(message)
    library = _load_library()
    envelope = library.schema.Envelope.new_message(version=SCHEMA_VERSION)
    builder = envelope.init(_members[message_type])
    try:
        _find_writer(message_type)(builder, message)
    except library.encode_errors as error:
        raise MessageError(str(error)) from error
    return envelope.to_bytes()


def decode_message(body: bytes) -> Message:
    """Return the message encoded in ``body``.

    Raises:
        MessageError: The bytes are not a complete message of a known schema
            version.
    """
    library = _load_library()
    try:
        with library.schema.Envelope.from_bytes(body) as envelope:
            return _read(envelope)
    except library.decode_errors as error:
        reason = str(error).partition('\n')[0]
        raise MessageError(reason or repr(error)) from None


def _read(envelope: Any) -> Message:
    if envelope.version != SCHEMA_VERSION:
        raise MessageError(
            'unsupported schema version {0}'.format(envelope.version)
        )
    member = str(envelope.which())
    return _find_reader(_types[member])(getattr(envelope, member))


@functools.cache
def _load_library() -> _Library:
    """Import the library and parse the schema, for the first message."""
    import capnp  # noqa: WPS433

    capnp.remove_import_hook()
    errors = (capnp.KjException, TypeError, ValueError)
    return _Library(
        capnp.load(str(_SCHEMA_PATH)),
        (*errors, OverflowError),
        (*errors, KeyError, RuntimeError),
    )
