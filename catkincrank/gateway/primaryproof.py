"""Proof by the endpoints of a group that its primary was not replaced.

Grants expire while the platform's store is unavailable, although nobody can
replace a primary then. The endpoints show this themselves: a promotion takes
effect only at an endpoint, which from then on reports a later term. If every
other endpoint, asked after a time T, knows no later term than that of the
primary, no promotion had taken effect at T.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, final

from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position

__all__ = ('ProofState', 'find_objection')

_NEVER: Final = float('-inf')
_NO_LOG = Position(0, 0)
# The primary and one endpoint that could be promoted.
_MIN_ENDPOINTS = 2


@final
@dataclass(slots=True)
class ProofState:
    """Proofs of one group since its last grant.

    Attributes:
        is_allowed: Whether a proof may take the place of the grant: the grant
            expired by age and was not ended because of a replacement.
        proved_at: Newest time at which no other endpoint was primary, in
            seconds.
        objection: Why the last proof failed; empty if it succeeded.
        failing_since: When the first of the last failed proofs ended, in
            seconds; ``None`` if the last one succeeded.
    """

    is_allowed: bool = False
    proved_at: float = _NEVER
    objection: str = ''
    failing_since: float | None = None

    def reset(self) -> None:
        """Forget the proofs about an earlier primary."""
        self.proved_at = _NEVER
        self.forget_failures()

    def forget_failures(self) -> None:
        """Forget failed proofs, as a grant or a later proof overrides them."""
        self.objection = ''
        self.failing_since = None

    def record_success(self, asked_at: float) -> None:
        """Record that every endpoint confirmed the primary."""
        self.proved_at = max(self.proved_at, asked_at)
        self.forget_failures()

    def record_failure(self, objection: str, now: float) -> None:
        """Record why a proof failed."""
        self.objection = objection
        if self.failing_since is None:
            self.failing_since = now

    def failing_s(self, now: float) -> float:
        """Return for how long proofs have failed, in seconds."""
        return 0 if self.failing_since is None else now - self.failing_since


def find_objection(
    primary: str,
    term: int,
    states: Mapping[str, EndpointState | None],
    positions: Mapping[str, Position],
) -> str:
    """Return why the states do not prove the primary; empty if they do.

    Args:
        primary: Endpoint that was the primary.
        term: Its term.
        states: State of each endpoint of the group; ``None`` without an answer.
        positions: Log positions that the endpoints have had. An endpoint with
            less was restarted and may have forgotten a promotion.
    """
    if primary not in states or len(states) < _MIN_ENDPOINTS:
        return 'endpoints of the group are not registered'
    found = states[primary]
    if found is not None and not (found.is_primary and found.term == term):
        return '{0} is no longer the primary'.format(primary)
    for endpoint_id, state in states.items():
        known = positions.get(endpoint_id, _NO_LOG)
        reason = _find_state_objection(state, term, known)
        if reason:
            return '{0} {1}'.format(endpoint_id, reason)
    return ''


def _find_state_objection(
    state: EndpointState | None, term: int, known: Position
) -> str:
    if state is None:
        return 'did not answer'
    if max(state.term, state.promised, state.received.term) > term:
        return 'knows a later term'
    if state.received < known:
        return 'was restarted without its log'
    return ''
