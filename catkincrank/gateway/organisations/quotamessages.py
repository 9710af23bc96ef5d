"""Messages between VMs and the allocator, encoded by ``envelope``.

A share is a fraction of an organisation's limit, so that each VM derives its
rate and capacity from the configuration that it has. Tokens in an answer are
operations that may be admitted at once and are valid for ``TOKEN_LIFETIME_S``.
"""

import math
from dataclasses import dataclass
from typing import Final, final

from catkincrank.envelope import register_message
from catkincrank.errors import MessageError

__all__ = (
    'MAX_USES',
    'SHARE_LIFETIME_S',
    'TOKEN_LIFETIME_S',
    'OrganisationShare',
    'OrganisationUse',
    'QuotaAllocation',
    'QuotaReport',
    'check_allocation',
    'check_report',
)

# A share outlasts outages of the store, in which nobody allocates. A VM that
# has ended keeps its share from the others for as long, unless it restarts, and
# so does a member that was removed from a new holder.
SHARE_LIFETIME_S: Final = 12.0
# As long as an operation waits for an answer.
TOKEN_LIFETIME_S: Final = 0.5
# About 100 bytes each; a frame holds 1 MiB.
MAX_USES: Final = 4000


@final
@dataclass(frozen=True, slots=True)
class OrganisationUse:
    """Use of one organisation's limit on a VM.

    Attributes:
        organisation: Name of the organisation.
        demand: Operations requested per second, recently.
        wanted: Operations for which the VM lacks tokens.
        share: Share that the VM holds.
        lifetime_s: Time until that share expires, in seconds.
        token: Fencing token of the holder that allocated it; 0 for none.
        sequence: Sequence number of the answer that allocated it.
    """

    organisation: str
    demand: float
    wanted: int = 0
    share: float = 0
    lifetime_s: float = 0
    token: int = 0
    sequence: int = 0


@register_message('quotaReport')
@final
@dataclass(frozen=True, slots=True)
class QuotaReport:
    """Asks the allocator for shares of organisations' limits.

    Attributes:
        name: Name of the VM.
        incarnation: Identifier of the process.
        token: Fencing token of the holder that is asked. After sending it, the
            process applies no answer of an earlier holder.
        sequence: Newest answer that it received from this holder; 0 for none.
        is_whole: Whether every share that the process holds is listed.
        uses: Use of each organisation's limit.
        is_urgent: Whether it was sent because operations wait; it lists only
            their organisations, unless it is whole.
    """

    name: str
    incarnation: str
    token: int
    sequence: int = 0
    is_whole: bool = False
    uses: tuple[OrganisationUse, ...] = ()
    is_urgent: bool = False


@final
@dataclass(frozen=True, slots=True)
class OrganisationShare:
    """Answer for one organisation.

    Attributes:
        organisation: Name of the organisation.
        share: Share of the limit, replacing the one before.
        tokens: Operations that may be admitted beyond the share.
        is_exhausted: Whether the organisation uses up its limit.
    """

    organisation: str
    share: float = 0
    tokens: int = 0
    is_exhausted: bool = False


@register_message('quotaAllocation')
@final
@dataclass(frozen=True, slots=True)
class QuotaAllocation:
    """The allocator's answer to a ``QuotaReport``.

    Attributes:
        token: Fencing token of the holder.
        sequence: Sequence number; increases with each answer of a holder.
        lifetime_s: Time after the report was sent at which shares expire, in
            seconds.
        shares: Answers for the organisations in the report.
    """

    token: int
    sequence: int
    lifetime_s: float
    shares: tuple[OrganisationShare, ...] = ()


def check_report(report: QuotaReport) -> None:
    """Verify the ranges of a report's fields.

    Raises:
        MessageError: A field is out of range.
    """
    if not (report.name and report.incarnation):
        raise MessageError('quota report without a sender')
    if len(report.uses) > MAX_USES:
        raise MessageError('quota report with too many organisations')
    for use in report.uses:
        _check_fraction(use.share)
        _check_number(use.demand)
        _check_number(use.lifetime_s)


def check_allocation(allocation: QuotaAllocation) -> None:
    """Verify the ranges of an allocation's fields.

    Raises:
        MessageError: A field is out of range.
    """
    _check_number(allocation.lifetime_s)
    for one in allocation.shares:
        _check_fraction(one.share)


def _check_fraction(number: float) -> None:
    if not 0 <= number <= 1:
        raise MessageError('share out of range: {0}'.format(number))


def _check_number(number: float) -> None:
    if not (math.isfinite(number) and number >= 0):
        raise MessageError('number out of range: {0}'.format(number))
