"""Costs of the propagation of settings, in simulated time."""

import random
import time
from dataclasses import dataclass
from typing import final

from benchmarks.relayfleet import Fleet
from catkincrank.relay import Relay
from catkincrank.relayroster import RelayPeer
from catkincrank.settingsmessages import SettingsEntry, SettingsPush

__all__ = ('RelayCost', 'RelayLoad', 'measure_relay', 'measure_relay_steps')

_WARM_UP_S = 20
_SETTLE_S = 12
_NODES_PER_TEAM = 8
_TEAMS_PER_NODE = 4
_ROUNDS = 2000
_MICROSECONDS_PER_SECOND = 1e6
_PERCENTILE = 0.99


@final
@dataclass(frozen=True, slots=True)
class RelayLoad:
    """Size of a fleet and its rate of changes.

    Attributes:
        zones: Number of zones.
        nodes_per_zone: Number of nodes in each zone.
        changes_per_s: Rate of accepted changes.
        seconds: Duration of the load, in seconds.
    """

    zones: int
    nodes_per_zone: int
    changes_per_s: float
    seconds: float


@final
@dataclass(frozen=True, slots=True)
class RelayCost:
    """Costs and delays of the propagation of settings.

    Attributes:
        nodes: Number of nodes of the fleet.
        changes_per_s: Rate of accepted changes.
        median_s: Median time from acceptance until in force at a node.
        p99_s: 99th percentile of this time.
        longest_s: Maximum of this time.
        mean_bytes_per_s: Bytes sent and received by a node, on average.
        most_bytes_per_s: The same for the busiest node.
        store_reads_per_s: Reads from the store by the whole fleet.
        start_reads: Reads from the store when all nodes start at once.
        missed: Served teams, over all nodes, that were not at the newest
            version at the end.
    """

    nodes: int
    changes_per_s: float
    median_s: float
    p99_s: float
    longest_s: float
    mean_bytes_per_s: float
    most_bytes_per_s: float
    store_reads_per_s: float
    start_reads: int
    missed: int


def measure_relay(load: RelayLoad, seed: int = 1) -> RelayCost:
    """Run a fleet under ``load`` and return its costs."""
    zones = {
        'zone-{0}'.format(number): load.nodes_per_zone
        for number in range(load.zones)
    }
    fleet = Fleet(zones, seed)
    teams = _start_nodes(fleet)
    fleet.run(_WARM_UP_S)
    start_reads = fleet.table.reads
    fleet.sent_bytes.clear()
    fleet.received_bytes.clear()
    accepted: dict[tuple[str, int], float] = {}
    for _ in range(round(load.seconds * load.changes_per_s)):
        fleet.run(fleet.random.expovariate(load.changes_per_s))
        team = fleet.random.choice(teams)
        row = fleet.accept(team)
        accepted[team, row.version] = fleet.now
    fleet.run(_SETTLE_S)
    return _summarise(fleet, load, accepted, start_reads)


def measure_relay_steps() -> tuple[float, float]:
    """Return the processor time of a tick and of a push, in microseconds."""
    peers = tuple(
        RelayPeer('vm-{0}'.format(number), 'zone-{0}'.format(number // 91))
        for number in range(2093)
    )
    relay = Relay(peers[0], random.Random(1))
    relay.roster.replace(peers)
    began = time.process_time()
    for number in range(_ROUNDS):
        relay.tick(number / 4)
    ticked = time.process_time()
    for number in range(_ROUNDS):
        entry = SettingsEntry(number + 1, 'team', number, is_accepted=True)
        push = SettingsPush(entry, b'{}', str(number))
        relay.on_message('vm-1', push, 0)
    pushed = time.process_time()
    return (
        (ticked - began) / _ROUNDS * _MICROSECONDS_PER_SECOND,
        (pushed - ticked) / _ROUNDS * _MICROSECONDS_PER_SECOND,
    )


def _start_nodes(fleet: Fleet) -> list[str]:
    names = [peer.name for peer in fleet.peers]
    deployments = max(1, len(names) // _NODES_PER_TEAM)
    teams = [
        'team-{0}'.format(number)
        for number in range(deployments * _TEAMS_PER_NODE)
    ]
    for team in teams:
        fleet.accept(team)
    for number, name in enumerate(names):
        first = number % deployments * _TEAMS_PER_NODE
        fleet.start(name, tuple(teams[first : first + _TEAMS_PER_NODE]))
    return teams


def _summarise(
    fleet: Fleet,
    load: RelayLoad,
    accepted: dict[tuple[str, int], float],
    start_reads: int,
) -> RelayCost:
    delays = sorted(
        at - accepted[team, version]
        for (_, team), held in fleet.in_force.items()
        for at, version in held
        if (team, version) in accepted
    )
    elapsed = fleet.now - _WARM_UP_S
    rates = [
        (fleet.sent_bytes[peer.name] + fleet.received_bytes[peer.name])
        / elapsed
        for peer in fleet.peers
    ]
    newest = {
        key.removeprefix('settings/'): len(rows)
        for key, rows in fleet.table.rows.items()
    }
    missed = sum(
        fleet.version_at(name, team) != newest[team]
        for name, teams in fleet.served.items()
        for team in teams
    )
    return RelayCost(
        len(rates),
        load.changes_per_s,
        delays[len(delays) // 2],
        delays[int(len(delays) * _PERCENTILE)],
        delays[-1],
        sum(rates) / len(rates),
        max(rates),
        (fleet.table.reads - start_reads) / elapsed,
        start_reads,
        missed,
    )
