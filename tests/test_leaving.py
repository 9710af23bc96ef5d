import pytest

from catkincrank.leaving import LeavingDetector
from catkincrank.store import VirtualMachine

HERE = VirtualMachine('vm1', 'z', '127.0.0.1')
LEAVING = VirtualMachine('vm1', 'z', '127.0.0.1', is_leaving=True)
OTHER = VirtualMachine('vm2', 'z', '127.0.0.1', is_leaving=True)


@pytest.mark.parametrize(
    ('lists', 'noticed'),
    [
        ([[HERE]], [False]),
        ([[OTHER]], [False]),
        ([[]], [False]),
        ([[HERE], [OTHER, LEAVING]], [False, True]),
        ([[LEAVING], [LEAVING]], [True, False]),
        ([[LEAVING], [HERE], [LEAVING]], [True, False, False]),
    ],
)
def test_notice_is_taken_once_and_kept(lists, noticed):
    watch = LeavingDetector('vm1')
    taken = [watch.update(one, at) for at, one in enumerate(lists)]
    assert taken == noticed
    assert (watch.detected_at is not None) == any(noticed)
