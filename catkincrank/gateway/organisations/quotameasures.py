"""Metrics, log lines and state of the organisations' limits on one VM."""

import heapq
from typing import Any, Final, final

import anyio

from catkincrank.gateway.catalog import Organisation
from catkincrank.gateway.organisations.shareholder import (
    HeldShare,
    Shareholder,
)
from catkincrank.linebudget import LineBudget
from catkincrank.logs import log_event
from catkincrank.metrics import Metrics

__all__ = ('QuotaMeasures',)

# Organisations with metrics of their own, so that their number is bounded.
_MAX_SHOWN: Final = 20
_OTHERS = 'other'
# A line for each refusal is in the log of requests already; these show the
# share at that time, for as many refusals as are of use to an operator.
_LINES_PER_S = 2
_BURST_LINES = 40
_CAUSES = {  # noqa: WPS407
    'limit': 'the limit is used up',
    'no_token': 'no token came in time',
    'no_answer': 'no lease holder allocated a share',
    'no_owner': 'no owner of its shards answered',
    'no_limit': 'the configuration has no limit for it',
}


@final
class QuotaMeasures:
    """Records refusals and reports.

    Args:
        metrics: Metrics of the process.
        shareholder: Shares of the VM.

    Attributes:
        is_answered: Whether the lease holder answered the last report.
    """

    __slots__ = (
        '_budget',
        '_demands',
        '_holders',
        '_refusals',
        '_reports',
        '_shareholder',
        '_shown_at',
        'is_answered',
    )

    def __init__(self, metrics: Metrics, shareholder: Shareholder) -> None:
        self._shareholder = shareholder
        self._budget = LineBudget(_LINES_PER_S, _BURST_LINES)
        self.is_answered = True
        # Name and token of the holder that answered last.
        self._holders: tuple[str, int] = ('', 0)
        self._refusals = metrics.counter(
            'quota_refusals',
            'Operations refused because of an organisation limit, by cause.',
            ('cause',),
        )
        self._reports = metrics.counter(
            'quota_reports',
            'Requests for shares of organisation limits, by outcome.',
            ('outcome',),
        )
        self._demands = metrics.gauge(
            'quota_demand',
            'Operations per second of the busiest organisations and the rest.',
            ('organisation',),
        )
        self._shown_at: float = 0
        metrics.watch(
            'quota_shares',
            'Organisations of whose limits this VM holds a share.',
            self._count_shares,
        )
        metrics.watch(
            'quota_shares_expired',
            'Shares that expired because no lease holder renewed them.',
            lambda: shareholder.expired,
        )

    def record_refusal(
        self,
        organisation: str,
        held: HeldShare | None,
        cause: str,
        limit: Organisation | None = None,
    ) -> str:
        """Count and log a refusal; return its explanation for the caller.

        Args:
            organisation: Name of the organisation.
            held: Share of the VM, if shares are in use.
            cause: Why the operation was refused.
            limit: The organisation's limit, if shards are in use.
        """
        self._refusals.labels(cause).inc()
        now = anyio.current_time()
        fields: dict[str, Any] = {'organisation': organisation}
        if limit is not None:
            fields.update(limit=limit.rate_per_s, burst=limit.burst)
        if held is not None:
            fields.update(self._describe_share(held, now))
        detail = 'limit of {0}: {1}'.format(organisation, _CAUSES[cause])
        if held is not None:
            detail = '{0}; {1}'.format(detail, _format_share(fields))
        elif limit is not None:
            detail = '{0}; {1}'.format(detail, _format_limit(fields))
        self._write('quota_refused', cause=_CAUSES[cause], **fields)
        return detail

    def record_report(
        self, holder: str, token: int, *, is_applied: bool
    ) -> None:
        """Count a report; log when answers stop and when they return."""
        outcome = 'answered' if is_applied else 'unanswered'
        self._reports.labels(outcome).inc()
        if is_applied:
            self._holders = (holder, token)
        if is_applied and not self.is_answered:
            self._write('quota_answered', holder=holder, token=token)
        if self.is_answered and not is_applied:
            self._write('quota_unanswered', holder=holder, token=token)
        self.is_answered = is_applied
        self._show_demands()

    def record_malformed(self, sender: str, error: Exception) -> None:
        """Log a message whose fields are out of range."""
        self._write('quota_message_refused', sender=sender, cause=str(error))

    def describe(self, now: float) -> dict[str, Any]:
        """Return the shares of the busiest organisations."""
        shares = self._shareholder.shares
        return {
            'organisations': len(shares),
            'shares': self._count_shares(),
            'expired': self._shareholder.expired,
            'busiest': {
                name: {
                    'demand': round(shares[name].find_demand(now), 2),
                    **self._describe_share(shares[name], now),
                }
                for name in self._list_busiest(now)
            },
        }

    def _describe_share(self, held: HeldShare, now: float) -> dict[str, Any]:
        limit = held.limit
        name, token = self._holders
        return {
            'limit': limit.rate_per_s,
            'burst': limit.burst,
            'share': round(held.share * limit.rate_per_s, 3),
            'age_s': round(now - held.sent_at, 3),
            'token': held.token,
            'holder': name if held.token == token else '',
        }

    def _list_busiest(self, now: float) -> list[str]:
        shares = self._shareholder.shares
        return heapq.nlargest(
            _MAX_SHOWN,
            shares,
            key=lambda name: shares[name].find_demand(now),
        )

    def _count_shares(self) -> int:
        return sum(
            1 for held in self._shareholder.shares.values() if held.share
        )

    def _show_demands(self) -> None:
        """Update the demands, at most every second."""
        now = anyio.current_time()
        if now < self._shown_at + 1:
            return
        self._shown_at = now
        shares = self._shareholder.shares
        busiest = self._list_busiest(now)
        total = sum(held.find_demand(now) for held in shares.values())
        self._demands.clear()
        for name in busiest:
            demand = shares[name].find_demand(now)
            self._demands.labels(name).set(round(demand, 3))
            total -= demand
        self._demands.labels(_OTHERS).set(round(max(0, total), 3))

    def _write(self, event: str, **fields: object) -> None:
        if not self._budget.take(anyio.current_time()):
            return
        dropped = self._budget.reset_dropped()
        if dropped:
            fields['lines_dropped'] = dropped
        log_event(event, 'WARNING', **fields)


def _format_share(fields: dict[str, Any]) -> str:
    share = 'share {share}/s'.format(**fields)
    text = '{0}, {1}'.format(_format_limit(fields), share)
    if not fields['token']:
        return text
    return '{0}, {1} s old, allocated by {2} (token {3})'.format(
        text,
        fields['age_s'],
        fields['holder'] or 'an earlier holder',
        fields['token'],
    )


def _format_limit(fields: dict[str, Any]) -> str:
    return 'limit {limit}/s, burst {burst}'.format(**fields)
