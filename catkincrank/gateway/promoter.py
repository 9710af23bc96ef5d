"""How a successor is appointed; each way is a variant in a registry."""

from abc import ABC, abstractmethod
from typing import final

from catkincrank.errors import CatkincrankError
from catkincrank.registry import Registry

__all__ = ('Promoter', 'PromotionError', 'promoters')


@final
class PromotionError(CatkincrankError):
    """A promotion was not confirmed.

    Args:
        reason: What went wrong.
        may_have_applied: Whether it may take effect all the same.
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
    """Appoints primaries."""

    @abstractmethod
    async def promote(self, service: str, endpoint_id: str, token: int) -> None:
        """Make an endpoint the primary of its service.

        Args:
            service: The service.
            endpoint_id: The endpoint.
            token: Fencing token; grows whenever the holder changes.

        Raises:
            PromotionError: It was not confirmed.
        """


promoters: Registry[type[Promoter]] = Registry('promoter')
