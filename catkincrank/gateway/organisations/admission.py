"""Interface of the limits on operations of organisations."""

from typing import Final, Protocol, final

__all__ = ('UNLIMITED', 'Quotas')


class Quotas(Protocol):
    """Limits on the operations of organisations."""

    async def admit(self, organisation: str) -> None:
        """Count an operation that is about to run.

        Raises:
            StatementFailed: The operation exceeds the limit; it was not run.
        """


@final
class _UnlimitedQuotas:
    """Admits every operation."""

    __slots__ = ()

    async def admit(self, organisation: str) -> None:
        """Admit an operation."""


UNLIMITED: Final = _UnlimitedQuotas()
