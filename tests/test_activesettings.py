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
def test_only_newer_valid_rows_are_accepted(offers, accepted, in_force):
    active_settings = ActiveSettings()
    assert [active_settings.apply_row(each) for each in offers] == accepted
    assert active_settings.version('sawari') == in_force


def test_rows_below_the_minimum_version_are_refused():
    active_settings = ActiveSettings()
    active_settings.raise_min_version('sawari', 3)
    assert not active_settings.apply_row(row(2))
    assert active_settings.is_behind('sawari')
    assert active_settings.apply_row(row(4))
    assert not active_settings.is_behind('sawari')


def test_refusal_is_reported_until_a_valid_row_arrives():
    active_settings = ActiveSettings()
    active_settings.apply_row(row(2, b'{"wieght":1}'))
    assert active_settings.refusals()['sawari'].version == 2
    active_settings.apply_row(row(3))
    assert not active_settings.refusals()


def test_age_follows_confirmation_and_digest_follows_versions():
    active_settings, other = ActiveSettings(), ActiveSettings()
    assert active_settings.age(5) == float('inf')
    active_settings.confirm(3)
    active_settings.confirm(1)
    assert active_settings.age(5) == 2
    active_settings.apply_row(row(1))
    assert active_settings.digest() != other.digest()
    other.apply_row(row(1))
    assert active_settings.digest() == other.digest()


def test_team_of_key_is_empty_for_other_rows():
    assert team_of_key('settings/sawari') == 'sawari'
    assert not team_of_key('history/sawari')
