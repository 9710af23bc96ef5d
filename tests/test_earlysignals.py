"""A gateway survives SIGHUP, and ends cleanly at SIGTERM, at any moment."""

import os
import signal
import subprocess
import sys
from types import SimpleNamespace

import anyio
import pytest

from catkincrank.earlysignals import is_gateway
from catkincrank.gateway.signals import watch_signals

# Signals itself when a module is about to be imported, as ``python -m`` runs
# the package. The settings file does not exist.
PROGRAM = """
import os, runpy, signal, sys
signal.signal(signal.SIGHUP, signal.SIG_DFL)
class Finder:
    def find_spec(self, name, *_):
        if name == {module!r}:
            os.kill(os.getpid(), {signum})
sys.meta_path.insert(0, Finder())
sys.argv = ['-m', 'gateway', '--settings', '/nowhere/settings.toml']
import catkincrank
runpy.run_module('catkincrank', run_name='__main__', alter_sys=True)
"""
MODULES = (
    'catkincrank.earlylisteners',
    'catkincrank.cmdline',
    'anyio',
    'catkincrank.gateway.daemon',
)
BAD_SETTINGS = 2


@pytest.mark.parametrize('module', MODULES)
@pytest.mark.parametrize(
    ('signum', 'exit_code'),
    [(signal.SIGHUP, BAD_SETTINGS), (signal.SIGTERM, 0)],
)
def test_signals_while_a_gateway_is_loaded(module, signum, exit_code):
    """Guards against an exit by signal (seed 3049 of the soak)."""
    program = PROGRAM.format(module=module, signum=int(signum))
    done = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == exit_code, done.stderr
    assert b'Traceback' not in done.stderr


def test_signals_after_the_event_loop_has_stopped_watching():
    """Guards against an exit by SIGHUP while a gateway finishes."""
    seen = []
    handlers = {
        signum: signal.signal(signum, lambda number, _: seen.append(number))
        for signum in (signal.SIGHUP, signal.SIGTERM)
    }
    drain = SimpleNamespace(start=lambda: seen.append('drain'))

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_signals, drain)
            await anyio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        os.kill(os.getpid(), signal.SIGHUP)

    try:
        anyio.run(run)
    finally:
        for signum, handler in handlers.items():
            signal.signal(signum, handler)
    assert seen == ['drain', signal.SIGHUP]


@pytest.mark.parametrize(
    ('arguments', 'found'),
    [
        (['-m', 'gateway'], True),
        (['/usr/bin/catkincrank', 'gateway', '--settings', 'x'], True),
        # Commands end with their terminal, and a library changes no handlers.
        (['/usr/bin/catkincrank', 'state'], False),
        (['-m'], False),
        (['/usr/bin/other', 'gateway'], False),
        ([''], False),
    ],
)
def test_only_gateways_handle_early_signals(arguments, found):
    assert is_gateway(arguments) is found
