from types import SimpleNamespace

import anyio
import pytest
from pg_mimic.errors import PgError

from catkincrank.callerconnection import CallerConnection


class DisconnectedStream:
    def __init__(self, failing_step):
        self.failing_step = failing_step

    def write(self, data):
        self.written = data

    async def drain(self):
        self._fail('drain')

    async def close(self):
        self._fail('close')

    def _fail(self, step):
        if step == self.failing_step:
            raise ConnectionResetError('Connection lost')


@pytest.mark.parametrize('failing_step', ['drain', ''])
def test_ending_a_disconnected_caller_raises_no_error(failing_step):
    stream = DisconnectedStream(failing_step)
    connection = SimpleNamespace(stream=stream)
    error = PgError('57P01', 'the proxy drains')
    anyio.run(CallerConnection.end, connection, error)
    assert b'57P01' in stream.written
