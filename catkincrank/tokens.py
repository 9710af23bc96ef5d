"""Session tokens, which callers pass from one proxy to another.

A token contains the newest mark that a session has written or read. Its text
form is URL-safe and includes a checksum, so that a truncated or altered token
is rejected.
"""

import base64
import binascii
from dataclasses import dataclass
from typing import final

import msgspec
import xxhash

from catkincrank.errors import OptionError
from catkincrank.history import LogMark

__all__ = ('SessionToken', 'decode_token', 'encode_token')

_VERSION = 1
_CHECKSUM_BYTES = 4
_MAX_TEXT_CHARS = 512
_SHOWN_TEXT_CHARS = 32
_OPTION = 'catkincrank.session'


@final
@dataclass(frozen=True, slots=True)
class SessionToken:
    """Consistency state of a session in one group.

    Attributes:
        group: Name of the group, ``team/service``.
        mark: Newest mark that the session depends on.
    """

    group: str
    mark: LogMark


def encode_token(token: SessionToken) -> str:
    """Return the text form of ``token``."""
    body = msgspec.msgpack.encode(
        (_VERSION, token.group, token.mark.term, token.mark.position),
    )
    return base64.urlsafe_b64encode(_compute_checksum(body) + body).decode(
        'ascii'
    )


def decode_token(text: str) -> SessionToken:
    """Decode the text form of a token.

    Raises:
        OptionError: The text is not a complete token of a known version.
    """
    body = _decode_body(text)
    try:
        version, group, term, position = msgspec.msgpack.decode(
            body,
            type=tuple[int, str, int, int],
        )
    except msgspec.DecodeError:
        raise _make_error(text) from None
    if version != _VERSION or term < 1 or position < 0:
        raise _make_error(text)
    return SessionToken(group, LogMark(term, position))


def _decode_body(text: str) -> bytes:
    if len(text) > _MAX_TEXT_CHARS:
        raise _make_error(text)
    try:
        raw = base64.b64decode(text.encode('ascii'), b'-_', validate=True)
    except (binascii.Error, ValueError):
        raise _make_error(text) from None
    checksum, body = raw[:_CHECKSUM_BYTES], raw[_CHECKSUM_BYTES:]
    if checksum != _compute_checksum(body):
        raise _make_error(text)
    return body


def _compute_checksum(body: bytes) -> bytes:
    return xxhash.xxh32_digest(body)


def _make_error(text: str) -> OptionError:
    return OptionError(
        _OPTION,
        text[:_SHOWN_TEXT_CHARS],
        'a token that SHOW catkincrank.session returned',
    )
