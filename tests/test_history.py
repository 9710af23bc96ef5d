import pytest

from catkincrank.history import Containment, History, LogMark, TermStart

HISTORY = History((TermStart(2, 10), TermStart(3, 50), TermStart(5, 80)))


@pytest.mark.parametrize(
    ('mark', 'expected'),
    [
        (LogMark(1, 5), Containment.UNKNOWN),
        (LogMark(2, 50), Containment.HELD),
        (LogMark(2, 51), Containment.LOST),
        (LogMark(3, 80), Containment.HELD),
        (LogMark(3, 81), Containment.LOST),
        (LogMark(4, 60), Containment.LOST),
        (LogMark(5, 9000), Containment.HELD),
        (LogMark(6, 1), Containment.AHEAD),
    ],
)
def test_locate_finds_whether_history_contains_mark(mark, expected):
    assert HISTORY.locate(mark) is expected
