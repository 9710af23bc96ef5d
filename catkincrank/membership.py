"""Failure detection among keepers: each peer's state, its reason and age.

The platform's list of VMs lags and may be wrong in either direction, so it
only tells which peers may exist. Peers that are probed are judged by their own
answers; for the others the list is trusted.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import final

from catkincrank.store import VirtualMachine

__all__ = ('Membership', 'PeerAddress', 'PeerState', 'PeerStatus')

_SILENCE_LIMIT_S = 6.0
_EVICTION_S = 120.0
_PAUSE_LIMIT_S = 0.8
_NEVER = float('-inf')


@final
@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of a keeper, from the settings or the platform's list.

    Attributes:
        name: Name of its VM.
        zone: Availability zone it runs in.
        host: IP address.
        port: TCP port of its keeper.
    """

    name: str
    zone: str
    host: str
    port: int


@final
class PeerState(enum.Enum):
    """State of a peer, as this keeper sees it."""

    LISTED = 'listed'
    ALIVE = 'alive'
    SILENT = 'silent'
    LEAVING = 'leaving'


@final
@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Current status of one peer.

    Attributes:
        address: Address of the peer.
        state: Its state.
        why: Reason for the state.
        since: Time at which the state began, in seconds.
    """

    address: PeerAddress
    state: PeerState
    why: str
    since: float


@final
@dataclass(slots=True)
class _Evidence:
    """Evidence about one peer.

    Attributes:
        address: Address of the peer.
        is_listed: Whether the settings or the newest VM list name it.
        is_listed_leaving: Whether the VM list marks it as leaving.
        is_reported_leaving: Whether its own newest message said so.
        heard_at: When its newest message arrived, in seconds.
        probed_since: Start of the probes that count towards its silence, in
            seconds; ``None`` while it is not probed.
        seen_at: When it was last listed or heard from, in seconds.
    """

    address: PeerAddress
    is_listed: bool = False
    is_listed_leaving: bool = False
    is_reported_leaving: bool = False
    heard_at: float = _NEVER
    probed_since: float | None = None
    seen_at: float = _NEVER


@final
class Membership:
    """Evidence about peers and the states that follow from it.

    Args:
        own_address: Address of this keeper.
        now: Current time, in seconds.

    Attributes:
        statuses: Status of each other keeper as of the last tick, by name.
    """

    def __init__(self, own_address: PeerAddress, now: float) -> None:
        self.statuses: dict[str, PeerStatus] = {}
        self._own_address = own_address
        self._peers: dict[str, _Evidence] = {}
        self._ticked_at = now

    def add_configured_peers(
        self,
        peers: Iterable[PeerAddress],
        now: float,
    ) -> None:
        """Add peers named in the settings."""
        for address in peers:
            evidence = self._find(address)
            evidence.is_listed = True
            evidence.seen_at = now

    def apply_vm_list(
        self,
        machines: Iterable[VirtualMachine],
        now: float,
    ) -> None:
        """Apply the platform's list of VMs."""
        listed = {machine.name: machine for machine in machines}
        for name, peer in self._peers.items():
            peer.is_listed = name in listed
        for machine in listed.values():
            address = PeerAddress(
                machine.name,
                machine.zone,
                machine.host,
                self._own_address.port,
            )
            evidence = self._find(address)
            evidence.is_listed = True
            evidence.is_listed_leaving = machine.is_leaving
            evidence.seen_at = now

    def record_probe(
        self,
        address: PeerAddress,
        now: float,
        *,
        is_leaving: bool = False,
    ) -> None:
        """Record a probe or an answer that a peer has sent."""
        evidence = self._find(address)
        evidence.heard_at = now
        evidence.seen_at = now
        evidence.is_reported_leaving = is_leaving

    def select_probed(self, names: Iterable[str], now: float) -> None:
        """Set the peers that are probed; only their silence is counted."""
        probed = set(names)
        for name, evidence in self._peers.items():
            if name not in probed:
                evidence.probed_since = None
            elif evidence.probed_since is None:
                evidence.probed_since = now

    def tick(self, now: float) -> list[PeerStatus]:
        """Return the peers whose state has changed.

        After a pause of this process, silence is counted from now: answers
        that arrived during the pause have not been read yet.
        """
        if now - self._ticked_at > _PAUSE_LIMIT_S:
            for peer in self._peers.values():
                if peer.probed_since is not None:
                    peer.probed_since = now
        self._ticked_at = now
        self._evict(now)
        return [
            changed
            for name, evidence in self._peers.items()
            for changed in self._update(name, evidence, now)
        ]

    def _update(
        self,
        name: str,
        evidence: _Evidence,
        now: float,
    ) -> list[PeerStatus]:
        state, why = _derive_state(evidence, now)
        known = self.statuses.get(name)
        if known is not None and known.state is state:
            if known.address != evidence.address:
                self.statuses[name] = replace(known, address=evidence.address)
            return []
        peer_status = PeerStatus(evidence.address, state, why, now)
        self.statuses[name] = peer_status
        return [peer_status]

    def _evict(self, now: float) -> None:
        for name, evidence in tuple(self._peers.items()):
            if not evidence.is_listed and now > evidence.seen_at + _EVICTION_S:
                self._peers.pop(name)
                self.statuses.pop(name, None)

    def _find(self, address: PeerAddress) -> _Evidence:
        if address.name == self._own_address.name:
            return _Evidence(address)
        known = self._peers.get(address.name)
        if known is None:
            known = _Evidence(address)
            self._peers[address.name] = known
        return known


def _derive_state(evidence: _Evidence, now: float) -> tuple[PeerState, str]:
    if evidence.is_listed_leaving or evidence.is_reported_leaving:
        return PeerState.LEAVING, 'marked leaving by the platform or the peer'
    if evidence.probed_since is not None:
        silent_since = max(evidence.heard_at, evidence.probed_since)
        if now - silent_since > _SILENCE_LIMIT_S:
            return PeerState.SILENT, 'it does not answer probes'
    if now - evidence.heard_at <= _SILENCE_LIMIT_S:
        return PeerState.ALIVE, 'it has sent a probe or an answer'
    known = 'it is listed' if evidence.is_listed else 'it has been in contact'
    return PeerState.LISTED, known
