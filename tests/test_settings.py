import pytest

from catkincrank.errors import OptionError
from catkincrank.settings import encode_team, parse_team

TEAM = """
weight = 2
[services.ledger]
database = "loans"
endpoints = [
  {name = "a", zone = "kathmandu", host = "127.0.0.1", port = 5001},
]
"""


def test_encoded_team_decodes_to_an_equal_team():
    team = parse_team(TEAM, 'toml')
    assert parse_team(encode_team(team)) == team
    assert team.services['ledger'].limits.slots == 3


@pytest.mark.parametrize(
    ('changed', 'into', 'expected'),
    [
        ('weight = 2', 'wieght = 2', "wieght.*'weight'"),
        ('port = 5001', 'port = 0', r'services\[.*endpoints\[0\].port'),
        ('port = 5001', 'port = 1, prot = 2', "prot.*'port'"),
        ('weight = 2', 'weight = ', 'settings'),
    ],
)
def test_invalid_subtree_is_refused_with_its_path(changed, into, expected):
    with pytest.raises(OptionError, match=expected):
        parse_team(TEAM.replace(changed, into), 'toml')
