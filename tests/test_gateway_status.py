import json

import anyio

from catkincrank.gateway.daemon import Gateway
from catkincrank.gateway.options import Address, GatewayOptions
from catkincrank.httpclient import HttpClient
from catkincrank.platform.program import ADAPTER, DOCUMENTS
from catkincrank.platform.standin import PlatformStandIn
from catkincrank.platform.trial import make_config
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup
from tests.test_gateway_drain import find_port


def test_readiness_metrics_and_state_dump_show_the_process_state():
    async def scenario():
        platform = PlatformStandIn(
            {'ledger': MemoryEndpointGroup('ledger', ('i-a',))}
        )
        addresses = [Address('127.0.0.1', find_port()) for _ in range(4)]
        async with anyio.create_task_group() as tasks:
            await tasks.start(platform.run)
            platform.rows.write('op', [], {'config': make_config()})
            store, promote = (
                '127.0.0.1:{0}'.format(platform.ports[name])
                for name in ('store', 'promote')
            )
            options = GatewayOptions('vm', 'z', 'r', *addresses, store, promote)
            gateway = Gateway(options, ADAPTER, DOCUMENTS, tasks)
            tasks.start_soon(gateway.run)
            while not gateway.drain.is_listening:
                await anyio.sleep(0.01)
            ready = HttpClient('http://127.0.0.1:{0}'.format(addresses[1].port))
            status = HttpClient(
                'http://127.0.0.1:{0}'.format(addresses[3].port)
            )
            first = await ready.request('GET', '/v1/ready')
            metrics = await status.request('GET', '/metrics')
            dump = await status.request('GET', '/state')
            gateway.drain.start()
            second = await ready.request('GET', '/v1/ready')
            tasks.cancel_scope.cancel()
        return first.status, second.status, metrics.body, dump.body

    first, second, metrics, dump = anyio.run(scenario)
    assert (first, second) == (200, 503)
    assert b'catkincrank_configuration_version 1.0' in metrics
    assert b'catkincrank_reading_age_seconds_op' in metrics
    state = json.loads(dump)
    assert state['configuration'] == 1
    assert state['members'] == ['vm']
