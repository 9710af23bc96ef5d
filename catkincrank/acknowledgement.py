"""Decides when a write may be acknowledged to its caller."""

import enum
from abc import ABC, abstractmethod
from typing import ClassVar, final

from catkincrank.feed import Feed
from catkincrank.history import LogMark
from catkincrank.registry import Registry

__all__ = ('Acknowledgement', 'WriteStatus', 'acknowledgements')


@final
class WriteStatus(enum.Enum):
    """Durability of a committed write.

    ``REPLACED`` means that the newest history lacks the write. The write can
    reappear if that history is lost in turn, so its verdict is "may have run".
    """

    CONFIRMED = 'confirmed'
    PENDING = 'pending'
    REPLACED = 'replaced'


class Acknowledgement(ABC):
    """A policy that decides when a committed write may be acknowledged.

    Attributes:
        outlives_primary: Whether an acknowledged write survives the loss of
            its primary.
        promotion_delay_s: Time in seconds that a failover of the service waits
            between sealing a majority and promoting.
    """

    outlives_primary: ClassVar[bool] = True
    promotion_delay_s: ClassVar[float] = 0

    @abstractmethod
    def check(
        self,
        group: str,
        mark: LogMark,
        feed: Feed,
        now: float,
    ) -> WriteStatus:
        """Return the status of the write that ended at ``mark``.

        Args:
            group: The group that the write went to.
            mark: What ``EndpointConnection.commit`` returned.
            feed: Evidence about the group; its members must be set.
            now: Time in seconds at which the caller would be answered.
        """


acknowledgements: Registry[type[Acknowledgement]] = Registry('acknowledgement')
