"""Digests of callers' keys.

Keys are replaced by digests where they enter the process, so that no log line,
metric, state dump or message can contain one.
"""

import hashlib
from typing import Final

__all__ = ('digest_key',)

_DIGEST_BYTES = 16
_PURPOSE: Final = b'catkincrank key'


def digest_key(key: bytes) -> bytes:
    """Return the digest by which the fleet knows a key.

    It is the same in all processes, because they pass each other the
    configuration with digests in place of keys.
    """
    return hashlib.blake2b(
        key, digest_size=_DIGEST_BYTES, person=_PURPOSE
    ).digest()
