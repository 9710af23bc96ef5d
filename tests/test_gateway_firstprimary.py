"""What is recorded about a group without a row."""

import pytest

from catkincrank.gateway.firstprimary import FirstPrimary
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry

ENTRIES = {
    name: EndpointEntry(name, 'svc', '10.0.0.1', port, 'z', 3, born_ms=7)
    for port, name in enumerate('abc', 1)
}
TOKEN = 9


def _state(*, is_primary=False, term=2, promised=None):
    known = term if promised is None else promised
    return EndpointState(is_primary, term, Position(term, 5), known)


def _choose(states, *, may_mark=True, waited_s=3):
    """Return the record after a group had no primary for some time."""
    first_primary = FirstPrimary()
    answers = [(ENTRIES[name], state) for name, state in states.items()]
    found = None
    for now in (100, 100 + waited_s):
        found = first_primary.choose(
            'svc', len(ENTRIES), answers, TOKEN, now, may_mark=may_mark
        )
    return found and (found.primary, found.term, found.is_replacing)


REPLICA = _state()
ALL_REPLICAS = dict.fromkeys('abc', REPLICA)


@pytest.mark.parametrize(
    ('states', 'found'),
    [
        ({'a': _state(is_primary=True)}, ('a', 2, False)),
        (
            {
                'a': _state(is_primary=True, term=1),
                'b': _state(is_primary=True),
            },
            ('b', 2, False),
        ),
        # Seed 3034 of the soak: the primary was restarted without its log.
        (ALL_REPLICAS, ('', 2, True)),
        # The primary of an earlier term still claims it.
        ({**ALL_REPLICAS, 'a': _state(is_primary=True, term=1)}, ('', 2, True)),
        ({**ALL_REPLICAS, 'a': _state(term=1, promised=4)}, ('', 4, True)),
        # The endpoint that does not answer may be the primary.
        ({'a': REPLICA, 'b': REPLICA}, None),
        ({}, None),
    ],
)
def test_the_record_of_a_group_without_a_row(states, found):
    assert _choose(states) == found


@pytest.mark.parametrize(
    'conditions',
    [
        # A grant of an earlier lease holder may be valid.
        {'may_mark': False},
        # A promotion that was called earlier may yet take effect.
        {'waited_s': 2.9},
    ],
)
def test_no_group_is_marked_too_early(conditions):
    assert _choose(ALL_REPLICAS, **conditions) is None


def test_an_earlier_lease_does_not_shorten_the_wait():
    first_primary = FirstPrimary()
    answers = [(entry, REPLICA) for entry in ENTRIES.values()]
    for token, now in ((TOKEN, 100), (TOKEN + 1, 110)):
        found = first_primary.choose(
            'svc', len(ENTRIES), answers, token, now, may_mark=True
        )
        assert found is None
