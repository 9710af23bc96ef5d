"""A minimal keeper over a model group, for the request fault matrix.

It replaces a primary that does not answer, and lets the others follow. The
real keeper's decisions have a fault matrix of their own.
"""

from typing import Any, final

import anyio

from catkincrank.endpoint import Credential, EndpointConnection, StatementError
from catkincrank.errors import EndpointError
from catkincrank.instance import Ballot, InstanceStatus, Role
from catkincrank.standins.modelgroup import ModelGroup

__all__ = ('ModelKeeper',)

_POLL_INTERVAL_S = 0.1
_ANSWER_LIMIT_S = 0.3
_SUSPICION_S = 1
_COPY_S = 0.5
_LOGIN = Credential('keeper', '', 'postgres')
_APPLICATION = 'catkincrank-keeper'


@final
class ModelKeeper:
    """Watches one group and replaces its primary.

    Args:
        model: The group.
        promotion_delay_s: Time between sealing and promoting.

    Attributes:
        is_forced: Set to replace a primary that works.
        name: Its origin in the model's network.
        promoted_at: When it began each term, at the earliest.
    """

    def __init__(self, model: ModelGroup, promotion_delay_s: float) -> None:
        self.is_forced = False
        self.name = 'keeper'
        self.promoted_at: dict[int, float] = {}
        self._model = model
        self._delay_s = promotion_delay_s
        self._links: dict[str, EndpointConnection] = {}
        self._seen_at: float = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            statuses = await self._ask_all('fetch_status')
            primary = _find_primary(statuses)
            now = anyio.current_time()
            if primary is not None and not self.is_forced:
                self._seen_at = now
                await self._lead_followers(primary, statuses)
            elif self.is_forced or now - self._seen_at > _SUSPICION_S:
                await self._replace(statuses)
            await anyio.sleep(_POLL_INTERVAL_S)

    async def _replace(self, statuses: list[InstanceStatus]) -> None:
        term = max((_bound_term(status) for status in statuses), default=0)
        ballot = Ballot(term + 1, self.name)
        sealed = [
            status
            for status in await self._ask_all('seal', ballot)
            if status.sealed == ballot
        ]
        if len(sealed) <= len(self._model.servers) // 2:
            return
        best = max(sealed, key=_rank)
        if best.role is Role.PRIMARY:
            # It cannot be promoted again: another one copies its log first.
            await self._copy_log(best, sealed, ballot)
            return
        await anyio.sleep(self._delay_s)
        self.promoted_at[ballot.term] = anyio.current_time()
        await self._ask(best.endpoint, 'promote', ballot)
        self.is_forced = False

    async def _copy_log(
        self,
        source: InstanceStatus,
        sealed: list[InstanceStatus],
        ballot: Ballot,
    ) -> None:
        address = self._model.addresses()[source.endpoint]
        for status in sealed:
            if status.endpoint != source.endpoint:
                await self._ask(  # noqa: WPS476
                    status.endpoint,
                    'follow',
                    address,
                    ballot,
                )
        await anyio.sleep(_COPY_S)

    async def _lead_followers(
        self,
        primary: InstanceStatus,
        statuses: list[InstanceStatus],
    ) -> None:
        address = self._model.addresses()[primary.endpoint]
        for status in statuses:
            is_led = status.follows == primary.endpoint
            if status.endpoint != primary.endpoint and not is_led:
                ballot = primary.sealed
                await self._ask(  # noqa: WPS476
                    status.endpoint,
                    'follow',
                    address,
                    ballot,
                )

    async def _ask_all(self, method: str, *args: Any) -> list[InstanceStatus]:
        answers: list[InstanceStatus] = []

        async def ask(endpoint: str) -> None:  # noqa: WPS430
            answer = await self._ask(endpoint, method, *args)
            if answer is not None:
                answers.append(answer)

        async with anyio.create_task_group() as tasks:
            for endpoint in self._model.servers:
                tasks.start_soon(ask, endpoint)
        return answers

    async def _ask(
        self,
        endpoint: str,
        method: str,
        *args: Any,
    ) -> InstanceStatus | None:
        with anyio.move_on_after(_ANSWER_LIMIT_S):
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
    """Return the unsealed primary of the newest term that is known."""
    newest = max((status.term for status in statuses), default=0)
    for status in statuses:
        is_primary = status.role is Role.PRIMARY and not status.is_sealed
        if is_primary and status.term == newest:
            return status
    return None


def _bound_term(status: InstanceStatus) -> int:
    return max(status.term, status.sealed.term if status.sealed else 0)


def _rank(status: InstanceStatus) -> tuple[int, int, bool]:
    """Prefer the fullest; among equals, a replica."""
    return (status.term, status.received, status.role is Role.REPLICA)
