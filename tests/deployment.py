"""Runs a keeper, two proxies and a stand-in group in one event loop."""

from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from catkincrank import keeper, proxy
from catkincrank.feedclient import KeeperAddress
from catkincrank.settings import Endpoint, Limits, Service, Team
from catkincrank.standins.group import StandinGroup

GROUP = 'sawari/ledger'
USER = 'sawari.ledger'
LIMIT_S = 60


@dataclass
class Deployment:
    group: StandinGroup
    keeper: keeper.Keeper
    proxies: list[proxy.Proxy] = field(default_factory=list)

    def conninfo(self, index=0, options=''):
        return (
            'host=127.0.0.1 port={0} user={1} dbname=loans '
            "sslmode=disable options='{2}'"
        ).format(self.proxies[index].server.port, USER, options)

    def address(self, index=0):
        return {
            'host': '127.0.0.1',
            'port': self.proxies[index].server.port,
            'user': USER,
            'database': 'loans',
            'ssl': False,
        }


@asynccontextmanager
async def deploy(**options):
    """Start the deployment; ``options`` are passed to the proxies."""
    async with StandinGroup() as group, anyio.create_task_group() as tasks:
        team = make_team(group)
        started_keeper = await tasks.start(
            keeper.serve,
            keeper.KeeperOptions('k1', 'z1', teams={'sawari': team}),
        )
        address = KeeperAddress('k1', '127.0.0.1', started_keeper.port)
        deployment = Deployment(group, started_keeper)
        for name in ('p1', 'p2'):
            chosen = proxy.ProxyOptions(
                name,
                'z1',
                keepers=(address,),
                teams={'sawari': team},
                **options,
            )
            deployment.proxies.append(await tasks.start(proxy.serve, chosen))
        with anyio.fail_after(LIMIT_S):
            yield deployment
        tasks.cancel_scope.cancel()


def make_team(group):
    credential = group.credential
    endpoints = tuple(
        Endpoint(name, 'z1', address.host, address.port)
        for name, address in group.addresses().items()
    )
    service = Service(
        endpoints,
        database=credential.database,
        user=credential.user,
        limits=Limits(proxies=2),
    )
    return Team({'ledger': service})
