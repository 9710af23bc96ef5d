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
    """How a committed write stands.

    ``REPLACED`` says that the newest history lacks the write. It may come
    back when that history is lost in turn, so its verdict is "may have run".
    """

    CONFIRMED = 'confirmed'
    PENDING = 'pending'
    REPLACED = 'replaced'


class Acknowledgement(ABC):
    """A policy on when a committed write may be acknowledged.

    Attributes:
        outlives_primary: Whether an acknowledged write survives the loss of
            its primary.
        promotion_delay_s: Time that a failover of the service must wait
            between sealing a majority and promoting, in seconds.
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
        """Say how the write that ended at ``mark`` stands.

        Args:
            group: The group that was written to.
            mark: What ``EndpointConnection.commit`` returned.
            feed: Evidence about the group; its members must be set.
            now: The time in seconds at which the answer would be sent.
        """


acknowledgements: Registry[type[Acknowledgement]] = Registry('acknowledgement')
