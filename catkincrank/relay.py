"""Spread of settings between keepers: messages and answers in, actions out.

Two nodes of each zone read the store's index every two seconds. What is new
they read once and push down a tree of the zone's nodes, another tree for each
change. Every node exchanges its sequence number with a random peer every few
seconds and so learns what a dead relay kept from it. A node that serves a
team fetches from peers or the store what it was told of and did not get.
"""

import random
from typing import Any, final

from catkincrank.activesettings import settings_key
from catkincrank.relayactions import Action, ReadIndex, Send
from catkincrank.relaypending import Want
from catkincrank.relayrequests import fetch_team, search_version
from catkincrank.relayroster import RelayPeer, Roster
from catkincrank.relaystate import RelayState
from catkincrank.relaywindow import ChangeSet
from catkincrank.settingsindex import decode_index
from catkincrank.settingsmessages import (
    SettingsDelta,
    SettingsDigest,
    SettingsEntry,
    SettingsPush,
    SettingsRequest,
    SettingsUpdate,
)
from catkincrank.store import Row

__all__ = ('Relay',)

_INDEX_INTERVAL_S = 2.0
_DIGEST_INTERVAL_S = 3.0
_JITTER = (0.8, 1.2)
_PUSH_PATIENCE_S = 0.5
_FETCHES_PER_TICK = 2
_UNSPREAD_AGE_S = 10.0
_STORE = 'store'


@final
class Relay:
    """Spreads settings on behalf of one node.

    Args:
        node: The node.
        source: Source of random choices.

    Attributes:
        knowledge: What the node knows.
        roster: Live nodes.
        serves_all: Whether it holds the subtree of every team it hears of.
    """

    def __init__(self, node: RelayPeer, source: random.Random) -> None:
        self.state = RelayState()
        self.roster = Roster(node, source)
        self.serves_all = False
        self._random = source
        self._index_due_at: float = 0
        self._digest_due_at: float = 0
        self._passed = ChangeSet()
        self._unspread: list[tuple[float, SettingsPush]] = []

    @property
    def sequence(self) -> int:
        """Number of the index entry up to which none is missing."""
        return self.state.window.sequence

    def tick(self, now: float) -> list[Action]:
        """Return what is due."""
        actions: list[Action] = []
        if self.roster.is_reader and now >= self._index_due_at:
            self._index_due_at = now + _vary(_INDEX_INTERVAL_S, self._random)
            actions.append(ReadIndex(now))
        if self.roster.has_peers and now >= self._digest_due_at:
            self._digest_due_at = now + _vary(_DIGEST_INTERVAL_S, self._random)
            digest = SettingsDigest(self.sequence, now)
            actions.append(Send(self.roster.choose_partner(), digest))
        for want in self.state.wants.take_due(now):
            actions.extend(search_version(want, self.roster))
        for load in self.state.loads.take_due(now, _FETCHES_PER_TICK):
            actions.extend(fetch_team(load.team, self.roster))
        return [*actions, *self._settle(now)]

    def on_index(
        self,
        asked_at: float,
        row: Row | None,
        now: float,
    ) -> list[Action]:
        """Take in the store's index; an older one than known is passed over."""
        version = 0 if row is None else row.version
        if version < self.sequence:
            return []
        entries = decode_index(row)
        if entries:
            self.state.skip_to(entries[0].sequence, now)
        for entry in entries:
            told = SettingsEntry(entry.sequence, entry.team, entry.version)
            self._learn(told, '', now)
        self.state.hear(asked_at)
        return self.tick(now)

    def on_row(
        self,
        team: str,
        row: Row | None,
        now: float,
    ) -> list[Action]:
        """Take in a team's row from the store."""
        self.state.loads.hear_store(team)
        actions = [] if row is None else self._take(row, _STORE, now)
        return [*actions, *self._settle(now)]

    def on_store_failure(self, now: float) -> list[Action]:
        """Send what other zones may not have read before the store failed."""
        recent = [
            push
            for read_at, push in self._unspread
            if now - read_at <= _UNSPREAD_AGE_S
        ]
        self._unspread.clear()
        return [
            Send(peer, push)
            for push in recent
            for peer in self.roster.start_crossing(push.change_id)
        ]

    def on_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> list[Action]:
        """Take in a message from a peer, or from a writer of settings."""
        match message:
            case SettingsPush():
                actions = self._on_push(sender, message, now)
            case SettingsDigest():
                actions = self._on_digest(sender, message, now)
            case SettingsDelta():
                actions = self._on_delta(sender, message, now)
            case SettingsRequest():
                actions = [
                    Send(sender, update)
                    for update in self.state.answer(message)
                ]
            case SettingsUpdate():
                actions = self._on_update(sender, message, now)
            case _:
                return []
        return [*actions, *self._settle(now)]

    def _on_push(
        self,
        sender: str,
        push: SettingsPush,
        now: float,
    ) -> list[Action]:
        entry = push.entry
        if not self._passed.add(push.change_id):
            return []
        if self.serves_all:
            self.state.serve_also((entry.team,), now)
        self.state.window.add(entry)
        row = Row(
            settings_key(entry.team),
            entry.version,
            push.body,
            push.change_id,
        )
        actions: list[Action] = list(self.state.take(row, sender).enforced)
        if not push.crosses_zones:
            targets = self.roster.pass_push(push.change_id)
            return [*actions, *(Send(peer, push) for peer in targets)]
        if self.roster.knows(sender):
            zones = self.roster.pass_crossing(push.change_id)
        else:
            zones = self.roster.start_crossing(push.change_id)
        actions.extend(Send(peer, push) for peer in zones)
        return [*actions, *self._spread(entry, row)]

    def _on_digest(
        self,
        sender: str,
        digest: SettingsDigest,
        now: float,
    ) -> list[Action]:
        delta = self.state.make_delta(digest, now)
        actions: list[Action] = [Send(sender, delta)]
        if digest.sequence > self.sequence:
            actions.append(Send(sender, SettingsDigest(self.sequence, now)))
        return actions

    def _on_delta(
        self,
        sender: str,
        delta: SettingsDelta,
        now: float,
    ) -> list[Action]:
        if delta.stamp > now:
            return []
        if delta.sequence > self.sequence:
            self.state.skip_to(delta.oldest, now)
        for entry in delta.entries:
            self._learn(entry, sender, now)
        if delta.age_s >= 0 and self.sequence >= delta.sequence:
            self.state.hear(delta.stamp - delta.age_s)
        return self.tick(now) if delta.entries else []

    def _on_update(
        self,
        sender: str,
        update: SettingsUpdate,
        now: float,
    ) -> list[Action]:
        self.state.loads.hear_peer(update.team)
        if not update.body:
            return []
        row = Row(
            settings_key(update.team),
            update.version,
            update.body,
            update.change_id,
        )
        return self._take(row, sender, now)

    def _learn(self, entry: SettingsEntry, hint: str, now: float) -> None:
        if self.serves_all:
            self.state.serve_also((entry.team,), now)
        if not self.state.learn(entry):
            return
        is_reader = self.roster.is_reader
        if not (is_reader or self.state.serves(entry.team)):
            return
        asks_now = is_reader or bool(hint)
        self.state.want(
            Want(
                entry.team,
                entry.version,
                entry.sequence,
                hint,
                now,
                now if asks_now else now + _PUSH_PATIENCE_S,
            ),
        )

    def _take(self, row: Row, source: str, now: float) -> list[Action]:
        taken = self.state.take(row, source)
        actions: list[Action] = list(taken.enforced)
        if taken.entry is not None and self.roster.is_reader:
            actions.extend(self._spread(taken.entry, row))
            if source == _STORE:
                self._remember(taken.entry, row, now)
        return actions

    def _spread(self, entry: SettingsEntry, row: Row) -> list[Action]:
        self._passed.add(row.change_id)
        push = SettingsPush(entry, row.body, row.change_id)
        targets = self.roster.start_push(row.change_id)
        return [Send(peer, push) for peer in targets]

    def _remember(self, entry: SettingsEntry, row: Row, now: float) -> None:
        push = SettingsPush(entry, row.body, row.change_id, crosses_zones=True)
        kept = [
            (read_at, other)
            for read_at, other in self._unspread
            if now - read_at <= _UNSPREAD_AGE_S
        ]
        self._unspread = [*kept, (now, push)]

    def _settle(self, now: float) -> list[Action]:
        has_peers = self.roster.has_peers
        return list(self.state.settle(now, has_peers=has_peers))


def _vary(interval_s: float, source: random.Random) -> float:
    return interval_s * source.uniform(*_JITTER)
