import anyio
import pytest

from catkincrank.credentials import (
    AccessError,
    TeamCredential,
    authorize,
    grant_credential,
)
from catkincrank.errors import OptionError
from tests.fakestore import FakeStore


async def _grant(store):
    root = await grant_credential(store, '*', '1')
    team = await grant_credential(store, 'sawari', '2', root)
    return root, team


@pytest.mark.parametrize(
    ('holder', 'team', 'allowed'),
    [
        ('sawari', 'sawari', True),
        ('sawari', 'kitakaze', False),
        ('*', 'kitakaze', True),
        ('forged', 'sawari', False),
    ],
)
def test_a_team_changes_only_its_own(holder, team, allowed):
    store = FakeStore()
    root, mine = anyio.run(_grant, store)
    held = {'sawari': mine, '*': root}
    credential = held.get(holder, TeamCredential('sawari', 'guess'))
    if allowed:
        anyio.run(authorize, store, credential, team)
        return
    with pytest.raises(AccessError):
        anyio.run(authorize, store, credential, team)


def test_only_the_first_needs_no_other():
    store = FakeStore()
    _, mine = anyio.run(_grant, store)
    for granted_by in (None, mine):
        with pytest.raises(AccessError):
            anyio.run(grant_credential, store, '*', '3', granted_by)


def test_secret_is_not_shown():
    credential = TeamCredential.parse('sawari:x:y')
    assert credential.secret == 'x:y'
    assert 'x:y' not in repr(credential)
    with pytest.raises(OptionError):
        TeamCredential.parse('sawari')
