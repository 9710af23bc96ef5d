"""Message that asks the proxies of a VM to drain."""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import register_message

__all__ = ('DrainNotice',)


@register_message('drainNotice')
@final
@dataclass(frozen=True, slots=True)
class DrainNotice:
    """Asks the proxies of a VM to drain and stop.

    Attributes:
        machine: Name of the VM.
        cause: Reason for the drain.
    """

    machine: str
    cause: str
