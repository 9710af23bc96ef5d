"""A minimal keeper over a model group, for the request fault matrix.

It replaces a primary that does not answer and redirects the other instances
to the new one. The real keeper has a fault matrix of its own.
"""

from typing import Any, final

import anyio

from catkincrank.endpoint import Credential, EndpointConnection, StatementError
from catkincrank.errors import EndpointError
from catkincrank.instance import Ballot, InstanceStatus, Role
from catkincrank.standins.modelgroup import ModelGroup

__all__ = ('ModelKeeper',)

_POLL_INTERVAL_S = 0.1
_ANSWER_TIMEOUT_S = 0.3
_SUSPICION_TIMEOUT_S = 1
_LOG_COPY_S = 0.5
_LOGIN = Credential('keeper', '', 'postgres')
_APPLICATION = 'catkincrank-keeper'


@final
class ModelKeeper:
    """Monitors one group and replaces its primary when it fails.

    Args:
        model: The group.
        promotion_delay_s: Time between sealing and promotion.

    Attributes:
        is_replacement_forced: Set to replace a primary that works.
        name: Its origin in the model's network.
        promoted_at: By term, the time just before its promotion.
    """

    def __init__(self, model: ModelGroup, promotion_delay_s: float) -> None:
        self.is_replacement_forced = False
        self.name = 'keeper'
        self.promoted_at: dict[int, float] = {}
        self._model = model
        self._delay_s = promotion_delay_s
        self._links: dict[str, EndpointConnection] = {}
        self._last_primary_at: float = 0

    async def run(self) -> None:
        """Monitor the group until cancelled."""
        while True:
            statuses = await self._call_all('fetch_status')
            primary = _find_primary(statuses)
            now = anyio.current_time()
            if primary is not None and not self.is_replacement_forced:
                self._last_primary_at = now
                await self._redirect_replicas(primary, statuses)
            elif (
                self.is_replacement_forced
                or now - self._last_primary_at > _SUSPICION_TIMEOUT_S
            ):
                await self._replace(statuses)
            await anyio.sleep(_POLL_INTERVAL_S)

    async def _replace(self, statuses: list[InstanceStatus]) -> None:
        term = max(
            (_get_highest_term(status) for status in statuses), default=0
        )
        ballot = Ballot(term + 1, self.name)
        sealed = [
            status
            for status in await self._call_all('seal', ballot)
            if status.sealed == ballot
        ]
        if len(sealed) <= len(self._model.servers) // 2:
            return
        best = max(sealed, key=_rank)
        if best.role is Role.PRIMARY:
            # A primary can't be promoted: a replica copies its log first.
            await self._copy_log(best, sealed, ballot)
            return
        await anyio.sleep(self._delay_s)
        self.promoted_at[ballot.term] = anyio.current_time()
        await self._call(best.endpoint, 'promote', ballot)
        self.is_replacement_forced = False

    async def _copy_log(
        self,
        source: InstanceStatus,
        sealed: list[InstanceStatus],
        ballot: Ballot,
    ) -> None:
        address = self._model.addresses()[source.endpoint]
        for status in sealed:
            if status.endpoint != source.endpoint:
                await self._call(  # noqa: WPS476
                    status.endpoint,
                    'follow',
                    address,
                    ballot,
                )
        await anyio.sleep(_LOG_COPY_S)

    async def _redirect_replicas(
        self,
        primary: InstanceStatus,
        statuses: list[InstanceStatus],
    ) -> None:
        address = self._model.addresses()[primary.endpoint]
        for status in statuses:
            is_following = status.follows == primary.endpoint
            if status.endpoint != primary.endpoint and not is_following:
                ballot = primary.sealed
                await self._call(  # noqa: WPS476
                    status.endpoint,
                    'follow',
                    address,
                    ballot,
                )

    async def _call_all(self, method: str, *args: Any) -> list[InstanceStatus]:
        answers: list[InstanceStatus] = []

        async def call(endpoint: str) -> None:  # noqa: WPS430
            answer = await self._call(endpoint, method, *args)
            if answer is not None:
                answers.append(answer)

        async with anyio.create_task_group() as tasks:
            for endpoint in self._model.servers:
                tasks.start_soon(call, endpoint)
        return answers

    async def _call(
        self,
        endpoint: str,
        method: str,
        *args: Any,
    ) -> InstanceStatus | None:
        with anyio.move_on_after(_ANSWER_TIMEOUT_S):
            try:
                link = await self._connect(endpoint)
                return await getattr(link, method)(*args)
            except (EndpointError, StatementError):
                await self._drop(endpoint)
                return None
        await self._drop(endpoint)
        return None

    async def _drop(self, endpoint: str) -> None:
        link = self._links.pop(endpoint, None)
        if link is not None:
            await link.close()

    async def _connect(self, endpoint: str) -> EndpointConnection:
        if endpoint not in self._links:
            driver = self._model.driver(self.name)
            address = self._model.addresses()[endpoint]
            self._links[endpoint] = await driver.connect(
                address,
                _LOGIN,
                _APPLICATION,
            )
        return self._links[endpoint]


def _find_primary(statuses: list[InstanceStatus]) -> InstanceStatus | None:
    """Return the unsealed primary if its term is the newest reported."""
    newest = max((status.term for status in statuses), default=0)
    for status in statuses:
        is_primary = status.role is Role.PRIMARY and not status.is_sealed
        if is_primary and status.term == newest:
            return status
    return None


def _get_highest_term(status: InstanceStatus) -> int:
    return max(status.term, status.sealed.term if status.sealed else 0)


def _rank(status: InstanceStatus) -> tuple[int, int, bool]:
    """Prefer the newest term and log; among equals, a replica."""
    return (status.term, status.received, status.role is Role.REPLICA)
