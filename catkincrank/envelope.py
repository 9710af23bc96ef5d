"""Cap'n Proto encoding of messages: the envelope and its message types.

Each message is a frozen data class registered under its member of the
schema's ``Envelope`` union. ``encode_message`` and ``decode_message`` are the
only conversions to and from bytes; anything but a complete message of a known
schema version raises ``MessageError``.
"""

from pathlib import Path
from typing import Any, Protocol, TypeVar

import capnp

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

capnp.remove_import_hook()
_schema = capnp.load(str(_SCHEMA_PATH))


class Message(Protocol):
    """Any message type registered in ``messages``."""


messages: Registry[type[Any]] = Registry('message')
_members: dict[type[Any], str] = {}
_writers: dict[type[Any], Any] = {}
_readers: dict[str, Any] = {}
_ENCODE_ERRORS = (capnp.KjException, OverflowError, TypeError, ValueError)
_DECODE_ERRORS = (
    capnp.KjException,
    KeyError,
    RuntimeError,
    TypeError,
    ValueError,
)


def register_message(member: str) -> Any:
    """Return a decorator that registers a class under ``member``."""

    def decorate(message_type: _MessageT) -> _MessageT:  # noqa: WPS430
        _members[message_type] = member
        _writers[message_type] = build_writer(message_type)
        _readers[member] = build_reader(message_type)
        return messages.register(member)(message_type)

    return decorate


def encode_message(message: Message) -> bytes:
    """Return ``message`` encoded in an envelope.

    Raises:
        MessageError: A field does not fit the schema.
    """
    message_type = type(message)
    envelope = _schema.Envelope.new_message(version=SCHEMA_VERSION)
    builder = envelope.init(_members[message_type])
    try:
        _writers[message_type](builder, message)
    except _ENCODE_ERRORS as error:
        raise MessageError(str(error)) from error
    return envelope.to_bytes()


def decode_message(body: bytes) -> Message:
    """Return the message encoded in ``body``.

    Raises:
        MessageError: The bytes are not a complete message of a known schema
            version.
    """
    try:
        with _schema.Envelope.from_bytes(body) as envelope:
            return _read(envelope)
    except _DECODE_ERRORS as error:
        reason = str(error).partition('\n')[0]
        raise MessageError(reason or repr(error)) from None


def _read(envelope: Any) -> Message:
    if envelope.version != SCHEMA_VERSION:
        raise MessageError(
            'unsupported schema version {0}'.format(envelope.version)
        )
    member = str(envelope.which())
    return _readers[member](getattr(envelope, member))
