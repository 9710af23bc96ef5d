import pytest

from catkincrank.activesettings import ActiveSettings, team_of_key
from catkincrank.store import Row


def row(version, body=b'{"weight":1}', team='sawari'):
    return Row('settings/{0}'.format(team), version, body, 'c')


@pytest.mark.parametrize(
    ('offers', 'accepted', 'in_force'),
    [
        ([row(1), row(2)], [True, True], 2),
        ([row(2), row(1)], [True, False], 2),
        ([row(1), row(1, b'{"weight":2}')], [True, False], 1),
        ([row(1), row(2, b'{"wieght":1}')], [True, False], 1),
        ([Row('groups/sawari', 3, b'{}', 'c')], [False], 0),
    ],
)
def test_only_newer_valid_rows_count(offers, accepted, in_force):
    active_settings = ActiveSettings()
    assert [active_settings.apply_row(each) for each in offers] == accepted
    assert active_settings.version('sawari') == in_force


def test_floor_refuses_what_the_fleet_has_left_behind():
    active_settings = ActiveSettings()
    active_settings.raise_floor('sawari', 3)
    assert not active_settings.apply_row(row(2))
    assert active_settings.lacks('sawari')
    assert active_settings.apply_row(row(4))
    assert not active_settings.lacks('sawari')


def test_refused_row_is_reported_until_replaced():
    active_settings = ActiveSettings()
    active_settings.apply_row(row(2, b'{"wieght":1}'))
    assert active_settings.refusals()['sawari'].version == 2
    active_settings.apply_row(row(3))
    assert not active_settings.refusals()


def test_age_and_digest():
    active_settings, other = ActiveSettings(), ActiveSettings()
    assert active_settings.age(5) == float('inf')
    active_settings.confirm(3)
    active_settings.confirm(1)
    assert active_settings.age(5) == 2
    active_settings.apply_row(row(1))
    assert active_settings.digest() != other.digest()
    other.apply_row(row(1))
    assert active_settings.digest() == other.digest()


def test_team_of_key():
    assert team_of_key('settings/sawari') == 'sawari'
    assert not team_of_key('history/sawari')
