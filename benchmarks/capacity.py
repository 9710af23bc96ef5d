"""Extrapolates measured costs to the size required in two years."""

from dataclasses import dataclass
from typing import final

from benchmarks.messagecosts import MessageCost
from benchmarks.processcosts import KeeperCost, ProxyCost
from benchmarks.relaycosts import RelayCost
from benchmarks.statecosts import StateCosts

__all__ = ('Figure', 'Size', 'Slopes', 'extrapolate')

_DAY_S = 86400
_MEGABYTE = 1048576
_KILOBYTE = 1000
_SECONDS_PER_MICROSECOND = 1e-6


@final
@dataclass(frozen=True, slots=True)
class Size:
    """Size that the users require in two years, and its division.

    Attributes:
        nodes: Number of entry VMs.
        databases: Number of groups, of three instances each.
        connections: Connections of callers.
        statements_per_s: Statements of callers per second.
        changes_per_day: Accepted changes of settings per day.
        restarts_per_day: VMs restarted or replaced per day.
        nodes_per_deployment: VMs that share one deployment, as today.
        duty_keepers: Keepers that watch one group.
        proxies_per_node: Proxy processes per VM.
        store_writes_per_change: Writes to the store for one change.
        probe_bytes_per_s: Probe traffic of a mean node, as measured by
            ``benchmarks.duty``.
    """

    nodes: int = 2100
    databases: int = 14000
    connections: int = 18000000
    statements_per_s: int = 16000000
    changes_per_day: int = 11000
    restarts_per_day: int = 1900
    nodes_per_deployment: int = 8
    duty_keepers: int = 3
    proxies_per_node: int = 4
    store_writes_per_change: int = 3
    probe_bytes_per_s: float = 1402

    @property
    def groups_served(self) -> float:
        """Groups of one deployment; each of its nodes serves all of them."""
        return self.databases * self.nodes_per_deployment / self.nodes

    @property
    def groups_on_duty(self) -> float:
        """Groups that one keeper watches when the duty is divided."""
        return self.databases * self.duty_keepers / self.nodes


@final
@dataclass(frozen=True, slots=True)
class Slopes:
    """Measured costs from which marginal costs are computed.

    Attributes:
        messages: Cost of each kind of message.
        state: Memory of each further object of state.
        keepers: Costs of keepers, by ascending number of groups.
        proxy: Costs of a proxy.
        relays: Costs of fleets, by ascending number of nodes.
        relay_tick_us: Processor time of a relay's tick, in microseconds.
        relay_push_us: Processor time of a push, in microseconds.
    """

    messages: dict[str, MessageCost]
    state: StateCosts
    keepers: tuple[KeeperCost, ...]
    proxy: ProxyCost
    relays: tuple[RelayCost, ...]
    relay_tick_us: float
    relay_push_us: float

    @property
    def relay(self) -> RelayCost:
        """The largest fleet at the required rate of changes."""
        usual = [relay for relay in self.relays if relay.changes_per_s < 1]
        return max(usual, key=lambda relay: relay.nodes)

    @property
    def cpu_per_group(self) -> float:
        """Share of a core for each further watched group."""
        first, last = self.keepers[0], self.keepers[-1]
        return (last.cpu_share - first.cpu_share) / (last.groups - first.groups)

    @property
    def bytes_per_group(self) -> float:
        """Payload bytes per second for each watched group."""
        last = self.keepers[-1]
        return last.endpoint_bytes_per_s / last.groups

    @property
    def resident_per_group_mb(self) -> float:
        """Resident memory for each further watched group, in MB."""
        first, last = self.keepers[0], self.keepers[-1]
        grown = last.resident_mb - first.resident_mb
        return grown / (last.groups - first.groups)

    @property
    def private_per_group_mb(self) -> float:
        """Private memory for each further watched group, in MB."""
        first, last = self.keepers[0], self.keepers[-1]
        grown = last.private_mb - first.private_mb
        return grown / (last.groups - first.groups)


@final
@dataclass(frozen=True, slots=True)
class Figure:
    """A figure at the size required in two years.

    Attributes:
        name: Name of the quantity.
        amount: Its value.
        bound: Required bound; ``None`` without one.
        unit: Unit of both.
    """

    name: str
    amount: float
    bound: float | None
    unit: str

    @property
    def share(self) -> float | None:
        """Used share of the bound."""
        return None if self.bound is None else self.amount / self.bound


def extrapolate(size: Size, slopes: Slopes) -> list[Figure]:
    """Return the figures at ``size``."""
    return [
        *_settings_figures(size, slopes),
        *_keeper_figures(size, slopes),
        *_proxy_figures(size, slopes),
        *_total_figures(size, slopes),
        *_store_figures(size, slopes),
    ]


def _settings_figures(size: Size, slopes: Slopes) -> list[Figure]:
    relay = slopes.relay
    per_message = slopes.messages['SettingsDigest']
    exchange_us = 2 * (per_message.encode_us + per_message.decode_us)
    pushes = 2 * size.changes_per_day / _DAY_S
    steps_us = 4 * slopes.relay_tick_us + pushes * slopes.relay_push_us
    cpu = (steps_us + exchange_us) * _SECONDS_PER_MICROSECOND
    return [
        Figure('settings in force, slowest node', relay.longest_s, 11, 's'),
        Figure(
            'relay, mean node',
            relay.mean_bytes_per_s / _KILOBYTE,
            3,
            'KB/s',
        ),
        Figure(
            'relay, busiest node',
            relay.most_bytes_per_s / _KILOBYTE,
            3,
            'KB/s',
        ),
        Figure('relay processor', 100 * cpu, 1.8, '% of a core'),
    ]


def _keeper_figures(size: Size, slopes: Slopes) -> list[Figure]:
    base = slopes.keepers[0]
    figures = []
    for label, groups in (
        ('all groups served', size.groups_served),
        ('groups on duty', size.groups_on_duty),
    ):
        watched_kb_per_s = slopes.bytes_per_group * groups / _KILOBYTE
        cpu = 100 * (base.cpu_share + slopes.cpu_per_group * groups)
        resident = base.resident_mb + slopes.resident_per_group_mb * groups
        figures.extend(
            (
                Figure(
                    'watching {0}'.format(label), watched_kb_per_s, 3, 'KB/s'
                ),
                Figure(
                    'keeper processor, {0}'.format(label),
                    cpu,
                    1.8,
                    '% of a core',
                ),
                Figure(
                    'keeper resident, {0}'.format(label),
                    resident,
                    32,
                    'MB',
                ),
            ),
        )
    private = base.private_mb
    private += slopes.private_per_group_mb * size.groups_on_duty
    figures.append(
        Figure('keeper private, groups on duty', private, 32, 'MB'),
    )
    return figures


def _total_figures(size: Size, slopes: Slopes) -> list[Figure]:
    watched_bytes_per_s = slopes.bytes_per_group * size.groups_on_duty
    other_bytes_per_s = size.probe_bytes_per_s + slopes.relay.mean_bytes_per_s
    return [
        Figure(
            'probes and relay, mean node',
            other_bytes_per_s / _KILOBYTE,
            3,
            'KB/s',
        ),
        Figure(
            'all control, mean node',
            (watched_bytes_per_s + other_bytes_per_s) / _KILOBYTE,
            3,
            'KB/s',
        ),
    ]


def _proxy_figures(size: Size, slopes: Slopes) -> list[Figure]:
    statements = size.statements_per_s / size.nodes
    callers = size.connections / size.nodes
    proxy = slopes.proxy
    feed = slopes.messages['FeedUpdate']
    feed_us = feed.encode_us * size.proxies_per_node
    feed_cpu = 4 * size.groups_served * feed_us * _SECONDS_PER_MICROSECOND
    memory = callers * proxy.bytes_per_caller / _MEGABYTE
    return [
        Figure('statements of a node', statements, None, '/s'),
        Figure(
            'cores for them',
            statements * proxy.cpu_us_per_read * _SECONDS_PER_MICROSECOND,
            None,
            'cores',
        ),
        Figure('callers of a node', callers, None, 'connections'),
        Figure('memory for them', memory, None, 'MB'),
        Figure(
            "feeding the node's proxies, all groups",
            100 * feed_cpu,
            1.8,
            '% of a core',
        ),
    ]


def _store_figures(size: Size, slopes: Slopes) -> list[Figure]:
    changes = size.changes_per_day / _DAY_S
    starts = size.restarts_per_day * size.groups_served / _DAY_S
    settings = slopes.relay.store_reads_per_s
    return [
        Figure(
            'store writes for settings',
            changes * size.store_writes_per_change,
            300,
            '/s',
        ),
        Figure('store reads for settings', settings, 2000, '/s'),
        Figure('store reads for restarts', starts, 2000, '/s'),
    ]
