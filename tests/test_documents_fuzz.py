"""Documents of other writers name no endpoint to use and harm no other one."""

import copy
import dataclasses
import io
import json
import random

import pytest

from catkincrank.envelope import encode_message
from catkincrank.gateway.carriermessages import Destination
from catkincrank.gateway.configurator import Configurator
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkpools import make_key
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.rowstore import Revision, RowChange
from catkincrank.logs import configure_logs
from catkincrank.platform.program import DOCUMENTS
from tests import virtualtime
from tests.test_gateway_fuzz import SEEDS, _damage
from tests.test_messages import SAMPLES

CASES_PER_SEED = 100
MEMBER = MemberRecord('vm0', 'incarnation', '10.0.0.2', 1, 'z')
KEYS = ('key-of-first', 'key-of-second')
REGISTRATION = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 3,
    'state': 'ready',
    'db_role': 'replica',
    'born': 1_700_000_000_000,
    'seq': 4,
    'cold_remaining_ms': 0,
}
CONFIGURATION = {
    'version': 2,
    'routes': [
        {
            'name': 'r',
            'host': 'db',
            'type': 'bounded_staleness',
            'service': 'svc',
            'timeout_ms': 800,
            'target_latency_ms': 500,
            'priority': 2,
            'max_staleness_ms': 1500,
            'public': True,
        }
    ],
    'services': [{'name': 'svc', 'max_connections': 23, 'sync_replicas': 1}],
    'limits': {'tx_idle_ms': 2000},
    'tenants': [
        {
            'name': 'o{0}'.format(number),
            'api_keys': [key],
            'rate_per_s': 5,
            'burst': 9,
            'priority': 1,
        }
        for number, key in enumerate(KEYS)
    ],
}
ODD = (
    *(None, True, '', ' ', 'x' * 300, 'a b', 'a\r\nSTARTUP', 'i-\xe9'),
    *('\u0661', '{0}', '<red>', 'nan', [], {}, [[]], 0, -1, 1, 255, 256),
    *(2**31, 2**32, 2**63 - 1, 2**63, 2**64, 10**40, 1.5, -0.5, 1e308),
    *('10.0.0.1', '[::1]:80', '::1:80', 'host:80', '10.0.0.1: 80'),
    *('10.0.0.1:8_0', '10.0.0.1:\u0668\u0660', '10.0.0.256:80', '%lo:80'),
    *('stopped', 'draining', 'primary', 'strong', 'svc'),
)
# Deeper than the decoder follows.
DEEP = '[' * 5_000 + ']' * 5_000


def _list_places(found):
    """Return each container in a document with each of its keys."""
    pairs = found.items() if isinstance(found, dict) else enumerate(found)
    for key, part in pairs:
        yield found, key
        if isinstance(part, (dict, list)):
            yield from _list_places(part)


def _spoil(document, source):
    """Return an encoded document with parts replaced, removed or added."""
    if source.random() < 0.2:
        return _damage(json.dumps(document).encode(), source)
    document = copy.deepcopy(document)
    for _ in range(source.choice((1, 1, 1, 2, 4))):
        places = list(_list_places(document))
        if not places:
            break
        container, key = source.choice(places)
        match source.randrange(6):
            case 0:
                del container[key]
            case 1:
                container[key] = 'DEEP'
            case 2 if isinstance(container, list):
                container.append(container[key])
            case _:
                container[key] = source.choice(ODD)
    return json.dumps(document).replace('"DEEP"', DEEP).encode()


class _Gateway:
    """Applies documents as a gateway does, and collects its log lines."""

    def __init__(self):
        self.log = io.StringIO()
        configure_logs('test', self.log)
        self.groups = Groups()
        self.link_provider = LinkProvider(None, MEMBER, {}, None)
        self._configurator = Configurator(
            DOCUMENTS,
            self.groups,
            self.link_provider,
            lambda: {MEMBER.name: MEMBER},
        )
        self._version = 0

    def configure(self, body):
        self._version += 1
        revision = Revision(0, self._version)
        self._configurator.apply_config(
            (RowChange(DOCUMENTS.config_key, body, revision),)
        )
        return self.groups.catalog

    def register(self, **bodies):
        self._version += 1
        revision = Revision(0, self._version)
        self._configurator.apply_roster(
            tuple(
                RowChange(key, body, revision) for key, body in bodies.items()
            )
        )
        return self.groups.roster

    def read_log(self):
        return [json.loads(line) for line in self.log.getvalue().splitlines()]


def _register(**changes):
    return json.dumps({**REGISTRATION, **changes}).encode()


def _check_entry(entry):
    """Use an entry as the gateway does when it sends a statement."""
    assert 0 < entry.port <= 65535
    assert entry.slots > 0
    ' '.join(('STARTUP', entry.service, 'vm', entry.endpoint_id)).encode(
        'ascii'
    )
    assert not set(entry.service) & set(' \r\n')
    request = dataclasses.replace(
        SAMPLES['carryRequest'], destination=Destination.of_entry(entry)
    )
    encode_message(request)
    hash(make_key(entry))


def _check_catalog(catalog):
    """Use a configuration as the gateway does when it serves callers."""
    for route in catalog.routes.values():
        assert route.timeout_s >= 0
        assert route.max_staleness_s >= 0
        assert route.target_latency_s >= 0
        encode_message(
            dataclasses.replace(
                SAMPLES['carryRequest'],
                route=route.name,
                priority=route.priority,
            )
        )
    for service in catalog.services.values():
        assert 0 <= service.max_connections < 2**32
    for one in (catalog.organisations or {}).values():
        one.name.encode('ascii')
        assert one.rate_per_s >= 0
        assert one.burst >= 0
        assert 0 <= one.priority < 256


@pytest.mark.parametrize('seed', SEEDS)
def test_spoiled_registrations_harm_no_other(seed):
    source = random.Random(seed)

    async def scenario():
        gateway = _Gateway()
        gateway.configure(json.dumps(CONFIGURATION).encode())
        counts = [0, 0]
        for number in range(CASES_PER_SEED):
            good = _register(seq=number + 5)
            bad = _spoil(REGISTRATION, source)
            before = {'i1': good, 'bad': bad, 'i2': good}
            roster = gateway.register(**before)
            assert roster.find('i1').sequence == number + 5
            assert roster.find('i2').sequence == number + 5
            found = roster.find('bad')
            counts[found is None] += 1
            if found is not None:
                _check_entry(found)
            # The endpoint's own entry is replaced, and then written again.
            roster = gateway.register(i1=bad)
            assert (roster.find('i1') is None) is (found is None)
            assert gateway.register(i1=good).find('i1').sequence == number + 5
        assert gateway.read_log()
        return counts

    used, skipped = virtualtime.run(scenario)
    assert used + skipped == CASES_PER_SEED
    assert skipped > CASES_PER_SEED // 3


@pytest.mark.parametrize('seed', SEEDS)
def test_spoiled_configurations_are_decoded_or_leave_the_one_before(seed):
    source = random.Random(seed)

    async def scenario():
        counts = [0, 0]
        for _ in range(CASES_PER_SEED):
            gateway = _Gateway()
            first = {**CONFIGURATION, 'version': 1}
            before = gateway.configure(json.dumps(first).encode())
            gateway.register(i1=_register())
            found = gateway.configure(_spoil(CONFIGURATION, source))
            counts[found is before] += 1
            if found is not before:
                _check_catalog(found)
            last = {**CONFIGURATION, 'version': 2**63 - 1}
            after = gateway.configure(json.dumps(last).encode())
            assert after.version == 2**63 - 1
            text = gateway.log.getvalue() + repr(after)
            assert not any(key in text for key in KEYS)
            gateway.read_log()
        return counts

    used, refused = virtualtime.run(scenario)
    assert used + refused == CASES_PER_SEED
    assert refused > CASES_PER_SEED // 5
