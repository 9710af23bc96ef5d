import subprocess
import sys

import pytest

from catkincrank.metrics import Metrics

CHECK = """
import sys
import catkincrank.platform.program, catkincrank.programs
unused = {'argparse', 'capnp', 'loguru', 'prometheus_client'}
assert not unused.intersection(sys.modules)
"""


def test_gateway_is_imported_without_what_it_needs_later():
    # These took a third of the processor time before the first statement.
    subprocess.run([sys.executable, '-c', CHECK], check=True, timeout=60)


@pytest.mark.parametrize('is_loaded', [False, True])
def test_changes_before_and_after_the_library_is_loaded_are_rendered(is_loaded):
    metrics = Metrics()
    calls = metrics.counter('calls', 'Calls.', ('kind',))
    plain = metrics.counter('plain', 'Plain.')
    latency = metrics.histogram('latency', 'Latency.', ('kind',))
    metrics.watch('level', 'Level.', lambda: 7)
    if is_loaded:
        metrics.load()
    for _ in range(2):
        calls.labels('read').inc()
        latency.labels('read').observe(0.5)
        plain.inc(3)
    metrics.render()
    calls.labels('read').inc()
    text = metrics.render()
    assert b'catkincrank_calls_total{kind="read"} 3.0' in text
    assert b'catkincrank_plain_total 6.0' in text
    assert b'catkincrank_latency_count{kind="read"} 2.0' in text
    assert b'catkincrank_level 7.0' in text


def test_recorded_changes_are_bounded():
    # Without readers of the metrics, they would fill the memory.
    metrics = Metrics()
    latency = metrics.histogram('latency', 'Latency.')
    for _ in range(5000):
        latency.change((), 'observe', 1)
    assert not latency._changes
    assert b'catkincrank_latency_count 5000.0' in metrics.render()
