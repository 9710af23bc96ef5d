"""Interface for promoting an endpoint, with a registry of variants."""

from abc import ABC, abstractmethod
from typing import final

from catkincrank.errors import CatkincrankError
from catkincrank.registry import Registry

__all__ = ('Promoter', 'PromotionError', 'promoters')


@final
class PromotionError(CatkincrankError):
    """A promotion was not confirmed.

    Args:
        reason: Cause of the failure.
        may_have_applied: Whether the promotion may still take effect.
        is_refused: Whether the endpoint cannot be promoted.
    """

    def __init__(
        self,
        reason: str,
        *,
        may_have_applied: bool,
        is_refused: bool = False,
    ) -> None:
        super().__init__(reason)
        self.may_have_applied = may_have_applied
        self.is_refused = is_refused


class Promoter(ABC):
    """Promotes endpoints."""

    @abstractmethod
    async def promote(self, service: str, endpoint_id: str, token: int) -> None:
        """Make an endpoint the primary of its service.

        Args:
            service: Name of the service.
            endpoint_id: Identifier of the endpoint.
            token: Fencing token; increases when the lease holder changes.

        Raises:
            PromotionError: The promotion was not confirmed.
        """


promoters: Registry[type[Promoter]] = Registry('promoter')
