"""Messages of links themselves, whatever else they carry."""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import register_message

__all__ = ('Heartbeat',)


@register_message('heartbeat')
@final
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive while it sends no other message.

    Attributes:
        name: Name of the sender.
        sequence: Number of the heartbeat on its link.
    """

    name: str
    sequence: int
