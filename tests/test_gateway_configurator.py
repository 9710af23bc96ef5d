from types import SimpleNamespace

import anyio
import pytest

from catkincrank.gateway.carriers import share_connections
from catkincrank.gateway.catalog import Catalog, Service
from catkincrank.gateway.configurator import Configurator
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.rowstore import Revision, RowChange
from tests import virtualtime

ENTRY = EndpointEntry('i-1', 'svc', '10.0.0.1', 80, 'z', 3)


def _members(count):
    return {
        name: MemberRecord(name, 'incarnation', '10.0.0.2', 1, 'z')
        for name in ('vm{0}'.format(number) for number in range(count))
    }


def _make_link_provider(tasks):
    return LinkProvider(None, _members(1)['vm0'], {}, tasks)


def _find_share_of_entry(link_provider):
    return link_provider.direct_pools._find_share(ENTRY)


def _decode_entry(key, body):
    if body == b'bad':
        return None
    return EndpointEntry(key, 'svc', '10.0.0.1', 80, 'z', 3)


def _decode_catalog(body):
    if body == b'bad':
        raise ValueError
    return Catalog(int(body), {}, {'svc': Service('svc', 23, 0)}, 3)


DOCUMENTS = SimpleNamespace(
    config_key='config',
    decode_catalog=_decode_catalog,
    decode_entry=_decode_entry,
)


def _run(scenario):
    async def run():
        groups, link_provider = Groups(), _make_link_provider(None)
        members = _members(8)
        configurator = Configurator(
            DOCUMENTS, groups, link_provider, lambda: members
        )
        return await scenario(configurator, groups, link_provider)

    return virtualtime.run(run)


@pytest.mark.parametrize(
    ('connections', 'members', 'share'),
    [(23, 8, 2), (30, 7, 4), (23, 1, 21), (32, 63, 1), (3, 8, 1)],
)
def test_each_member_gets_its_share_of_connections(connections, members, share):
    assert share_connections(connections, members) == share


@pytest.mark.parametrize(
    ('bodies', 'version'),
    [
        ([b'3'], 3),
        ([b'3', b'5'], 5),
        ([b'5', b'3'], 5),
        ([b'5', b'bad'], 5),
        ([b'bad'], None),
    ],
)
def test_older_or_unreadable_configurations_are_ignored(bodies, version):
    async def scenario(configurator, groups, link_provider):
        for number, body in enumerate(bodies):
            configurator.apply_config(
                (RowChange('config', body, Revision(0, number + 1)),)
            )
        return groups.catalog and groups.catalog.version

    assert _run(scenario) == version


def test_an_unreadable_registration_does_not_affect_others():
    async def scenario(configurator, groups, link_provider):
        configurator.apply_roster(
            (
                RowChange('i-1', b'ok', Revision(0, 1)),
                RowChange('i-2', b'bad', Revision(0, 2)),
                RowChange('i-3', b'ok', Revision(0, 3)),
            ),
        )
        configurator.apply_roster((RowChange('i-3', None, Revision(0, 4)),))
        return [entry.endpoint_id for entry in groups.roster.list_entries()]

    assert _run(scenario) == ['i-1']


def test_new_process_may_open_one_connection_at_first():
    """Guards against new processes that leave no connection to each other.

    After a fleet failed, endpoints still counted its dead connections; the
    first new processes took all that were left.
    """

    async def scenario(configurator, groups, link_provider):
        configurator.apply_config((RowChange('config', b'1', Revision(0, 1)),))
        limits = [_find_share_of_entry(link_provider).limit]
        for _ in range(2):
            await anyio.sleep(0.25)
            configurator.divide_connections()
            limits.append(_find_share_of_entry(link_provider).limit)
        return limits

    assert _run(scenario) == [1, 1, 2]
