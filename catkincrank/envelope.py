"""Cap'n Proto form of messages: the envelope and the registry of its members.

Each message is a frozen data class filed under its member of the schema's
``Envelope`` union. ``encode_message`` and ``decode_message`` are the only way
to bytes and back; whatever is not a whole message of a known version raises
``MessageError``.
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
    """Any message that ``messages`` holds."""


messages: Registry[type[Any]] = Registry('message')
_members: dict[type[Any], str] = {}
_writers: dict[type[Any], Any] = {}
_readers: dict[str, Any] = {}
_UNWRITABLE = (capnp.KjException, OverflowError, TypeError, ValueError)
_UNREADABLE = (capnp.KjException, KeyError, RuntimeError, TypeError, ValueError)


def register_message(member: str) -> Any:
    """Return a decorator that files a class under ``member``."""

    def decorate(message_type: _MessageT) -> _MessageT:  # noqa: WPS430
        _members[message_type] = member
        _writers[message_type] = build_writer(message_type)
        _readers[member] = build_reader(message_type)
        return messages.register(member)(message_type)

    return decorate


def encode_message(message: Message) -> bytes:
    """Return the bytes of ``message``.

    Raises:
        MessageError: A field does not fit the schema.
    """
    message_type = type(message)
    envelope = _schema.Envelope.new_message(version=SCHEMA_VERSION)
    builder = envelope.init(_members[message_type])
    try:
        _writers[message_type](builder, message)
    except _UNWRITABLE as error:
        raise MessageError(str(error)) from error
    return envelope.to_bytes()


def decode_message(body: bytes) -> Message:
    """Return the message that ``body`` holds.

    Raises:
        MessageError: The bytes are not a whole message of a known version.
    """
    try:
        with _schema.Envelope.from_bytes(body) as envelope:
            return _read(envelope)
    except _UNREADABLE as error:
        reason = str(error).partition('\n')[0]
        raise MessageError(reason or repr(error)) from None


def _read(envelope: Any) -> Message:
    if envelope.version != SCHEMA_VERSION:
        raise MessageError('schema version {0}'.format(envelope.version))
    member = str(envelope.which())
    return _readers[member](getattr(envelope, member))
