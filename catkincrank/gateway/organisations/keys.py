"""Digests of callers' keys.

Keys are replaced by digests where they are decoded, so that no log line,
metric, state dump or message can contain one.
"""

import hashlib
import secrets
from typing import Final

__all__ = ('digest_key',)

_DIGEST_BYTES = 16
_SECRET_BYTES = 32
# New in each process, so that a digest tells nothing about the key elsewhere.
_SECRET: Final = secrets.token_bytes(_SECRET_BYTES)


def digest_key(key: bytes) -> bytes:
    """Return the digest by which this process knows a key."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=_SECRET).digest()
