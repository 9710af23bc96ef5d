"""Keeps a keeper's membership and duties current by probes and the VM list."""

import random
from collections.abc import Callable, Collection, Iterable
from typing import final

import anyio
import msgspec

from catkincrank.dispatcher import Dispatcher, Peer
from catkincrank.duty import Duties, Duty, find_bucket
from catkincrank.errors import StoreUnavailableError
from catkincrank.journal import Event
from catkincrank.logs import EventRecorder
from catkincrank.membership import (
    Membership,
    PeerAddress,
    PeerState,
    PeerStatus,
)
from catkincrank.messages import Message, Probe
from catkincrank.peerlinks import PeerLinks
from catkincrank.store import Store

__all__ = ('Fleet',)

_TICK_INTERVAL_S = 0.5
_PROBE_INTERVAL_S = 2.0
_VM_LIST_INTERVAL_S = 30.0
_RANDOM_PROBE_COUNT = 1
_UNRECORDED_STATES = frozenset((PeerState.LISTED, PeerState.ALIVE))


@final
class Fleet:
    """Membership of the keepers and this keeper's duties among them.

    Args:
        own_address: Address of this keeper.
        store: The platform's store; ``None`` to work without it.
        links: Sends messages to other keepers.
        recorder: Writes changes of peers' states to the journal and the log.
        apply: Called when duties may have changed.

    Attributes:
        membership: States of the other keepers.
        duties: Duties of this keeper.
        is_leaving: Whether this keeper has announced that it is leaving.
    """

    def __init__(
        self,
        own_address: PeerAddress,
        store: Store | None,
        links: PeerLinks,
        recorder: EventRecorder,
        apply: Callable[[], None],
    ) -> None:
        self.membership = Membership(own_address, anyio.current_time())
        self.duties = Duties(own_address)
        self.is_leaving = False
        self._own_address = own_address
        self._store = store
        self._links = links
        self._recorder = recorder
        self._apply = apply
        self._groups: frozenset[str] = frozenset()
        self._probed_at = float('-inf')
        self._probe_number = 0
        self._random = random.Random(own_address.name)

    def register(self, dispatcher: Dispatcher) -> None:
        """Register the handler of other keepers' probes."""
        dispatcher.handle(Probe)(self._on_probe)

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Add the keepers named in the settings."""
        self.membership.add_configured_peers(peers, anyio.current_time())
        self._update(anyio.current_time())

    def replace_groups(self, groups: Collection[str]) -> None:
        """Replace the set of groups that need watching."""
        self._groups = frozenset(groups)
        self._update(anyio.current_time())

    def find_rank(self, group: str) -> int | None:
        """Return this keeper's rank for ``group``; ``None`` if off duty."""
        return self.duties.held.get(find_bucket(group))

    def list_watchers(self, group: str) -> tuple[PeerAddress, ...]:
        """Return the other keepers on duty for ``group``, own zone first."""
        duty = self.duties.chosen.get(find_bucket(group), Duty(()))
        statuses = self.membership.statuses
        addresses = [
            statuses[name].address for name in duty.keepers if name in statuses
        ]
        return tuple(
            sorted(
                addresses,
                key=lambda address: address.zone != self._own_address.zone,
            ),
        )

    def notify_watchers(self, group: str, message: Message) -> None:
        """Send ``message`` to the other keepers on duty for ``group``."""
        for address in self.list_watchers(group):
            self._links.send(address.name, message)

    def leave(self) -> None:
        """Announce that this keeper is leaving, so that others take over.

        It continues its duties for the overlap, or until it is stopped.
        """
        if not self.is_leaving:
            partners = self.duties.list_partners()
            self.is_leaving = True
            for name in partners:
                self._links.send(name, self._make_probe(0))

    async def run(self) -> None:
        """Keep peer states and duties up to date until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_vm_list)
            while True:
                now = anyio.current_time()
                self._update(now)
                self._probe(now)
                self._apply()
                await anyio.sleep(_TICK_INTERVAL_S)

    def _update(self, now: float) -> None:
        for peer_status in self.membership.tick(now):
            self._record_state(peer_status)
        statuses = self.membership.statuses
        self.duties.update(
            map(find_bucket, self._groups),
            statuses,
            now,
            is_leaving=self.is_leaving,
        )
        self._links.replace(peer.address for peer in statuses.values())

    def _probe(self, now: float) -> None:
        if now < self._probed_at + _PROBE_INTERVAL_S:
            return
        self._probed_at = now
        self._probe_number += 1
        partners = self.duties.list_partners()
        self.membership.select_probed(partners, now)
        others = sorted(set(self.membership.statuses) - partners)
        samples = self._random.sample(
            others, min(_RANDOM_PROBE_COUNT, len(others))
        )
        for name in (*partners, *samples):
            self._links.send(name, self._make_probe(self._probe_number))

    def _make_probe(self, number: int) -> Probe:
        own = self._own_address
        return Probe(
            own.name,
            own.zone,
            own.host,
            own.port,
            number,
            self.is_leaving,
        )

    async def _on_probe(self, peer: Peer, message: Probe) -> None:
        address = PeerAddress(
            message.name, message.zone, message.host, message.port
        )
        self.membership.record_probe(
            address,
            anyio.current_time(),
            is_leaving=message.is_leaving,
        )
        # Announcements that need no answer have the number 0 as well.
        is_answer = not message.number
        if not is_answer and message.name not in self.duties.list_partners():
            await peer.link.send(self._make_probe(0))

    async def _poll_vm_list(self) -> None:
        while self._store is not None:
            await self._read_vm_list(self._store)
            await anyio.sleep(_VM_LIST_INTERVAL_S * (1 + self._random.random()))

    async def _read_vm_list(self, store: Store) -> None:
        try:
            machines = await store.list_machines()
        except StoreUnavailableError as error:
            self._recorder.record(
                Event(
                    'vm_list_unread',
                    'platform',
                    str(error),
                    'the previous list stays in use',
                ),
            )
            return
        self.membership.apply_vm_list(machines, anyio.current_time())

    def _record_state(self, peer_status: PeerStatus) -> None:
        name = peer_status.address.name
        if peer_status.state in _UNRECORDED_STATES:
            return
        self._recorder.record(
            Event(
                'peer_{0}'.format(peer_status.state.value),
                name,
                peer_status.why,
                'state is now {0}'.format(peer_status.state.value),
                {'peer': msgspec.json.encode(peer_status.address).decode()},
            ),
        )
