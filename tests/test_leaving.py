import pytest

from catkincrank.leaving import LeavingDetector
from catkincrank.store import VirtualMachine

STAYING = VirtualMachine('vm1', 'z', '127.0.0.1')
LEAVING = VirtualMachine('vm1', 'z', '127.0.0.1', is_leaving=True)
OTHER = VirtualMachine('vm2', 'z', '127.0.0.1', is_leaving=True)


@pytest.mark.parametrize(
    ('lists', 'expected'),
    [
        ([[STAYING]], [False]),
        ([[OTHER]], [False]),
        ([[]], [False]),
        ([[STAYING], [OTHER, LEAVING]], [False, True]),
        ([[LEAVING], [LEAVING]], [True, False]),
        ([[LEAVING], [STAYING], [LEAVING]], [True, False, False]),
    ],
)
def test_leaving_mark_is_reported_once_and_kept(lists, expected):
    detector = LeavingDetector('vm1')
    reported = [detector.update(one, at) for at, one in enumerate(lists)]
    assert reported == expected
    assert (detector.detected_at is not None) == any(expected)
