"""Prefers endpoints to which a link of an organisation is likely open.

Opening a link takes the endpoint 12 ms and a slot. Most organisations are
small: spread over all endpoints of a group, nearly each of their reads would
open a link, which others need soon after. The preference is a few milliseconds
of cost, so that load and distance still decide between endpoints.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import final

from catkincrank.gateway.roster import EndpointEntry
from catkincrank.relaytree import rank_names

__all__ = ('OPENING_COST_S', 'LinkAffinity')

# Expected additional cost of a read where no link is likely open.
OPENING_COST_S = 0.012
# For this long after a statement a link is likely still open: it stays open for
# 30 s, unless links of other organisations need its place.
_LIKELY_OPEN_S = 5.0
# Most uses that are remembered; older ones are dropped. It covers the
# endpoints that a thousand organisations use at a time.
_MAX_USES = 4096


@final
class LinkAffinity:
    """Remembers where this process ran statements of organisations."""

    __slots__ = ('_uses',)

    def __init__(self) -> None:
        # In the order of use, the least recent first.
        self._uses: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record_use(
        self, organisation: str, endpoint_id: str, now: float
    ) -> None:
        """Record that a link of an organisation is open."""
        if not organisation:
            return
        use = (organisation, endpoint_id)
        self._uses[use] = now
        self._uses.move_to_end(use)
        if len(self._uses) > _MAX_USES:
            self._uses.popitem(last=False)

    def list_likely(
        self,
        organisation: str,
        entries: Iterable[EndpointEntry],
        primary_id: str,
        now: float,
    ) -> frozenset[str]:
        """Return the replicas to which a link is likely open.

        These are the ones that this process used lately, and one that all
        processes choose alike, so that an organisation whose callers are at
        many processes uses few links. The primary is left out: writes need its
        capacity.

        Args:
            organisation: Name of the organisation.
            entries: Endpoints of a group.
            primary_id: Identifier of its primary; empty if unknown.
            now: Current time in seconds.
        """
        names = [
            entry.endpoint_id
            for entry in entries
            if entry.endpoint_id != primary_id and not entry.is_draining
        ]
        likely = {
            name for name in names if self._is_recent((organisation, name), now)
        }
        return frozenset((*likely, *rank_names(organisation, names)[:1]))

    def _is_recent(self, use: tuple[str, str], now: float) -> bool:
        used_at = self._uses.get(use)
        return used_at is not None and now < used_at + _LIKELY_OPEN_S
