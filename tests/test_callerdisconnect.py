from types import SimpleNamespace

import anyio
import pytest
from pg_mimic.errors import PgError

from catkincrank.callerconnection import CallerConnection


class Gone:
    def __init__(self, fails):
        self.fails = fails

    def write(self, data):
        self.written = data

    async def drain(self):
        self._fail('drain')

    async def close(self):
        self._fail('close')

    def _fail(self, step):
        if step == self.fails:
            raise ConnectionResetError('Connection lost')


@pytest.mark.parametrize('fails', ['drain', ''])
def test_a_caller_that_is_gone_does_not_stop_a_drain(fails):
    stream = Gone(fails)
    connection = SimpleNamespace(stream=stream)
    error = PgError('57P01', 'the proxy drains')
    anyio.run(CallerConnection.end, connection, error)
    assert b'57P01' in stream.written
