"""Drains a proxy when the keeper of its VM sends a drain notice."""

from catkincrank.dispatcher import Peer
from catkincrank.drainmessages import DrainNotice
from catkincrank.journal import Event
from catkincrank.logs import EventRecorder
from catkincrank.proxy import Proxy

__all__ = ('drain_on_notice',)


async def drain_on_notice(proxy: Proxy) -> None:
    """Make ``proxy`` drain when the keeper of its own VM sends a notice.

    While that keeper is unavailable, the proxy is connected to another VM's
    keeper, whose notices concern other proxies and are ignored.
    """
    dispatcher = proxy.client.dispatcher
    recorder = EventRecorder(proxy.journal)

    @dispatcher.handle(DrainNotice)
    async def handle_notice(_peer: Peer, notice: DrainNotice) -> None:  # noqa: WPS430
        own_keeper = proxy.options.keepers[0].name
        if notice.machine != own_keeper or proxy.server.is_draining:
            return
        recorder.record(
            Event('machine_leaving', notice.machine, notice.cause, 'draining'),
        )
        proxy.request_drain()
