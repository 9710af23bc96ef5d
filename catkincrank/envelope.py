"""Cap'n Proto form of messages: the envelope and the registry of its members.

Each message is a frozen data class filed under its member of the schema's
``Envelope`` union. ``encode_message`` and ``decode_message`` are the only way
to bytes and back; whatever is not a whole message of a known version raises
``MessageError``.
"""

from pathlib import Path
from typing import Any, Protocol, TypeVar

import capnp

from catkincrank.codec import build_packer, build_unpacker
from catkincrank.errors import MessageError
from catkincrank.registry import Registry

__all__ = (
    'SCHEMA_VERSION',
    'Message',
    'decode_message',
    'encode_message',
    'file_message',
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
_packers: dict[type[Any], Any] = {}
_unpackers: dict[str, Any] = {}


def file_message(member: str) -> Any:
    """Return a decorator that files a class under ``member``."""

    def decorate(message_type: _MessageT) -> _MessageT:  # noqa: WPS430
        _members[message_type] = member
        _packers[message_type] = build_packer(message_type)
        _unpackers[member] = build_unpacker(message_type)
        return messages.register(member)(message_type)

    return decorate


def encode_message(message: Message) -> bytes:
    """Return the bytes of ``message``.

    Raises:
        MessageError: A field does not fit the schema.
    """
    message_type = type(message)
    packed = {
        'version': SCHEMA_VERSION,
        _members[message_type]: _packers[message_type](message),
    }
    try:
        return _schema.Envelope.new_message(**packed).to_bytes()
    except (capnp.KjException, OverflowError, ValueError) as error:
        raise MessageError(str(error)) from error


def decode_message(body: bytes) -> Message:
    """Return the message that ``body`` holds.

    Raises:
        MessageError: The bytes are not a whole message of a known version.
    """
    try:
        with _schema.Envelope.from_bytes(body) as envelope:
            unpacked = envelope.to_dict()
    except (capnp.KjException, RuntimeError, ValueError) as error:
        raise MessageError(str(error).splitlines()[0]) from None
    version = unpacked.pop('version', 0)
    if version != SCHEMA_VERSION:
        raise MessageError('schema version {0}'.format(version))
    return _unpack(unpacked)


def _unpack(unpacked: dict[str, Any]) -> Message:
    for member, unpack in _unpackers.items():
        packed = unpacked.get(member)
        if packed is None:
            continue
        try:
            return unpack(packed)
        except (KeyError, TypeError, ValueError) as error:
            raise MessageError('{0}: {1!r}'.format(member, error)) from None
    raise MessageError('unknown kind of message')
