import pytest

from catkincrank.errors import OptionError
from catkincrank.listenaddress import ListenAddress, parse_address

FORM = 'NAME/HOST:PORT'


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('vm1/10.0.0.1:70', ListenAddress(('vm1',), '10.0.0.1', 70)),
        (' vm1/[::1]:70 ', ListenAddress(('vm1',), '::1', 70)),
    ],
)
def test_parses(text, expected):
    assert parse_address('--keepers', text, FORM) == expected


@pytest.mark.parametrize(
    'text',
    [
        '',
        'vm1',
        '10.0.0.1:70',
        '/h:1',
        'vm1/h',
        'vm1/h:x',
        'vm1/h:65536',
        'a/b/h:1',
    ],
)
def test_refuses(text):
    with pytest.raises(OptionError, match='--keepers.*NAME/HOST:PORT'):
        parse_address('--keepers', text, FORM)
