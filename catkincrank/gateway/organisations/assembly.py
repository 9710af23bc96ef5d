"""Wires up the limits on the operations of organisations."""

from collections.abc import Mapping

from catkincrank.gateway.failoverlease import FailoverLease
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.organisations.ownerselection import OwnerSelection
from catkincrank.gateway.organisations.quotameasures import QuotaMeasures
from catkincrank.gateway.organisations.quotas import Quotas
from catkincrank.gateway.organisations.shardedquotas import ShardedQuotas
from catkincrank.gateway.organisations.shardwriter import ShardWriter
from catkincrank.gateway.organisations.shareholder import Shareholder
from catkincrank.gateway.organisations.tokenadmission import TokenAdmission
from catkincrank.gateway.organisations.tokenclient import TokenClient
from catkincrank.gateway.organisations.tokenissuer import TokenIssuer
from catkincrank.gateway.peers import PeerClient
from catkincrank.gateway.storetables import StoreTables
from catkincrank.metrics import Metrics

__all__ = ('make_quotas',)


def make_quotas(
    groups: Groups,
    tables: StoreTables,
    lease: FailoverLease,
    regions: Mapping[str, str],
    client: PeerClient,
    metrics: Metrics,
) -> ShardedQuotas:
    """Return the limits of one process.

    Args:
        groups: Provides the configuration in force.
        tables: Local copies of the store's tables.
        lease: Failover lease.
        regions: Regions by availability zone.
        client: Sends requests to peers; nothing else uses it, so that they do
            not wait for long answers to other questions.
        metrics: Metrics of the process.
    """
    fleet = tables.fleet_state
    own = fleet.own_member
    shareholder = Shareholder(own.name, own.incarnation)
    measures = QuotaMeasures(metrics, shareholder)
    shares = Quotas(groups, fleet, lease, client, measures, shareholder)
    shards = tables.shards
    return ShardedQuotas(
        groups,
        fleet,
        shards,
        shares,
        ShardWriter(tables.store, fleet, shards, lease, shares),
        TokenAdmission(
            fleet,
            shards,
            TokenIssuer(shards),
            TokenClient(own.name, client, measures),
            OwnerSelection(own, regions),
        ),
        measures,
    )
