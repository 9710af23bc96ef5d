"""Runs a relay in a keeper, on its store, links and clock."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, final

import anyio
from anyio.abc import TaskGroup

from catkincrank.activesettings import (
    SETTINGS_PREFIX,
    settings_key,
    team_of_key,
)
from catkincrank.dispatcher import Peer
from catkincrank.errors import StoreUnavailableError
from catkincrank.journal import Event
from catkincrank.keeper import Keeper
from catkincrank.links import Link, LinkClosedError
from catkincrank.logs import EventRecorder
from catkincrank.membership import PeerState
from catkincrank.relay import Relay
from catkincrank.relayactions import (
    Action,
    ApplySubtree,
    ReadIndex,
    ReadTeam,
    Send,
)
from catkincrank.relayroster import RelayPeer
from catkincrank.settingsindex import INDEX_KEY
from catkincrank.settingsmessages import (
    SettingsDelta,
    SettingsDigest,
    SettingsPush,
    SettingsRequest,
    SettingsUpdate,
)
from catkincrank.settingsreport import SettingsReport, make_report
from catkincrank.store import Row, Store

__all__ = ('ALL_TEAMS', 'RelayService', 'Subscriber')

ALL_TEAMS = '*'

_TICK_S = 0.25
_PEERS_INTERVAL_S = 1.0
_LIST_RETRY_S = 1.0
_SILENCE_LIMIT_S = 15.0
_LIVE_STATES = frozenset((PeerState.LISTED, PeerState.ALIVE))
_PROXY = 'proxy'


@final
@dataclass(frozen=True, slots=True)
class Subscriber:
    """A proxy that receives settings from this keeper.

    Attributes:
        teams: Teams that it serves.
        last_request_at: Time of its last request; proxies send one every few
            seconds.
    """

    teams: tuple[str, ...]
    last_request_at: float


@final
class RelayService:
    """Distributes settings to other keepers and to subscribed proxies.

    Args:
        keeper: The keeper.
        teams: Teams to serve whether or not a proxy requests them; ``*``
            stands for every team in the store.
        tasks: Runs store reads and sends.
    """

    def __init__(
        self,
        keeper: Keeper,
        teams: tuple[str, ...],
        tasks: TaskGroup,
    ) -> None:
        options = keeper.options
        self._keeper = keeper
        self._tasks = tasks
        self._teams = teams
        self._store: Store | None = options.store
        self._recorder = EventRecorder(keeper.journal)
        self._peers: frozenset[RelayPeer] = frozenset()
        self._peers_due_at = float('-inf')
        self._subscribers: dict[Link, Subscriber] = {}
        self.relay = Relay(
            RelayPeer(options.name, options.zone),
            random.Random(keeper.incarnation),
        )
        self._listed_teams: tuple[str, ...] = ()
        self.relay.serves_all = ALL_TEAMS in teams
        self._register()
        self._update_served_teams()

    def report(self) -> SettingsReport:
        """Return the versions in force and the age of the settings."""
        state = self.relay.state
        return make_report(
            state.active_settings,
            anyio.current_time(),
            state.list_unknown(),
            self.relay.sequence,
            self.relay.roster.readers,
        )

    async def run(self) -> None:
        """Run the relay until cancelled."""
        if self.relay.serves_all:
            self._tasks.start_soon(self._list_teams)
        while True:
            self._update_peers()
            self._drop_silent_subscribers()
            self._run_actions(self.relay.tick(anyio.current_time()))
            await anyio.sleep(_TICK_S)

    def publish(self, message: Any) -> None:
        """Send ``message`` to every subscribed proxy."""
        for link in tuple(self._subscribers):
            self._tasks.start_soon(self._send_to_subscriber, link, message)

    def _update_peers(self) -> None:
        now = anyio.current_time()
        if now < self._peers_due_at:
            return
        self._peers_due_at = now + _PEERS_INTERVAL_S
        peers = frozenset(
            RelayPeer(peer_status.address.name, peer_status.address.zone)
            for peer_status in self._keeper.fleet.membership.statuses.values()
            if peer_status.state in _LIVE_STATES
        )
        if peers != self._peers:
            self._peers = peers
            self.relay.roster.replace(sorted(peers, key=_get_name))

    def _drop_silent_subscribers(self) -> None:
        oldest = anyio.current_time() - _SILENCE_LIMIT_S
        silent = [
            link
            for link, subscriber in self._subscribers.items()
            if subscriber.last_request_at < oldest
        ]
        for link in silent:
            self._subscribers.pop(link)

    def _register(self) -> None:
        handle = self._keeper.dispatcher.handle
        handle(SettingsRequest)(self._on_request)
        handle(SettingsDigest)(self._on_digest)
        for kind in (SettingsDelta, SettingsPush, SettingsUpdate):
            handle(kind)(self._on_message)

    async def _on_request(self, peer: Peer, request: SettingsRequest) -> None:
        if peer.hello.role == _PROXY:
            teams = tuple(known.team for known in request.known)
            self._subscribers[peer.link] = Subscriber(
                teams,
                anyio.current_time(),
            )
            self._update_served_teams()
            for update in self.relay.state.answer(request):
                if update.body:
                    await peer.link.send(update)  # noqa: WPS476
            return
        await self._on_message(peer, request)

    async def _on_digest(self, peer: Peer, digest: SettingsDigest) -> None:
        if peer.hello.role != _PROXY:
            await self._on_message(peer, digest)
            return
        age = self.report().age_s
        await peer.link.send(
            SettingsDelta(
                self.relay.sequence,
                0,
                digest.stamp,
                -1 if age is None else age,
            ),
        )

    async def _on_message(self, peer: Peer, message: Any) -> None:
        name = peer.hello.name
        now = anyio.current_time()
        for action in self.relay.on_message(name, message, now):
            if isinstance(action, Send) and action.peer == name:
                await peer.link.send(action.message)  # noqa: WPS476
            else:
                self._run_actions([action])

    def _run_actions(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._keeper.links.send(action.peer, action.message)
                case ApplySubtree():
                    self._apply_subtree(action)
                case ReadIndex():
                    self._tasks.start_soon(
                        self._read,
                        INDEX_KEY,
                        partial(self.relay.on_index, action.asked_at),
                    )
                case ReadTeam():
                    self._tasks.start_soon(
                        self._read,
                        settings_key(action.team),
                        partial(self.relay.on_row, action.team),
                    )

    async def _list_teams(self) -> None:
        """List the store's teams, with retries until it has answered once.

        Teams created later appear in the index.
        """
        while self._store is not None:
            try:
                rows = await self._store.scan(SETTINGS_PREFIX)
            except StoreUnavailableError:
                await anyio.sleep(_LIST_RETRY_S)
            else:
                self._listed_teams = tuple(team_of_key(row.key) for row in rows)
                self._update_served_teams()
                return

    async def _read(
        self,
        key: str,
        on_answer: Callable[[Row | None, float], list[Action]],
    ) -> None:
        if self._store is None:
            return
        try:
            row = await self._store.read(key)
        except StoreUnavailableError:
            self._run_actions(self.relay.on_store_failure(anyio.current_time()))
        else:
            self._run_actions(on_answer(row, anyio.current_time()))

    def _apply_subtree(self, action: ApplySubtree) -> None:
        row = action.row
        team = self.relay.state.active_settings.team(action.team)
        self._keeper.apply_team(action.team, team)
        self._recorder.record(
            Event(
                'settings_in_force',
                action.team,
                'received from {0}'.format(action.source),
                'version {0}'.format(row.version),
                {'change_id': row.change_id},
            ),
        )
        update = SettingsUpdate(
            action.team,
            row.version,
            row.body,
            row.change_id,
        )
        for link, subscriber in tuple(self._subscribers.items()):
            if action.team in subscriber.teams:
                self._tasks.start_soon(self._send_to_subscriber, link, update)

    async def _send_to_subscriber(self, link: Link, message: Any) -> None:
        try:
            await link.send(message)
        except LinkClosedError:
            self._subscribers.pop(link, None)

    def _update_served_teams(self) -> None:
        wanted = {*self._teams, *self._listed_teams} - {ALL_TEAMS}
        for subscriber in self._subscribers.values():
            wanted.update(subscriber.teams)
        now = anyio.current_time()
        if self.relay.serves_all:
            self.relay.state.add_served_teams(wanted, now)
        else:
            self.relay.state.serve_teams(wanted, now)


def _get_name(peer: RelayPeer) -> str:
    return peer.name
