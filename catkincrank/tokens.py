"""Session tokens: what a caller carries from one proxy to another.

A token names the last mark that a session has written or read. Its text form
is URL-safe and ends in a checksum, so that a cut or altered token is refused.
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
    """What a session has seen of one group.

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
    return base64.urlsafe_b64encode(_digest(body) + body).decode('ascii')


def decode_token(text: str) -> SessionToken:
    """Return the token that ``text`` stands for.

    Raises:
        OptionError: The text is not a whole token of a known version.
    """
    body = _unseal(text)
    try:
        version, group, term, position = msgspec.msgpack.decode(
            body,
            type=tuple[int, str, int, int],
        )
    except msgspec.DecodeError:
        raise _refuse(text) from None
    if version != _VERSION or term < 1 or position < 0:
        raise _refuse(text)
    return SessionToken(group, LogMark(term, position))


def _unseal(text: str) -> bytes:
    if len(text) > _MAX_TEXT_CHARS:
        raise _refuse(text)
    try:
        raw = base64.b64decode(text.encode('ascii'), b'-_', validate=True)
    except (binascii.Error, ValueError):
        raise _refuse(text) from None
    checksum, body = raw[:_CHECKSUM_BYTES], raw[_CHECKSUM_BYTES:]
    if checksum != _digest(body):
        raise _refuse(text)
    return body


def _digest(body: bytes) -> bytes:
    return xxhash.xxh32_digest(body)


def _refuse(text: str) -> OptionError:
    return OptionError(
        _OPTION,
        text[:_SHOWN_TEXT_CHARS],
        'a token that SHOW catkincrank.session returned',
    )
