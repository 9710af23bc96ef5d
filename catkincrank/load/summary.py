"""Figures of a run, computed from its outcomes."""

import math
from collections.abc import Sequence
from typing import final

import msgspec
from hdrh.histogram import HdrHistogram

from catkincrank.load.outcome import Outcome, Tally
from catkincrank.verdict import Verdict

__all__ = (
    'Latency',
    'LoadFigures',
    'find_gap',
    'measure_latency',
    'summarize',
)

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_MEDIAN_PERCENTILE = 50
_HIGH_PERCENTILE = 99
_ROUNDED_DIGITS = 4


@final
class Latency(msgspec.Struct, frozen=True):
    """Latencies of one kind of request, in seconds since arrival.

    Attributes:
        count: Number of requests.
        p50: Median.
        p99: 99th percentile.
        highest: Maximum.
    """

    count: int = 0
    p50: float = 0
    p99: float = 0
    highest: float = 0


@final
class LoadFigures(msgspec.Struct, frozen=True):
    """Figures of a load run.

    Attributes:
        seconds: Length of the run.
        arrivals: Requests that arrived.
        statements: Statements with a complete answer.
        writes_acknowledged: Writes acknowledged to callers.
        unserved: Requests without success by their deadline.
        refused_not_run: Answers with the verdict "not run".
        may_have_run: Answers with the verdict "may have run".
        reads: Latencies of reads.
        writes: Latencies of writes.
        peak_queue: Maximum number of requests queued in sessions.
        connects: Connections that callers opened.
    """

    seconds: float
    arrivals: int
    statements: int
    writes_acknowledged: int
    unserved: int
    refused_not_run: int
    may_have_run: int
    reads: Latency
    writes: Latency
    peak_queue: int
    connects: int


def summarize(tally: Tally, seconds: float) -> LoadFigures:
    """Return the figures of a run."""
    outcomes = tally.outcomes
    served = [one for one in outcomes if one.verdict is Verdict.RAN]
    writes = [one for one in served if one.is_write]
    reads = [one for one in served if not one.is_write]
    return LoadFigures(
        round(seconds, _ROUNDED_DIGITS),
        len(outcomes),
        tally.statements,
        len(writes),
        len(outcomes) - len(served),
        tally.refused_not_run,
        tally.may_have_run,
        measure_latency([one.latency_s for one in reads]),
        measure_latency([one.latency_s for one in writes]),
        tally.peak_queue,
        tally.connects,
    )


def measure_latency(seconds: Sequence[float]) -> Latency:
    """Return the percentiles of latencies in seconds."""
    if not seconds:
        return Latency()
    histogram = HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )
    for latency_s in seconds:
        histogram.record_value(max(_MIN_LATENCY_US, int(latency_s * _US_PER_S)))
    percentiles = [
        histogram.get_value_at_percentile(percentile) / _US_PER_S
        for percentile in (_MEDIAN_PERCENTILE, _HIGH_PERCENTILE)
    ]
    return Latency(len(seconds), *percentiles, max(seconds))


def find_gap(
    outcomes: Sequence[Outcome],
    service: int,
    since_s: float,
    until_s: float,
) -> float:
    """Return the longest time that a service served no write.

    Args:
        outcomes: Outcome of each request.
        service: Number of the service.
        since_s: Start of the window. The gap begins at the last success
            before it, or at the start itself if there was none.
        until_s: End of the window; the first success after it ends the gap.

    Returns:
        The gap in seconds; infinite if no later write succeeded, even if
        writes in flight at the fault still did.
    """
    times = sorted(
        one.finished_s
        for one in outcomes
        if one.service == service
        and one.is_write
        and one.verdict is Verdict.RAN
    )
    before = [at for at in times if at <= since_s] or [since_s]
    later = [at for at in times if at > since_s]
    inside = [at for at in later if at < until_s]
    if not later or _has_unserved_writes(outcomes, service, later[-1]):
        return math.inf
    after = later[len(inside) :]
    ends = [before[-1], *inside, *after[:1]]
    pairs = zip(ends, ends[1:], strict=False)
    return max(end - begin for begin, end in pairs)


def _has_unserved_writes(
    outcomes: Sequence[Outcome],
    service: int,
    served_until_s: float,
) -> bool:
    """Return whether writes that arrived after the last success failed."""
    return any(
        one.service == service
        and one.is_write
        and one.verdict is not Verdict.RAN
        and one.arrival.at_s > served_until_s
        for one in outcomes
    )
