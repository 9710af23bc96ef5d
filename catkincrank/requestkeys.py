"""Request keys, which make a write run at most once.

A request key is a row written in the same transaction as the effect of the
request. Both commit or roll back together, on any instance and in any term, so
in every surviving history the row shows whether the effect took place.
"""

from dataclasses import dataclass
from typing import final

import msgspec

from catkincrank.endpoint import Answer, Column, StatementError
from catkincrank.endpoint import TransactionStatus as Status
from catkincrank.errors import CatkincrankError
from catkincrank.leases import Lease, Leases
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = (
    'CLAIM_SQL',
    'CREATE_INDEX_SQL',
    'CREATE_TABLE_SQL',
    'FIND_SQL',
    'PRUNE_BATCH_ROWS',
    'RECORD_SQL',
    'KeyClaim',
    'MissingTableError',
    'RequestKeys',
)

CREATE_TABLE_SQL = (
    'CREATE TABLE IF NOT EXISTS catkincrank_requests ('
    'team text NOT NULL, '
    'key text NOT NULL, '
    'fingerprint text NOT NULL, '
    'outcome text, '
    'created_at bigint NOT NULL, '
    'PRIMARY KEY (team, key))'
)
CREATE_INDEX_SQL = (
    'CREATE INDEX IF NOT EXISTS catkincrank_requests_age '
    'ON catkincrank_requests (created_at)'
)
CLAIM_SQL = (
    'INSERT INTO catkincrank_requests (team, key, fingerprint, created_at) '
    'VALUES ($1, $2, $3, $4) ON CONFLICT DO NOTHING'
)
FIND_SQL = (
    'SELECT fingerprint, outcome FROM catkincrank_requests '
    'WHERE team = $1 AND key = $2'
)
RECORD_SQL = (
    'UPDATE catkincrank_requests SET outcome = $3 WHERE team = $1 AND key = $2'
)
_PRUNE = (
    'DELETE FROM catkincrank_requests WHERE (team, key) IN ('
    'SELECT team, key FROM catkincrank_requests WHERE created_at < $1 '
    'ORDER BY created_at LIMIT {0})'
)
_DEFAULT_OUTCOME = '{"command": "OK"}'
_CLAIMED = 'INSERT 0 1'
_MAX_OUTCOME_BYTES = 65536
_UNDEFINED_TABLE = '42P01'
PRUNE_BATCH_ROWS = 200


@final
class Outcome(msgspec.Struct, frozen=True):
    """Stored answer of the first run of a request.

    Attributes:
        command: Command tag.
        columns: Names and type OIDs; ``None`` when it returns no rows.
        rows: The rows.
        has_rows: Whether the rows were small enough to be stored.
    """

    command: str
    columns: tuple[tuple[str, int], ...] | None = None
    rows: tuple[tuple[str | None, ...], ...] = ()
    has_rows: bool = True


@final
@dataclass(frozen=True, slots=True)
class KeyClaim:
    """A request key and the request that it identifies.

    Attributes:
        team: Team that the key belongs to.
        key: The key.
        fingerprint: Digest of the request.
        created_at: Wall-clock time, in seconds since 1970.
    """

    team: str
    key: str
    fingerprint: str
    created_at: int


@final
class MissingTableError(CatkincrankError):
    """The service's database has no request-key table."""


@final
class RequestKeys:
    """Reads and writes request-key rows.

    Args:
        leases: Runs statements on leased connections.
    """

    __slots__ = ('_leases',)

    def __init__(self, leases: Leases) -> None:
        self._leases = leases

    async def claim(self, lease: Lease, claim: KeyClaim) -> Answer | None:
        """Claim a key in the open transaction of ``lease``.

        Returns:
            ``None`` when the key is new; otherwise the first run's answer.

        Raises:
            RequestError: The key belongs to another request, or the result
                of the first run was too large to be stored.
            MissingTableError: The request-key table does not exist.
        """
        fields = (
            claim.team,
            claim.key,
            claim.fingerprint,
            str(claim.created_at),
        )
        try:
            answer = await self._leases.execute(lease, CLAIM_SQL, fields)
        except StatementError as error:
            if error.sqlstate == _UNDEFINED_TABLE:
                raise MissingTableError from None
            raise
        if answer.command == _CLAIMED:
            return None
        return await self._find(lease, claim)

    async def record(
        self,
        lease: Lease,
        claim: KeyClaim,
        answer: Answer,
    ) -> None:
        """Store the answer in the same transaction."""
        await self._leases.execute(
            lease,
            RECORD_SQL,
            (claim.team, claim.key, _encode_outcome(answer)),
        )

    async def create_table(self, lease: Lease) -> None:
        """Create the table and its index, outside a transaction."""
        await self._leases.execute(lease, CREATE_TABLE_SQL)
        await self._leases.execute(lease, CREATE_INDEX_SQL)

    async def prune(self, lease: Lease, before: int) -> int:
        """Delete a batch of rows older than ``before``; return their number."""
        sql = _PRUNE.format(PRUNE_BATCH_ROWS)
        answer = await self._leases.execute(lease, sql, (str(before),))
        return int(answer.command.rpartition(' ')[2])

    async def _find(self, lease: Lease, claim: KeyClaim) -> Answer:
        answer = await self._leases.execute(
            lease,
            FIND_SQL,
            (claim.team, claim.key),
        )
        fingerprint, outcome = answer.rows[0]
        if fingerprint != claim.fingerprint:
            raise RequestError(
                Verdict.NOT_RUN,
                Reason.KEY_MISMATCH,
                'the request key {0!r} belongs to another request'.format(
                    claim.key,
                ),
            )
        return _decode_outcome(claim, outcome or _DEFAULT_OUTCOME)


def _encode_outcome(answer: Answer) -> str:
    columns = None
    if answer.columns is not None:
        columns = tuple((one.name, one.oid) for one in answer.columns)
    outcome = Outcome(answer.command, columns, answer.rows)
    body = msgspec.json.encode(outcome)
    if len(body) > _MAX_OUTCOME_BYTES:
        outcome = Outcome(answer.command, columns, has_rows=False)
        body = msgspec.json.encode(outcome)
    return body.decode('utf-8')


def _decode_outcome(claim: KeyClaim, text: str) -> Answer:
    outcome = msgspec.json.decode(text, type=Outcome)
    if not outcome.has_rows:
        raise RequestError(
            Verdict.RAN,
            Reason.ALREADY_RAN,
            'the request with key {0!r} ran; its result was too large to be '
            'stored'.format(claim.key),
        )
    columns = None
    if outcome.columns is not None:
        columns = tuple(Column(name, oid) for name, oid in outcome.columns)
    return Answer(outcome.command, columns, outcome.rows, Status.OPEN)
