"""Distributes settings between keepers; does no I/O, returns actions.

Two readers per zone poll the store's index every two seconds. Each reads new
rows once and pushes them down a tree of the zone's nodes; every change has a
tree of its own. Every few seconds each node exchanges its sequence number
with a random peer (anti-entropy) and so recovers changes that a dead relay
did not pass on. A node that serves a team requests announced versions that
have not arrived from peers or the store.
"""

import random
from typing import Any, final

from catkincrank.activesettings import settings_key
from catkincrank.logs import log_event
from catkincrank.relayactions import Action, ReadIndex, Send
from catkincrank.relaypending import PendingVersion
from catkincrank.relayrequests import request_subtree, request_version
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
_JITTER_RANGE = (0.8, 1.2)
_PUSH_TIMEOUT_S = 0.5
_FETCHES_PER_TICK = 2
_RECENT_PUSH_AGE_S = 10.0
_STORE_SOURCE = 'store'


@final
class Relay:
    """Receives and passes on settings for one node.

    Args:
        node: The node.
        source: Source of random choices.

    Attributes:
        state: Settings and index entries that the node has received.
        roster: Live nodes.
        serves_all: Whether the node holds the subtree of every team that
            appears in an index entry or a push.
    """

    def __init__(self, node: RelayPeer, source: random.Random) -> None:
        self.state = RelayState()
        self.roster = Roster(node, source)
        self.serves_all = False
        self._random = source
        self._index_due_at: float = 0
        self._digest_due_at: float = 0
        self._seen_changes = ChangeSet()
        self._recent_pushes: list[tuple[float, SettingsPush]] = []

    @property
    def sequence(self) -> int:
        """Sequence number up to which no index entry is missing."""
        return self.state.window.sequence

    def tick(self, now: float) -> list[Action]:
        """Return the periodic actions and retries that are due."""
        actions: list[Action] = []
        if self.roster.is_reader and now >= self._index_due_at:
            self._index_due_at = now + _add_jitter(
                _INDEX_INTERVAL_S, self._random
            )
            actions.append(ReadIndex(now))
        if self.roster.has_peers and now >= self._digest_due_at:
            self._digest_due_at = now + _add_jitter(
                _DIGEST_INTERVAL_S, self._random
            )
            digest = SettingsDigest(self.sequence, now)
            actions.append(Send(self.roster.choose_partner(), digest))
        for pending in self.state.pending_versions.schedule_due(now):
            actions.extend(request_version(pending, self.roster))
        for fetch in self.state.fetches.schedule_due(now, _FETCHES_PER_TICK):
            actions.extend(request_subtree(fetch.team, self.roster))
        return [*actions, *self._finish_fetches(now)]

    def on_index(
        self,
        asked_at: float,
        row: Row | None,
        now: float,
    ) -> list[Action]:
        """Process the index read from the store; ignore an outdated one."""
        version = 0 if row is None else row.version
        if version < self.sequence:
            return []
        try:
            entries = decode_index(row)
        except ValueError as error:
            log_event(
                'settings_index_unreadable',
                'ERROR',
                version=version,
                cause=str(error),
            )
            return self.on_store_failure(now)
        if entries:
            self.state.refetch_after_gap(entries[0].sequence, now)
        for entry in entries:
            announced = SettingsEntry(entry.sequence, entry.team, entry.version)
            self._record_entry(announced, '', now)
        self.state.mark_complete(asked_at)
        return self.tick(now)

    def on_row(
        self,
        team: str,
        row: Row | None,
        now: float,
    ) -> list[Action]:
        """Process a team's row read from the store."""
        self.state.fetches.record_store_answer(team)
        actions = (
            [] if row is None else self._accept_row(row, _STORE_SOURCE, now)
        )
        return [*actions, *self._finish_fetches(now)]

    def on_store_failure(self, now: float) -> list[Action]:
        """Push recent changes to other zones, which may not have read them."""
        recent = [
            push
            for read_at, push in self._recent_pushes
            if now - read_at <= _RECENT_PUSH_AGE_S
        ]
        self._recent_pushes.clear()
        return [
            Send(peer, push)
            for push in recent
            for peer in self.roster.first_zone_targets(push.change_id)
        ]

    def on_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> list[Action]:
        """Process a message from a peer or from a writer of settings."""
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
        return [*actions, *self._finish_fetches(now)]

    def _on_push(
        self,
        sender: str,
        push: SettingsPush,
        now: float,
    ) -> list[Action]:
        entry = push.entry
        if not self._seen_changes.add(push.change_id):
            return []
        if self.serves_all:
            self.state.add_served_teams((entry.team,), now)
        self.state.window.add(entry)
        row = Row(
            settings_key(entry.team),
            entry.version,
            push.body,
            push.change_id,
        )
        actions: list[Action] = list(self.state.accept_row(row, sender).applied)
        if not push.crosses_zones:
            targets = self.roster.next_push_targets(push.change_id)
            return [*actions, *(Send(peer, push) for peer in targets)]
        if self.roster.contains(sender):
            zones = self.roster.next_zone_targets(push.change_id)
        else:
            zones = self.roster.first_zone_targets(push.change_id)
        actions.extend(Send(peer, push) for peer in zones)
        return [*actions, *self._push_to_zone(entry, row)]

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
            self.state.refetch_after_gap(delta.oldest, now)
        for entry in delta.entries:
            self._record_entry(entry, sender, now)
        if delta.age_s >= 0 and self.sequence >= delta.sequence:
            self.state.mark_complete(delta.stamp - delta.age_s)
        return self.tick(now) if delta.entries else []

    def _on_update(
        self,
        sender: str,
        update: SettingsUpdate,
        now: float,
    ) -> list[Action]:
        self.state.fetches.record_peer_answer(update.team)
        if not update.body:
            return []
        row = Row(
            settings_key(update.team),
            update.version,
            update.body,
            update.change_id,
        )
        return self._accept_row(row, sender, now)

    def _record_entry(
        self, entry: SettingsEntry, hint: str, now: float
    ) -> None:
        if self.serves_all:
            self.state.add_served_teams((entry.team,), now)
        if not self.state.record_entry(entry):
            return
        is_reader = self.roster.is_reader
        if not (is_reader or self.state.serves(entry.team)):
            return
        is_due_now = is_reader or bool(hint)
        self.state.await_version(
            PendingVersion(
                entry.team,
                entry.version,
                entry.sequence,
                hint,
                now,
                now if is_due_now else now + _PUSH_TIMEOUT_S,
            ),
        )

    def _accept_row(self, row: Row, source: str, now: float) -> list[Action]:
        result = self.state.accept_row(row, source)
        actions: list[Action] = list(result.applied)
        if result.entry is not None and self.roster.is_reader:
            actions.extend(self._push_to_zone(result.entry, row))
            if source == _STORE_SOURCE:
                self._keep_push(result.entry, row, now)
        return actions

    def _push_to_zone(self, entry: SettingsEntry, row: Row) -> list[Action]:
        self._seen_changes.add(row.change_id)
        push = SettingsPush(entry, row.body, row.change_id)
        targets = self.roster.first_push_targets(row.change_id)
        return [Send(peer, push) for peer in targets]

    def _keep_push(self, entry: SettingsEntry, row: Row, now: float) -> None:
        push = SettingsPush(entry, row.body, row.change_id, crosses_zones=True)
        kept = [
            (read_at, other)
            for read_at, other in self._recent_pushes
            if now - read_at <= _RECENT_PUSH_AGE_S
        ]
        self._recent_pushes = [*kept, (now, push)]

    def _finish_fetches(self, now: float) -> list[Action]:
        has_peers = self.roster.has_peers
        return list(self.state.finish_fetches(now, has_peers=has_peers))


def _add_jitter(interval_s: float, source: random.Random) -> float:
    return interval_s * source.uniform(*_JITTER_RANGE)
