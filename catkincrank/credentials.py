"""Team credentials: who may change which subtree.

The store keeps a salted hash for each holder. The library checks a credential
before each change; the platform's own access rules are the hard boundary.
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
    """The credential does not allow the change."""


@final
@dataclass(frozen=True, slots=True)
class TeamCredential:
    """A holder and its secret, which never appears in a repr.

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
        """Return the credential that ``HOLDER:SECRET`` stands for."""
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
    """Check that ``credential`` is valid and allows changes of ``team``.

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
    if row is None or not _matches(row.body, credential.secret):
        raise AccessError(
            'the credential of {0} is not valid'.format(credential.holder),
        )


async def grant_credential(
    store: Store,
    holder: str,
    change_id: str,
    granted_by: TeamCredential | None = None,
) -> TeamCredential:
    """Make a new secret for ``holder``; the one before it ends.

    The first credential of the operators needs no other; each later one
    needs theirs.

    Raises:
        AccessError: ``granted_by`` does not allow it.
    """
    first = await store.read(_KEY_PREFIX + ALL_TEAMS) is None
    if granted_by is not None:
        await authorize(store, granted_by, ALL_TEAMS)
    elif not (first and holder == ALL_TEAMS):
        raise AccessError('only the credential of * grants others')
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


def _matches(body: bytes, secret: str) -> bool:
    stored = msgspec.json.decode(body, type=_StoredHash)
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
