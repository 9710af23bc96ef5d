"""Duty moves and probe traffic of a large fleet, without I/O.

Runs the product's duty code for a sample of the buckets over a day of faults
at the size that the project is designed for, and prints one JSON object.
"""

import argparse
import json
import random
import statistics
import sys
import time
from collections import Counter

from catkincrank.duty import WATCHER_COUNT, Duty, choose_duty, find_bucket
from catkincrank.duty import rank_keepers as rank
from catkincrank.envelope import encode_message
from catkincrank.membership import PeerAddress, PeerState, PeerStatus
from catkincrank.messages import Probe

_NODES = 2100
_GROUPS = 14000
_ZONES = 23
_REGIONS = 7
_BUCKETS = 1024
_SAMPLE = 256
_DAY_S = 86400
_RESTARTS = 1900
_RESTART_S = (10.0, 90.0)
_FAILURES = 55
_PROBE = Probe('vm0001', 'zone1', '127.0.0.1', 7432, 1234)
_HEADERS_BYTES = 66
_PROBE_BYTES = len(encode_message(_PROBE)) + 4 + 2 * _HEADERS_BYTES
_PROBE_INTERVAL_S = 2.0
_SILENCE_S = 6.0
_HOLD_DOWN_S = 180.0
_SHORT_HOLD_DOWN_S = 3.0


def main() -> None:
    """Run every scenario and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    fleet = Fleet(seed)
    figures = {
        'nodes': _NODES,
        'groups': _GROUPS,
        'sampled_buckets': _SAMPLE,
        **fleet.measure_spread(),
        'restarts_day': fleet.measure_day(_RESTARTS, random.Random(seed)),
        'failures_day': fleet.measure_losses(_FAILURES, random.Random(seed)),
        'zone_loss': fleet.measure_zone(0),
        'region_cut_3_min': fleet.measure_region(0),
    }
    sys.stdout.write('{0}\n'.format(json.dumps(figures, indent=2)))


class Fleet:
    """Keepers, what is believed of them, and the duties that follow."""

    def __init__(self, seed: int) -> None:
        self.addresses = {
            'vm{0:04}'.format(number): PeerAddress(
                'vm{0:04}'.format(number),
                'zone{0}'.format(number % _ZONES),
                '127.0.0.1',
                7432,
            )
            for number in range(_NODES)
        }
        self.statuses = {
            name: PeerStatus(address, PeerState.ALIVE, '', 0)
            for name, address in self.addresses.items()
        }
        began = time.process_time()
        self.rankings = {
            bucket: rank(bucket, self.addresses) for bucket in range(_SAMPLE)
        }
        spent_s = time.process_time() - began
        self.rank_s = spent_s / _SAMPLE
        groups = ['team{0}/db'.format(number) for number in range(_GROUPS)]
        self.sizes = Counter(map(find_bucket, groups))

    def choose(self, now: float) -> dict[int, Duty]:
        """Return the duty of each sampled bucket."""
        return {
            bucket: choose_duty(ranking, self.statuses, now)
            for bucket, ranking in self.rankings.items()
        }

    def measure_spread(self) -> dict:
        """Return how even duties are, and what probing them costs."""
        rankings = {
            bucket: rank(bucket, self.addresses) for bucket in range(_BUCKETS)
        }
        duties = {
            bucket: choose_duty(ranking, self.statuses, 0)
            for bucket, ranking in rankings.items()
        }
        groups = dict.fromkeys(self.addresses, 0)
        partners = {name: set() for name in self.addresses}
        for bucket, duty in duties.items():
            for name in duty.keepers:
                groups[name] += self.sizes[bucket]
            names = {*duty.keepers, *duty.standbys}
            for name in names:
                partners[name] |= names - {name}
        counts = sorted(groups.values())
        peers = sorted(map(len, partners.values()))
        return {
            'groups_per_node': summarise(counts),
            'partners_per_node': summarise(peers),
            'probe_bytes_per_s': summarise(
                [
                    round(2 * _PROBE_BYTES * count / _PROBE_INTERVAL_S)
                    for count in peers
                ],
            ),
            'rank_one_bucket_s': round(self.rank_s, 6),
        }

    def measure_day(self, restarts: int, chance: random.Random) -> dict:
        """Restart nodes over a day, each for a short while."""
        return self._play(
            [
                (at, at + chance.uniform(*_RESTART_S), (name,))
                for at, name in self._pick(restarts, chance)
            ],
        )

    def measure_losses(self, failures: int, chance: random.Random) -> dict:
        """Lose nodes for an hour each."""
        return self._play(
            [
                (at, at + 3600, (name,))
                for at, name in self._pick(failures, chance)
            ],
        )

    def measure_zone(self, zone: int) -> dict:
        """Lose one availability zone for an hour."""
        lost = tuple(
            name
            for name, address in self.addresses.items()
            if address.zone == 'zone{0}'.format(zone)
        )
        return self._play([(1000, 4600, lost)])

    def measure_region(self, region: int) -> dict:
        """Cut one region off for three minutes, as the others see it."""
        lost = tuple(
            name
            for name, address in self.addresses.items()
            if int(address.zone.removeprefix('zone')) % _REGIONS == region
        )
        return self._play([(1000, 1180, lost)])

    def _pick(
        self,
        count: int,
        chance: random.Random,
    ) -> list[tuple[float, str]]:
        names = sorted(self.addresses)
        return [
            (chance.uniform(0, _DAY_S), chance.choice(names))
            for _ in range(count)
        ]

    def _play(
        self,
        outages: list[tuple[float, float, tuple[str, ...]]],
    ) -> dict:
        """Go through outages; only buckets that a change touches are redone."""
        held = self.choose(0)
        events = []
        for begin, end, names in outages:
            noticed = begin + _SILENCE_S
            events.append((noticed, 0, names))
            events.append((noticed + _SHORT_HOLD_DOWN_S + 1, 2, names))
            events.append((noticed + _HOLD_DOWN_S + 1, 2, names))
            events.append((end, 1, names))
        moves, most, least_live = 0, 0, WATCHER_COUNT
        for now, kind, names in sorted(events):
            self._mark(now, kind, names)
            touched = 0
            for bucket in self._list_touched(names):
                duty = choose_duty(
                    self.rankings[bucket],
                    self.statuses,
                    now,
                )
                touched += len(set(duty.keepers) - set(held[bucket].keepers))
                held[bucket] = duty
                least_live = min(least_live, self._count_live(duty))
            moves += touched
            most = max(most, touched)
        for name, address in self.addresses.items():
            self.statuses[name] = PeerStatus(address, PeerState.ALIVE, '', 0)
        scale = _BUCKETS / _SAMPLE
        per_bucket = _GROUPS / _BUCKETS
        return {
            'bucket_moves': round(moves * scale),
            'group_moves': round(moves * scale * per_bucket),
            'most_group_moves_at_once': round(most * scale * per_bucket),
            'group_moves_per_node': round(
                moves * scale * per_bucket / _NODES,
                2,
            ),
            'least_live_watchers': least_live,
        }

    def _mark(self, now: float, kind: int, names: tuple[str, ...]) -> None:
        state = {0: PeerState.SILENT, 1: PeerState.ALIVE}.get(kind)
        if state is None:
            return
        for name in names:
            self.statuses[name] = PeerStatus(
                self.addresses[name], state, '', now
            )

    def _list_touched(self, names: tuple[str, ...]) -> list[int]:
        wanted = set(names)
        return [
            bucket
            for bucket, ranking in self.rankings.items()
            if wanted.intersection(ranking[: 4 * WATCHER_COUNT])
        ]

    def _count_live(self, duty: Duty) -> int:
        return sum(
            self.statuses[name].state is PeerState.ALIVE
            for name in duty.keepers
        )


def summarise(counts: list[int]) -> dict:
    """Return mean, 99th percentile and maximum."""
    ordered = sorted(counts)
    return {
        'mean': round(statistics.fmean(ordered), 1),
        'p99': ordered[int(len(ordered) * 0.99)],
        'max': ordered[-1],
    }


if __name__ == '__main__':
    main()
