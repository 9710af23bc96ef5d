import pytest

from catkincrank.breaker import GroupBreaker

GROUP = ('a', 'b', 'c')


def make_breaker(events):
    """Play ``a`` for a failure and ``A`` for a success, one a second."""
    breaker = GroupBreaker()
    for now, event in enumerate(events):
        note = (
            breaker.record_success
            if event.isupper()
            else breaker.record_failure
        )
        note(event.lower(), now)
    return breaker


@pytest.mark.parametrize(
    ('events', 'now', 'ejected'),
    [
        ('', 0, ''),
        ('bb', 2, ''),
        ('bbb', 3, 'b'),
        ('bbBb', 4, ''),
        ('bbb', 4.1, ''),
        # One failure after the ejection; the next one is longer.
        ('bbb--b', 8.9, 'b'),
        ('bbb--b', 9, ''),
        # Never more than one of three, the one that failed last.
        ('bcbcbc', 5.5, 'c'),
        ('abcabcabc', 8.5, 'c'),
        # A success ends it at once.
        ('bbbB', 3.5, ''),
    ],
)
def test_ejection(events, now, ejected):
    breaker = make_breaker(events)
    assert breaker.ejected(GROUP, now) == frozenset(ejected)


@pytest.mark.parametrize('size', [1, 2, 3, 5])
def test_never_the_whole_group(size):
    endpoints = 'abcde'[:size]
    breaker = make_breaker(endpoints * 3)
    left = size - len(breaker.ejected(endpoints, size * 3 - 1))
    assert left >= min(2, size)


def test_ejections_are_forgotten():
    breaker = make_breaker('bbb--b')
    for now in (200, 201, 202):
        breaker.record_failure('b', now)
    assert breaker.ejected(GROUP, 203.9) == {'b'}
    assert not breaker.ejected(GROUP, 204)
