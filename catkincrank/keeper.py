"""The keeper: watches endpoints, feeds proxies and replaces primaries."""

import contextlib
import uuid
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from loguru import logger

from catkincrank.dispatcher import Dispatcher, Peer
from catkincrank.errors import MessageError
from catkincrank.feed import Feed
from catkincrank.feedserver import Subscription
from catkincrank.instance import Observation
from catkincrank.journal import Journal
from catkincrank.links import Link, listen
from catkincrank.messages import FeedRequest, Hello
from catkincrank.settings import Service, Team
from catkincrank.store import Store
from catkincrank.watch import WatchListener
from catkincrank.watches import WatchSet

__all__ = ('Keeper', 'KeeperOptions', 'PeerAddress', 'serve')


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
@dataclass(frozen=True, slots=True)
class KeeperOptions:
    """What a keeper is told at its start.

    Attributes:
        name: Name of its VM.
        zone: Availability zone it runs in.
        host: IP number to listen on.
        port: TCP port to listen on; 0 takes a free one.
        store: The platform's service; ``None`` works without.
        teams: Subtrees known at the start, by team.
        peers: Other keepers known at the start.
        extensions: Tasks that run beside the keeper, each given the keeper.
    """

    name: str
    zone: str
    host: str = '127.0.0.1'
    port: int = 0
    store: Store | None = None
    teams: dict[str, Team] = field(default_factory=dict)
    peers: tuple[PeerAddress, ...] = ()
    extensions: tuple[Callable[['Keeper'], Awaitable[None]], ...] = ()


@final
class Keeper(WatchListener):
    """State of one keeper.

    Args:
        options: What it is told at its start.
        tasks: Runs its tasks.

    Attributes:
        dispatcher: Handlers of messages from other processes, by type.
        feed: What it knows of the groups.
        journal: Its decisions.
        port: TCP port that it listens on.
    """

    def __init__(self, options: KeeperOptions, tasks: TaskGroup) -> None:
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.dispatcher = Dispatcher()
        self.feed = Feed()
        self.journal = Journal(options.name)
        self.watches = WatchSet(options.name, options.zone, self, tasks)
        self.port = options.port
        self._services: dict[str, Service] = {}
        self._subscriptions: dict[Link, Subscription] = {}
        self.dispatcher.handle(FeedRequest)(self._subscribe)
        self.feed.listen(self._publish)

    def apply_team(self, name: str, team: Team | None) -> None:
        """Bring a team's subtree into force; ``None`` removes the team."""
        wanted = _list_groups(name, team)
        prefix = '{0}/'.format(name)
        for group in tuple(self._services):
            if group.startswith(prefix) and group not in wanted:
                self._services.pop(group)
                self.watches.drop_group(group)
        for group, service in wanted.items():
            self._services[group] = service
            self.feed.set_members(
                group,
                (endpoint.name for endpoint in service.endpoints),
            )
            self.watches.set_group(group, service)

    def list_groups(self) -> list[str]:
        """Return the groups of the teams in force."""
        return sorted(self._services)

    def on_status(self, group: str, observation: Observation) -> None:
        """Take in an answer of an instance."""
        self.feed.learn(group, observation)

    def on_failure(self, group: str, endpoint: str, reason: str) -> None:
        """Take in that an instance did not answer."""
        logger.bind(
            event='status_unread',
            group=group,
            endpoint=endpoint,
            cause=reason,
        ).info('an instance did not answer')

    async def handle_link(self, link: Link) -> None:
        """Serve a process that has dialled this keeper."""
        hello = await link.receive()
        if not isinstance(hello, Hello):
            raise MessageError('the first message is not a greeting')
        subscription = Subscription(
            Peer(hello, link),
            self.feed,
            self.incarnation,
        )
        with self._hold(link, subscription):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(subscription.run)
                await self.dispatcher.serve(Peer(hello, link))

    @contextlib.contextmanager
    def _hold(self, link: Link, subscription: Subscription) -> Iterator[None]:
        with contextlib.ExitStack() as stack:
            stack.callback(self._subscriptions.pop, link)
            self._subscriptions[link] = subscription
            yield

    async def _subscribe(self, peer: Peer, request: FeedRequest) -> None:
        self._subscriptions[peer.link].replace(request)
        for group in request.urgent:
            self.watches.hurry(group)

    def _publish(self, group: str) -> None:
        for subscription in self._subscriptions.values():
            subscription.notice(group)


async def serve(
    options: KeeperOptions,
    *,
    task_status: TaskStatus[Keeper] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run a keeper until cancelled; report it through ``task_status``."""
    async with anyio.create_task_group() as tasks:
        keeper = Keeper(options, tasks)
        for name, team in options.teams.items():
            keeper.apply_team(name, team)
        keeper.port = await tasks.start(
            listen,
            options.host,
            options.port,
            keeper.handle_link,
            options.name,
        )
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
