"""Dumps a keeper's view of its peers, duties and instances."""

from typing import Any

import anyio
import msgspec

from catkincrank.duty import find_bucket
from catkincrank.keeper import Keeper
from catkincrank.supervision import Supervision

__all__ = ('dump_keeper',)


def dump_keeper(keeper: Keeper) -> dict[str, Any]:
    """Return the states of peers with reasons, duties and supervisions."""
    now = anyio.current_time()
    return {
        'peers': _dump_peers(keeper, now),
        'duties': _dump_duties(keeper),
        'duty_moves': keeper.fleet.duties.moves,
        'supervised': {
            group: _dump_supervision(supervision, now)
            for group, supervision in keeper.supervisor.supervisions.items()
        },
    }


def _dump_peers(keeper: Keeper, now: float) -> dict[str, Any]:
    return {
        name: {
            'zone': peer_status.address.zone,
            'state': peer_status.state.value,
            'why': peer_status.why,
            'for_s': round(now - peer_status.since, 3),
        }
        for name, peer_status in keeper.fleet.membership.statuses.items()
    }


def _dump_duties(keeper: Keeper) -> dict[str, Any]:
    duties = keeper.fleet.duties
    chosen = {
        group: duties.chosen.get(find_bucket(group))
        for group in keeper.list_groups()
    }
    return {
        group: {
            'rank': keeper.fleet.find_rank(group),
            **msgspec.to_builtins(duty),
        }
        for group, duty in chosen.items()
        if duty is not None
    }


def _dump_supervision(supervision: Supervision, now: float) -> dict[str, Any]:
    failure = supervision.failure
    failover = supervision.failover
    return {
        'evidence': dict(supervision.health.describe(now)),
        'reachable': supervision.health.list_reachable(now),
        'trouble': '' if failure is None else failure.kind.value,
        'trouble_for_s': 0 if failure is None else now - failure.since,
        'failover': '' if failover is None else failover.phase.value,
        'claimed_term': supervision.record.term,
    }
