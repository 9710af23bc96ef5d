"""Arrivals of requests, drawn from a seed before the run begins.

The load is open: a request arrives at its time whatever became of earlier
ones, and its latency counts from that time, so a stalled system can't hide it.
"""

import enum
import random
from dataclasses import dataclass
from typing import final

from catkincrank.load.profile import Workload

__all__ = ('Arrival', 'Operation', 'draw_arrivals', 'name_item')


@final
class Operation(enum.Enum):
    """What a request does."""

    READ = 'read'
    WRITE = 'write'
    TRANSACTION = 'transaction'


@final
@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that is to be made.

    Attributes:
        at_s: When, counted from the start of the run.
        session: Number of the session.
        operation: What it does.
        item: What it reads or writes.
        max_staleness_s: Age that a read accepts; ``None`` asks for the
            session's own writes only.
        is_moving: Whether the session first moves to another proxy.
    """

    at_s: float
    session: int
    operation: Operation
    item: str
    max_staleness_s: float | None = None
    is_moving: bool = False


def name_item(session: int) -> str:
    """Return the item that only ``session`` writes."""
    return 'item-{0}'.format(session)


def draw_arrivals(
    workload: Workload,
    services: int,
    seed: int,
) -> list[Arrival]:
    """Return the arrivals of a run in order.

    Args:
        workload: What callers do.
        services: Number of services; session ``n`` works on ``n`` modulo it.
        seed: Seed of every draw.
    """
    drawn = random.Random(seed)
    arrivals = []
    at_s = drawn.expovariate(workload.rate)
    while at_s < workload.duration_s:
        arrivals.append(_draw_arrival(workload, services, at_s, drawn))
        at_s += drawn.expovariate(workload.rate)
    return arrivals


def _draw_arrival(
    workload: Workload,
    services: int,
    at_s: float,
    drawn: random.Random,
) -> Arrival:
    session = drawn.randrange(workload.sessions)
    is_moving = drawn.random() < workload.move_share
    if drawn.random() < workload.write_share:
        is_short = drawn.random() >= workload.transaction_share
        operation = Operation.WRITE if is_short else Operation.TRANSACTION
        own = name_item(session)
        return Arrival(at_s, session, operation, own, None, is_moving)
    if drawn.random() < workload.own_share:
        item = name_item(session)
        staleness = None
    else:
        item = _draw_other(workload, services, session, drawn)
        staleness = drawn.choice(workload.staleness_s)
    return Arrival(at_s, session, Operation.READ, item, staleness, is_moving)


def _draw_other(
    workload: Workload,
    services: int,
    session: int,
    drawn: random.Random,
) -> str:
    """Return an item of any session of the same service."""
    same = range(session % services, workload.sessions, services)
    return name_item(drawn.choice(same))
