"""Results of a script: its record and its exit status."""

import sys
from pathlib import Path
from typing import Final

__all__ = ('BROKEN', 'HELD', 'NOT_RUN', 'write_record')

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2


def write_record(
    record: Path, summary: str, broken: list[str], events: list[str]
) -> None:
    """Write what was sent, answered and run, and print the summary.

    Args:
        record: File to write.
        summary: Figures of the run, one line.
        broken: What broke the rule, one line each.
        events: What happened, one line each, with the time as first word.
    """
    lines = [summary, *broken, *sorted(events, key=_time_of)]
    record.write_text('{0}\n'.format('\n'.join(lines)))
    sys.stdout.write('{0}\n'.format(summary))


def _time_of(line: str) -> float:
    return float(line.partition(' ')[0])
