import os

import anyio
import pytest
from loguru import logger

from catkincrank.gateway.requestlog import LineBudget
from catkincrank.logpipe import LogPipe
from catkincrank.logs import configure_logs, log_event


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_log_lines_reach_the_pipe(pipe):
    reader, writer = pipe
    configure_logs('vm', LogPipe(writer))
    log_event('something', count=3)
    logger.remove()
    line = os.read(reader, 65536).decode()
    assert line.endswith('\n')
    assert '"event":"something"' in line


def test_full_pipe_drops_lines_without_blocking(pipe):
    """A writer that blocks on a full pipe would hang this test."""
    reader, writer = pipe
    sink = LogPipe(writer)
    for number in range(50_000):
        sink.write('line {0}\n'.format(number))
    lost = sink.dropped
    assert lost > 0
    os.read(reader, 1 << 20)
    sink.write('after\n')
    found = os.read(reader, 1 << 20).decode()
    assert '"count":{0}'.format(lost) in found
    assert found.endswith('after\n')


@pytest.mark.parametrize('size', [5000, 100_000])
def test_lines_longer_than_an_atomic_write_are_dropped(pipe, size):
    sink = LogPipe(pipe[1])
    sink.write('x' * size)
    assert sink.dropped == 1


def test_closed_reader_drops_the_line_without_error():
    reader, writer = os.pipe()
    os.close(reader)
    sink = LogPipe(writer)
    sink.write('line\n')
    os.close(writer)
    assert sink.dropped == 1


@pytest.mark.parametrize(
    ('lines', 'seconds', 'written'),
    [(100, 0, 100), (1000, 0, 300), (1000, 10, 800)],
)
def test_line_budget_limits_rate_and_counts_dropped_lines(
    lines, seconds, written
):
    budget = LineBudget(rate=50, burst=300)
    now = 1000.0
    taken = 0
    for number in range(lines):
        taken += budget.take(now + seconds * number / lines)
    assert abs(taken - written) <= 1
    assert budget.reset_dropped() == lines - taken


def test_new_line_budget_allows_a_line():
    assert anyio.run(_take_from_new_budget)


async def _take_from_new_budget():
    return LineBudget().take(anyio.current_time())
