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


async def _grant_credentials(store):
    operator_credential = await grant_credential(store, '*', '1')
    team = await grant_credential(store, 'sawari', '2', operator_credential)
    return operator_credential, team


@pytest.mark.parametrize(
    ('holder', 'team', 'allowed'),
    [
        ('sawari', 'sawari', True),
        ('sawari', 'kitakaze', False),
        ('*', 'kitakaze', True),
        ('forged', 'sawari', False),
    ],
)
def test_credential_authorizes_changes_of_its_team_only(holder, team, allowed):
    store = FakeStore()
    operator_credential, team_credential = anyio.run(_grant_credentials, store)
    held = {'sawari': team_credential, '*': operator_credential}
    credential = held.get(holder, TeamCredential('sawari', 'guess'))
    if allowed:
        anyio.run(authorize, store, credential, team)
        return
    with pytest.raises(AccessError):
        anyio.run(authorize, store, credential, team)


def test_operator_credential_is_not_replaced_without_authorization():
    store = FakeStore()
    _, team_credential = anyio.run(_grant_credentials, store)
    for granted_by in (None, team_credential):
        with pytest.raises(AccessError):
            anyio.run(grant_credential, store, '*', '3', granted_by)


def test_repr_of_credential_omits_secret():
    credential = TeamCredential.parse('sawari:x:y')
    assert credential.secret == 'x:y'
    assert 'x:y' not in repr(credential)
    with pytest.raises(OptionError):
        TeamCredential.parse('sawari')
