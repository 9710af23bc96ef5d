"""Drains a proxy when its VM's keeper passes on a notice."""

from catkincrank.dispatcher import Peer
from catkincrank.drainmessages import DrainNotice
from catkincrank.journal import Event
from catkincrank.logs import EventRecorder
from catkincrank.proxy import Proxy

__all__ = ('drain_on_notice',)


async def drain_on_notice(proxy: Proxy) -> None:
    """Have ``proxy`` drain at a notice of the keeper on its own VM.

    A notice of another VM's keeper, which a proxy follows while its own
    keeper is away, is not meant for it.
    """
    dispatcher = proxy.client.dispatcher
    recorder = EventRecorder(proxy.journal)

    @dispatcher.handle(DrainNotice)
    async def obey(_peer: Peer, notice: DrainNotice) -> None:  # noqa: WPS430
        own_keeper = proxy.options.keepers[0].name
        if notice.machine != own_keeper or proxy.server.is_draining:
            return
        recorder.record(
            Event('machine_leaving', notice.machine, notice.cause, 'draining'),
        )
        proxy.request_drain()
