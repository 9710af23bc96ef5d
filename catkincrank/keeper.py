"""The keeper: watches endpoints, updates proxies and replaces primaries."""

import uuid
from typing import final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from loguru import logger

from catkincrank import endpoints  # noqa: F401
from catkincrank.dispatcher import Dispatcher, Peer
from catkincrank.feed import Feed
from catkincrank.feedserver import FeedServer
from catkincrank.fleet import Fleet
from catkincrank.instance import Observation
from catkincrank.journal import Journal
from catkincrank.keeperoptions import KeeperOptions
from catkincrank.links import Link, listen
from catkincrank.logs import EventRecorder
from catkincrank.membership import PeerAddress
from catkincrank.messages import Hello, SuspicionReport
from catkincrank.peerlinks import PeerLinks
from catkincrank.settings import Service, Team
from catkincrank.supervisor import Supervisor
from catkincrank.termclaims import TermClaims
from catkincrank.upstreams import Upstreams
from catkincrank.watch import WatchListener
from catkincrank.watches import WatchSet

__all__ = ('Keeper', 'KeeperOptions', 'PeerAddress', 'serve')

_ROLE = 'keeper'
_INCARNATION_CHARS = 8


@final
class Keeper(WatchListener):
    """State of one keeper.

    Args:
        options: Its options.
        port: TCP port that it listens on.
        tasks: Task group in which its tasks run.

    Attributes:
        dispatcher: Handlers of messages from other processes, by type.
        feed: Newest observations of the groups.
        fleet: The other keepers and the duties shared with them.
        journal: Records its decisions.
        incarnation: Random identifier of this run of the process.
        links: Sends messages to other keepers.
        publisher: Serves the processes that connect to this keeper.
        supervisor: Decides when and how primaries are replaced.
        watches: Connections to the instances of the watched groups.
    """

    def __init__(
        self,
        options: KeeperOptions,
        port: int,
        tasks: TaskGroup,
    ) -> None:
        self.options = options
        self.port = port
        self.incarnation = uuid.uuid4().hex
        self.dispatcher = Dispatcher()
        self.feed = Feed()
        self.journal = Journal(options.name)
        hello = Hello(options.name, options.zone, _ROLE, self.incarnation)
        recorder = EventRecorder(self.journal)
        self.links = PeerLinks(hello, self.dispatcher, tasks)
        self.watches = WatchSet(options.name, options.zone, self, tasks)
        self.fleet = Fleet(
            PeerAddress(options.name, options.zone, options.host, port),
            options.store,
            self.links,
            recorder,
            self._apply_duties,
        )
        self.supervisor = Supervisor(
            self.watches,
            TermClaims(options.store),
            recorder,
            tasks,
            self.fleet.notify_watchers,
            keeper='{0}.{1}'.format(
                options.name,
                self.incarnation[:_INCARNATION_CHARS],
            ),
            zone=options.zone,
        )
        self._upstreams = Upstreams(hello, self.feed, tasks)
        self._services: dict[str, Service] = {}
        self.publisher = FeedServer(
            self.feed,
            self.incarnation,
            self.dispatcher,
            self.watches.groups,
            self._expedite,
        )
        self._register()

    def apply_team(self, name: str, team: Team | None) -> None:
        """Apply a team's subtree of the settings; ``None`` removes the team."""
        wanted = _list_groups(name, team)
        prefix = '{0}/'.format(name)
        for group in tuple(self._services):
            if group.startswith(prefix) and group not in wanted:
                self._services.pop(group)
                self._stop_watching(group)
                self._upstreams.drop_group(group)
        for group, service in wanted.items():
            self._services[group] = service
            self.feed.set_members(
                group,
                (endpoint.name for endpoint in service.endpoints),
            )
        self.fleet.replace_groups(self._services)
        self._apply_duties()

    def list_groups(self) -> list[str]:
        """Return the groups of the applied teams."""
        return sorted(self._services)

    def on_probe(self, group: str, endpoint: str) -> None:
        """Handle the start of a status probe."""
        self.supervisor.record_probe(group, endpoint)

    def on_status(self, group: str, observation: Observation) -> None:
        """Handle a status that an instance returned."""
        self.supervisor.record_answer(group, observation)
        self.feed.record(group, observation)

    def on_failure(self, group: str, endpoint: str, reason: str) -> None:
        """Handle a status probe that failed."""
        self.supervisor.record_failure(group, endpoint, reason)
        logger.bind(
            event='status_unread',
            group=group,
            endpoint=endpoint,
            cause=reason,
        ).info('an instance did not answer')

    def _register(self) -> None:
        self.dispatcher.handle(SuspicionReport)(self._on_report)
        self.fleet.register(self.dispatcher)
        self.fleet.set_peers(self.options.peers)

    def _expedite(self, group: str) -> None:
        self.watches.expedite(group)
        self._upstreams.expedite(group)

    async def _on_report(self, _peer: Peer, report: SuspicionReport) -> None:
        self.supervisor.record_report(report)
        self.watches.expedite(report.group)

    def _apply_duties(self) -> None:
        """Watch the groups that it is on duty for; subscribe to the others."""
        for group, service in self._services.items():
            rank = self.fleet.find_rank(group)
            if rank is None:
                self._stop_watching(group)
                watchers = self.fleet.list_watchers(group)
                self._upstreams.set_group(group, watchers)
            else:
                self._upstreams.drop_group(group)
                self.watches.set_group(group, service)
                self.supervisor.set_group(group, service, rank)

    def _stop_watching(self, group: str) -> None:
        self.supervisor.drop_group(group)
        self.watches.drop_group(group)


async def serve(
    options: KeeperOptions,
    *,
    task_status: TaskStatus[Keeper] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run a keeper until cancelled; pass it to ``task_status``."""
    async with anyio.create_task_group() as tasks:
        opened: list[Keeper] = []

        async def handle_link(link: Link) -> None:  # noqa: WPS430
            await opened[0].publisher.handle_link(link)

        port = await tasks.start(
            listen,
            options.host,
            options.port,
            handle_link,
            options.name,
        )
        keeper = Keeper(options, port, tasks)
        opened.append(keeper)
        for name, team in options.teams.items():
            keeper.apply_team(name, team)
        tasks.start_soon(keeper.supervisor.run)
        tasks.start_soon(keeper.fleet.run)
        for extension in options.extensions:
            tasks.start_soon(extension, keeper)
        logger.bind(event='keeper_started', port=keeper.port).info(
            'keeper listens',
        )
        task_status.started(keeper)


def _list_groups(name: str, team: Team | None) -> dict[str, Service]:
    if team is None:
        return {}
    return {
        '{0}/{1}'.format(name, service_name): service
        for service_name, service in team.services.items()
    }
