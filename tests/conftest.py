"""Marks tests listed in KNOWN-RED.txt as expected failures and prints them."""

from pathlib import Path

import pytest

_KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_PREFIX = 'test: '


def _read_known_red() -> list[str]:
    if not _KNOWN_RED.exists():
        return []
    return [
        line.removeprefix(_PREFIX).strip()
        for line in _KNOWN_RED.read_text().splitlines()
        if line.startswith(_PREFIX)
    ]


def pytest_collection_modifyitems(items):
    known = _read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(terminalreporter):
    for nodeid in _read_known_red():
        terminalreporter.write_line('known red: {0}'.format(nodeid))
