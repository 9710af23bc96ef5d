"""Admits operations by tokens of the shards of their organisation's limit."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, final

import anyio

from catkincrank.errors import MessageError
from catkincrank.gateway.catalog import Catalog, Organisation
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.organisations.quotameasures import QuotaMeasures
from catkincrank.gateway.organisations.quotamessages import (
    QuotaAllocation,
    QuotaReport,
)
from catkincrank.gateway.organisations.quotas import Quotas
from catkincrank.gateway.organisations.shardstate import ShardState
from catkincrank.gateway.organisations.shardwriter import ShardWriter
from catkincrank.gateway.organisations.tokenadmission import TokenAdmission
from catkincrank.gateway.organisations.tokenmessages import (
    TokenGrant,
    TokenRequest,
    check_request,
)
from catkincrank.gateway.reply import Failure, StatementFailed

__all__ = ('ShardedQuotas',)

_UPDATE_INTERVAL_S = 0.5
_NO_LIMITS: Final[Mapping[str, Organisation]] = MappingProxyType({})


@final
class ShardedQuotas:
    """Admits operations, and issues tokens of the shards that this VM owns.

    Args:
        groups: Provides the configuration in force.
        fleet: State of the fleet's table.
        shards: Owners of the shards.
        shares: Admits operations while shards are not in force.
        writer: Assigns the shards while the lease is held.
        admission: Takes tokens for operations.
        measures: Records refusals.
    """

    __slots__ = (
        '_admission',
        '_catalog',
        '_fleet',
        '_groups',
        '_issuer',
        '_writer',
        '_limits',
        '_measures',
        '_shards',
        '_shares',
    )

    def __init__(
        self,
        groups: Groups,
        fleet: FleetState,
        shards: ShardState,
        shares: Quotas,
        writer: ShardWriter,
        admission: TokenAdmission,
        measures: QuotaMeasures,
    ) -> None:
        self._groups = groups
        self._fleet = fleet
        self._shards = shards
        self._shares = shares
        self._writer = writer
        self._issuer = admission.issuer
        self._admission = admission
        self._measures = measures
        self._catalog: Catalog | None = None
        self._limits = _NO_LIMITS

    async def admit(self, organisation: str) -> None:
        """Admit one operation of an organisation; empty for none.

        Raises:
            StatementFailed: The operation exceeds the limit; it was not run.
        """
        self._apply_catalog()
        if not (organisation and self._limits):
            return
        if not self._shards.is_in_force:
            await self._shares.admit(organisation)
            return
        cause = 'no_limit'
        limit = self._limits.get(organisation)
        if limit is not None:
            cause = await self._admission.take_token(organisation)
        if cause:
            detail = self._measures.record_refusal(
                organisation, None, cause, limit
            )
            raise StatementFailed(Failure.OVERLOADED, detail)

    async def answer(self, request: TokenRequest) -> TokenGrant | None:
        """Answer a VM's request; ``None`` if it is not a member's."""
        try:
            check_request(request)
        except MessageError as error:
            self._measures.record_malformed(request.name, error)
            return None
        if request.name not in self._fleet.members:
            return None
        self._apply_catalog()
        now = anyio.current_time()
        return TokenGrant(
            tuple(
                self._issuer.issue(wanted.organisation, wanted.count, now)
                for wanted in request.wanted
            )
        )

    async def answer_report(
        self, report: QuotaReport
    ) -> QuotaAllocation | None:
        """Answer a report of a VM that uses shares."""
        return await self._shares.answer(report)

    async def run(self) -> None:
        """Report demand for shares, and assign shards, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._shares.run)
            while True:
                self._apply_catalog()
                if self._limits:
                    await self._writer.update()
                self._shares.may_request = not self._shards.is_in_force
                self._shares.may_allocate = self._writer.may_allocate_shares
                await anyio.sleep(_UPDATE_INTERVAL_S)

    def describe(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        shards = self._shards
        return {
            'shards_in_force': shards.is_in_force,
            'owners': {
                group: [owner.name for owner in record.owners]
                for group, record in shards.records.items()
            },
            'issued': self._issuer.describe(),
            'shares': self._shares.describe(),
        }

    def _apply_catalog(self) -> None:
        catalog = self._groups.catalog
        if catalog is self._catalog or catalog is None:
            return
        self._catalog = catalog
        self._limits = catalog.organisations or _NO_LIMITS
        self._issuer.apply_limits(self._limits, anyio.current_time())
