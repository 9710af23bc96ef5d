"""The nine promises of the product, judged over a recorded run."""

from catkincrank.fleetinvariants import (
    check_drains,
    check_leaving,
    check_settings,
)
from catkincrank.records import RecordedHistory
from catkincrank.requestinvariants import (
    check_acknowledgements,
    check_answers,
    check_at_most_once,
    check_not_run,
    check_sessions,
    check_transactions,
)
from catkincrank.violation import INVARIANTS, Violation

__all__ = (
    'INVARIANTS',
    'Violation',
    'check_acknowledgements',
    'check_answers',
    'check_drains',
    'check_history',
    'check_leaving',
    'check_not_run',
    'check_at_most_once',
    'check_sessions',
    'check_settings',
    'check_transactions',
)


def check_history(history: RecordedHistory) -> dict[str, list[Violation]]:
    """Return the violations in ``history``, by the name of each invariant."""
    return {
        name: list(INVARIANTS.find(name)(history))
        for name in INVARIANTS.names()
    }
