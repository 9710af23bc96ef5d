"""Restorations of the store from an older copy, alone and with other faults.

What gateways wrote since the copy is lost; the operator and the endpoints
write theirs again.
"""

from collections.abc import Awaitable, Callable

import anyio

from benchmarks.soak.endpointdisruptions import crash_endpoint
from benchmarks.soak.gatewaydisruptions import change_settings, kill_gateway
from benchmarks.soak.plan import Disruption, DisruptionKind, restorations
from benchmarks.soak.storedisruptions import cut_store, take_store_down
from benchmarks.soak.testbed import Testbed

__all__ = ()

# Greatest age of a copy, in seconds.
_MAX_LOST_S = 6
_REWRITE_DELAY_S = 0.5
_Disrupt = Callable[[Testbed, Disruption], Awaitable[str]]


async def _restore(testbed: Testbed, disruption: Disruption) -> str:
    """Have the store return from an older copy after an outage."""
    await take_store_down(testbed, disruption)
    lost_s = disruption.for_s + disruption.strength * _MAX_LOST_S
    testbed.platform.rows.restore(lost_s)
    await anyio.sleep(_REWRITE_DELAY_S)
    testbed.rewrite_rows()
    return 'store'


def _combine(other: _Disrupt) -> _Disrupt:
    """Return a disruption that restores the store during another one."""

    async def disrupt(testbed: Testbed, disruption: Disruption) -> str:  # noqa: WPS430
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(other, testbed, disruption)
            await _restore(testbed, disruption)
        return 'store'

    return disrupt


async def _restore_for_some(testbed: Testbed, disruption: Disruption) -> str:
    """Restore the store, which one gateway then cannot reach."""
    await _restore(testbed, disruption)
    return await cut_store(testbed, disruption)


def _register(name: str, disrupt: _Disrupt) -> None:
    restorations.register(name)(DisruptionKind(disrupt))


_register('store restored', _restore)
_register('store restored and gateway killed', _combine(kill_gateway))
_register('store restored and endpoint lost', _combine(crash_endpoint))
_register('store restored and settings changed', _combine(change_settings))
_register('store restored for some', _restore_for_some)
