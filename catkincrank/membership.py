"""What a keeper believes of the other keepers, why, and since when.

The platform's list of VMs lags and may be wrong in either direction, so it
only says who may exist. Whether a peer lives is judged from its own answers,
for the peers that are probed; of the others the list is believed.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import final

from catkincrank.store import VirtualMachine

__all__ = ('PeerStatus', 'Membership', 'PeerAddress', 'PeerState')

_SILENCE_S = 6.0
_FORGET_S = 120.0
_PAUSE_LIMIT_S = 0.8
_NEVER = float('-inf')


@final
@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Another keeper, as settings or the platform's list name it.

    Attributes:
        name: Name of its VM.
        zone: Availability zone it runs in.
        host: IP number.
        port: TCP port of its keeper.
    """

    name: str
    zone: str
    host: str
    port: int


@final
class PeerState(enum.Enum):
    """What is believed of a peer."""

    LISTED = 'listed'
    ALIVE = 'alive'
    SILENT = 'silent'
    LEAVING = 'leaving'


@final
@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Belief about one peer.

    Attributes:
        address: The peer.
        state: What is believed.
        why: What that rests on.
        since: Since when, in seconds.
    """

    address: PeerAddress
    state: PeerState
    why: str
    since: float


@final
@dataclass(slots=True)
class _Evidence:
    """What is known of one peer."""

    address: PeerAddress
    is_listed: bool = False
    is_listed_leaving: bool = False
    says_leaving: bool = False
    heard_at: float = _NEVER
    probed_since: float | None = None
    seen_at: float = _NEVER


@final
class Membership:
    """Evidence about peers and the beliefs that follow from it.

    Args:
        me: This keeper.
        now: The time, in seconds.
    """

    def __init__(self, me: PeerAddress, now: float) -> None:
        self.statuses: dict[str, PeerStatus] = {}
        self._me = me
        self._peers: dict[str, _Evidence] = {}
        self._ticked_at = now

    def learn_peers(
        self,
        peers: Iterable[PeerAddress],
        now: float,
    ) -> None:
        """Take in peers that settings name."""
        for address in peers:
            found = self._find(address)
            found.is_listed = True
            found.seen_at = now

    def apply_vm_list(
        self,
        machines: Iterable[VirtualMachine],
        now: float,
    ) -> None:
        """Take in the platform's list."""
        listed = {machine.name: machine for machine in machines}
        for name, peer in self._peers.items():
            peer.is_listed = name in listed
        for machine in listed.values():
            address = PeerAddress(
                machine.name,
                machine.zone,
                machine.host,
                self._me.port,
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
        """Take in a peer's own word."""
        evidence = self._find(address)
        evidence.heard_at = now
        evidence.seen_at = now
        evidence.says_leaving = is_leaving

    def select_probed(self, names: Iterable[str], now: float) -> None:
        """Say which peers are probed from now on; silence counts for them."""
        wanted = set(names)
        for name, evidence in self._peers.items():
            if name not in wanted:
                evidence.probed_since = None
            elif evidence.probed_since is None:
                evidence.probed_since = now

    def tick(self, now: float) -> list[PeerStatus]:
        """Return beliefs that have changed.

        After a pause of this process silence is counted anew.
        """
        if now - self._ticked_at > _PAUSE_LIMIT_S:
            for peer in self._peers.values():
                if peer.probed_since is not None:
                    peer.probed_since = now
        self._ticked_at = now
        self._forget(now)
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
        state, why = _judge(evidence, now)
        known = self.statuses.get(name)
        if known is not None and known.state is state:
            if known.address != evidence.address:
                self.statuses[name] = replace(known, address=evidence.address)
            return []
        peer_status = PeerStatus(evidence.address, state, why, now)
        self.statuses[name] = peer_status
        return [peer_status]

    def _forget(self, now: float) -> None:
        for name, evidence in tuple(self._peers.items()):
            if not evidence.is_listed and now > evidence.seen_at + _FORGET_S:
                self._peers.pop(name)
                self.statuses.pop(name, None)

    def _find(self, address: PeerAddress) -> _Evidence:
        if address.name == self._me.name:
            return _Evidence(address)
        known = self._peers.get(address.name)
        if known is None:
            known = _Evidence(address)
            self._peers[address.name] = known
        return known


def _judge(evidence: _Evidence, now: float) -> tuple[PeerState, str]:
    if evidence.is_listed_leaving or evidence.says_leaving:
        return PeerState.LEAVING, 'the platform or the peer says so'
    if evidence.probed_since is not None:
        quiet_since = max(evidence.heard_at, evidence.probed_since)
        if now - quiet_since > _SILENCE_S:
            return PeerState.SILENT, 'it does not answer probes'
    if now - evidence.heard_at <= _SILENCE_S:
        return PeerState.ALIVE, 'it has answered'
    known = 'it is listed' if evidence.is_listed else 'it was heard before'
    return PeerState.LISTED, known
