"""Messages by which a keeper tells the proxies of its VM what is coming."""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import register_message

__all__ = ('DrainNotice',)


@register_message('drainNotice')
@final
@dataclass(frozen=True, slots=True)
class DrainNotice:
    """Tells the proxies of a VM to finish and stop.

    Attributes:
        machine: Name of the VM.
        cause: Why.
    """

    machine: str
    cause: str
