"""State dumps: settings, observations and journal of a process."""

import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Protocol

import anyio
import msgspec

from catkincrank.feed import Feed
from catkincrank.instance import Observation
from catkincrank.journal import Journal
from catkincrank.settingsreport import SettingsReport

__all__ = ('StateSource', 'dump_groups', 'dump_process')


class StateSource(Protocol):
    """State common to the daemons."""

    feed: Feed
    journal: Journal

    def list_groups(self) -> Iterable[str]:
        """Return the groups of the teams that the process serves."""


def dump_process(
    source: StateSource,
    role: str,
    settings: SettingsReport,
) -> dict[str, Any]:
    """Return the state common to daemons of all roles."""
    return {
        'name': source.journal.source,
        'role': role,
        'process_id': os.getpid(),
        'resident_bytes': _read_resident_bytes(),
        'cpu_s': time.process_time(),
        'obstacles': settings.list_obstacles(),
        'settings': msgspec.to_builtins(settings),
        'groups': dump_groups(source.feed, source.list_groups()),
        'journal': msgspec.to_builtins(source.journal.list_events()),
    }


def dump_groups(feed: Feed, groups: Iterable[str]) -> dict[str, Any]:
    """Return the last observation of each instance of ``groups``."""
    now = anyio.current_time()
    return {
        group: {
            endpoint: _dump_observation(seen, now)
            for endpoint, seen in feed.observations(group).items()
        }
        for group in groups
    }


def _read_resident_bytes() -> int:
    pages = Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


def _dump_observation(seen: Observation, now: float) -> dict[str, Any]:
    status = seen.status
    return {
        'role': status.role.value,
        'term': status.term,
        'received': status.received,
        'replayed': status.replayed,
        'follows': status.follows,
        'incarnation': status.incarnation,
        'sealed': None if status.sealed is None else status.sealed.term,
        'connections': status.connections,
        'age_s': now - seen.taken_at,
    }
