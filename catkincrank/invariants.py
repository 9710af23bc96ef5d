"""The system's invariants, checked over the records of a run."""

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
    'check_at_most_once',
    'check_drains',
    'check_history',
    'check_leaving',
    'check_not_run',
    'check_sessions',
    'check_settings',
    'check_transactions',
)


def check_history(history: RecordedHistory) -> dict[str, list[Violation]]:
    """Return the violations in ``history`` by invariant name."""
    return {
        name: list(INVARIANTS.find(name)(history))
        for name in INVARIANTS.names()
    }
