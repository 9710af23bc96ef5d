"""Wires up the request path of a gateway."""

from catkincrank.gateway.assembly import Adapter
from catkincrank.gateway.callers import caller_codecs
from catkincrank.gateway.choice import Latencies
from catkincrank.gateway.execution import Execution
from catkincrank.gateway.forwarding import Forwarder
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.options import GatewayOptions
from catkincrank.gateway.organisations.admission import UNLIMITED, Quotas
from catkincrank.gateway.placement import Placement
from catkincrank.gateway.requestlog import LineBudget, RequestLog
from catkincrank.gateway.sessionserver import SessionServer
from catkincrank.gateway.transactions import Transactions
from catkincrank.metrics import Metrics

__all__ = ('make_session_server',)


def make_session_server(
    options: GatewayOptions,
    adapter: Adapter,
    groups: Groups,
    link_provider: LinkProvider,
    metrics: Metrics,
    quotas: Quotas = UNLIMITED,
) -> SessionServer:
    """Return the server for the sessions of callers."""
    latencies = Latencies(options.zone, dict(options.regions))
    forwarder = Forwarder(groups, latencies)
    placement = Placement(groups, link_provider, latencies)
    return SessionServer(
        groups,
        Execution(groups, placement, forwarder, metrics),
        Transactions(placement, forwarder),
        RequestLog(metrics, LineBudget()),
        caller_codecs.find(adapter.callers),
        quotas,
    )
