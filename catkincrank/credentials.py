"""Team credentials, which authorize changes to settings subtrees.

The store keeps a salted hash for each holder. The library checks a credential
before each change; the security boundary is the platform's access control.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import final

import msgspec

from catkincrank.errors import CatkincrankError, OptionError
from catkincrank.store import ABSENT, Store

__all__ = (
    'ALL_TEAMS',
    'AccessError',
    'TeamCredential',
    'authorize',
    'grant_credential',
)

ALL_TEAMS = '*'
_KEY_PREFIX = 'credentials/'
_SALT_BYTES = 16
_SECRET_BYTES = 24
_SCRYPT_COST = 4096
_SCRYPT_BLOCK = 8


@final
class AccessError(CatkincrankError):
    """The credential does not authorize the change."""


@final
@dataclass(frozen=True, slots=True)
class TeamCredential:
    """A holder and its secret; the secret is left out of the repr.

    Attributes:
        holder: Name of the team, or ``*`` for the deployment's operators.
        secret: The secret.
    """

    holder: str
    secret: str

    def __repr__(self) -> str:
        return 'TeamCredential(holder={0!r})'.format(self.holder)

    @classmethod
    def parse(cls, text: str) -> 'TeamCredential':
        """Parse a credential of the form ``HOLDER:SECRET``."""
        holder, colon, secret = text.partition(':')
        if not (holder and colon and secret):
            raise OptionError('credential', holder, 'TEAM:SECRET')
        return cls(holder, secret)


@final
class _StoredHash(msgspec.Struct, frozen=True):
    salt: bytes
    digest: bytes


async def authorize(
    store: Store,
    credential: TeamCredential,
    team: str,
) -> None:
    """Check that ``credential`` is valid and authorizes changes of ``team``.

    Raises:
        AccessError: It is not valid, or it belongs to another team.
    """
    if credential.holder not in {team, ALL_TEAMS}:
        raise AccessError(
            'the credential of {0} does not allow changes of {1}'.format(
                credential.holder,
                team,
            ),
        )
    row = await store.read(_KEY_PREFIX + credential.holder)
    if row is None or not _is_secret_valid(row.body, credential.secret):
        raise AccessError(
            'the credential of {0} is not valid'.format(credential.holder),
        )


async def grant_credential(
    store: Store,
    holder: str,
    change_id: str,
    granted_by: TeamCredential | None = None,
) -> TeamCredential:
    """Create a secret for ``holder`` and revoke its previous one.

    The operators' first credential needs no authorization; every later
    credential must be granted by theirs.

    Raises:
        AccessError: ``granted_by`` does not allow it.
    """
    is_first = await store.read(_KEY_PREFIX + ALL_TEAMS) is None
    if granted_by is not None:
        await authorize(store, granted_by, ALL_TEAMS)
    elif not (is_first and holder == ALL_TEAMS):
        raise AccessError('only the credential of * can grant credentials')
    held = await store.read(_KEY_PREFIX + holder)
    secret = secrets.token_urlsafe(_SECRET_BYTES)
    salt = secrets.token_bytes(_SALT_BYTES)
    await store.write(
        _KEY_PREFIX + holder,
        msgspec.json.encode(_StoredHash(salt, _hash_secret(secret, salt))),
        expected_version=ABSENT if held is None else held.version,
        change_id=change_id,
    )
    return TeamCredential(holder, secret)


def _is_secret_valid(body: bytes, secret: str) -> bool:
    try:
        stored = msgspec.json.decode(body, type=_StoredHash)
    except (msgspec.DecodeError, RecursionError):
        return False
    digest = _hash_secret(secret, stored.salt)
    return hmac.compare_digest(digest, stored.digest)


def _hash_secret(secret: str, salt: bytes) -> bytes:
    return hashlib.scrypt(
        secret.encode('utf-8'),
        salt=salt,
        n=_SCRYPT_COST,
        r=_SCRYPT_BLOCK,
        p=1,
    )
