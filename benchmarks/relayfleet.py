"""Relays of a whole fleet in one process, in simulated time.

Only the relays' own decisions run; messages and the store's answers are put
off by the delays of the places, and can be cut, lost, slow or stale.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, final

from catkincrank.activesettings import settings_key
from catkincrank.envelope import encode_message
from catkincrank.relay import Relay
from catkincrank.relayactions import ApplySubtree, ReadIndex, ReadTeam, Send
from catkincrank.relayroster import RelayPeer
from catkincrank.settingsindex import (
    INDEX_KEY,
    IndexEntry,
    decode_index,
    encode_index,
)
from catkincrank.settingsmessages import SettingsEntry, SettingsPush
from catkincrank.store import Row

__all__ = ('Fleet', 'Faults', 'Table')

_TICK_S = 0.5
_KEPT_ENTRIES = 48
_FRAME_BYTES = 84
_HTTP_BYTES = 500
_ZONE_DELAY_S = 0.0005
_REGION_DELAY_S = 0.02
_STORE_DELAY_S = 0.01
_STORE_TIMEOUT_S = 2.0
_BODY_BYTES = 600


@final
class Table:
    """Rows of the platform's service, each with its older versions."""

    def __init__(self) -> None:
        self.rows: dict[str, list[Row]] = {}
        self.reads = 0

    def read(self, key: str, stale_by: int = 0) -> Row | None:
        """Return a row as it was ``stale_by`` versions ago."""
        self.reads += 1
        versions = self.rows.get(key, [])
        shown = versions[: len(versions) - stale_by]
        return shown[-1] if shown else None

    def write(self, key: str, body: bytes) -> Row:
        """Write a row."""
        versions = self.rows.setdefault(key, [])
        version = len(versions) + 1
        row = Row(key, version, body, '{0}@{1}'.format(key, version))
        versions.append(row)
        return row

    def announce(self, team: str, version: int) -> int:
        """Add an index entry and return its number."""
        found = self.rows.get(INDEX_KEY, [])
        entries = decode_index(found[-1]) if found else ()
        number = len(found) + 1
        kept = (*entries, IndexEntry(number, team, version))[-_KEPT_ENTRIES:]
        self.write(INDEX_KEY, encode_index(kept))
        return number


@final
@dataclass(slots=True)
class Faults:
    """What is broken at the moment.

    Attributes:
        dead: Nodes that neither send nor receive.
        cut_zones: Zones that reach no other zone.
        store_is_down: Whether the store refuses every call.
        store_delay_s: How long an answer of the store takes.
        stale_by: How many versions the store's reads lag.
    """

    dead: set[str] = field(default_factory=set)
    cut_zones: set[str] = field(default_factory=set)
    store_is_down: bool = False
    store_delay_s: float = _STORE_DELAY_S
    stale_by: int = 0


@final
class Fleet:
    """Nodes, the store and the time.

    Args:
        zones: Number of nodes of each zone.
        seed: Seed of every random choice.
    """

    def __init__(self, zones: dict[str, int], seed: int = 0) -> None:
        self.now: float = 0
        self.table = Table()
        self.faults = Faults()
        self.random = random.Random(seed)
        self.peers = tuple(
            RelayPeer('{0}-{1}'.format(zone, number), zone)
            for zone, count in zones.items()
            for number in range(count)
        )
        self.zone_of = {peer.name: peer.zone for peer in self.peers}
        self.relays: dict[str, Relay] = {}
        self.served: dict[str, tuple[str, ...]] = {}
        self.in_force: dict[tuple[str, str], list[tuple[float, int]]] = {}
        self.sent_bytes: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def start(self, name: str, teams: tuple[str, ...]) -> None:
        """Start a node, or start it anew with nothing known."""
        peer = RelayPeer(name, self.zone_of[name])
        relay = Relay(peer, random.Random(self.random.random()))
        relay.roster.replace(self.peers)
        relay.state.serve_teams(teams, self.now)
        is_first = name not in self.served
        self.relays[name] = relay
        self.served[name] = teams
        for key in self.in_force:
            if key[0] == name:
                self.in_force[key] = []
        if is_first:
            self._later(self.random.random() * _TICK_S, self._tick, name)

    def accept(self, team: str, weight: int = 1) -> Row:
        """Have the store accept a change of ``team``."""
        version = len(self.table.rows.get(settings_key(team), ())) + 1
        self.table.announce(team, version)
        return self.table.write(settings_key(team), _make_body(weight))

    def push_from_writer(self, row: Row, team: str, node: str) -> None:
        """Have the writer of the newest change tell ``node`` of it."""
        entry = SettingsEntry(0, team, row.version, is_accepted=True)
        push = SettingsPush(entry, row.body, row.change_id, crosses_zones=True)
        self._later(_ZONE_DELAY_S, self._receive, 'writer', node, push)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            due = heapq.heappop(self._queue)
            self.now = due[0]
            due[-1]()
        self.now = end

    def versions(self, team: str) -> dict[str, int]:
        """Return the version in force at each node that serves ``team``."""
        return {
            name: self.version_at(name, team)
            for name, teams in self.served.items()
            if team in teams
        }

    def version_at(self, name: str, team: str) -> int:
        """Return the version in force at a node; 0 for none."""
        held = self.in_force.get((name, team), [])
        return held[-1][1] if held else 0

    def _tick(self, name: str) -> None:
        self._later(_TICK_S, self._tick, name)
        if name not in self.faults.dead:
            self._act(name, self.relays[name].tick(self.now))

    def _act(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(name, action)
                case ApplySubtree():
                    held = self.in_force.setdefault((name, action.team), [])
                    held.append((self.now, action.row.version))
                case ReadIndex():
                    self._read(name, INDEX_KEY, action.asked_at)
                case ReadTeam():
                    self._read(name, settings_key(action.team), action.team)

    def _send(self, name: str, send: Send) -> None:
        size = len(encode_message(send.message)) + _FRAME_BYTES
        self.sent_bytes[name] += size
        self.messages[type(send.message).__name__] += 1
        zones = {self.zone_of[name], self.zone_of[send.peer]}
        if len(zones) > 1 and zones & self.faults.cut_zones:
            return
        delay = _REGION_DELAY_S if len(zones) > 1 else _ZONE_DELAY_S
        self.received_bytes[send.peer] += size
        self._later(delay, self._receive, name, send.peer, send.message)

    def _receive(self, sender: str, name: str, message: Any) -> None:
        if name in self.faults.dead:
            return
        relay = self.relays[name]
        self._act(name, relay.on_message(sender, message, self.now))

    def _read(self, name: str, key: str, context: Any) -> None:
        if self.faults.store_is_down:
            self._later(_STORE_TIMEOUT_S, self._fail_read, name)
            return
        row = self.table.read(key, self.faults.stale_by)
        self.received_bytes[name] += _HTTP_BYTES + _size(row)
        delay = self.faults.store_delay_s
        self._later(delay, self._answer, name, self.relays[name], row, context)

    def _fail_read(self, name: str) -> None:
        if name not in self.faults.dead:
            relay = self.relays[name]
            self._act(name, relay.on_store_failure(self.now))

    def _answer(
        self,
        name: str,
        relay: Relay,
        row: Row | None,
        context: Any,
    ) -> None:
        if name in self.faults.dead or self.relays[name] is not relay:
            return
        if isinstance(context, str):
            self._act(name, relay.on_row(context, row, self.now))
        else:
            self._act(name, relay.on_index(context, row, self.now))

    def _later(
        self,
        delay_s: float,
        function: Callable[..., None],
        *args: Any,
    ) -> None:
        entry = (
            self.now + delay_s,
            next(self._numbers),
            lambda: function(*args),
        )
        heapq.heappush(self._queue, entry)


def _make_body(weight: int) -> bytes:
    padding = b' ' * _BODY_BYTES
    return b''.join((b'{"weight":', str(weight).encode(), padding, b'}'))


def _size(row: Row | None) -> int:
    return 0 if row is None else len(row.body)
