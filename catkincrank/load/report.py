"""Report of a run: an HTML page or SVG file with plots."""

import html
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import final

from catkincrank.load.outcome import Tally

__all__ = ('RunReport', 'write_report')

_DRAWING = '.svg'
_PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title></head>
<body><h1>{title}</h1>
{plots}
<h2>Result</h2><pre>{result}</pre>
</body></html>
"""


@final
@dataclass(frozen=True, slots=True)
class RunReport:
    """Contents of a report.

    Attributes:
        title: Title of the page.
        services: Names of the services.
        tally: Counts and outcomes of the requests.
        faults: Times and names of the faults.
        reads: Time of each read and whether a replica served it; empty if
            unknown.
    """

    title: str
    services: Sequence[str]
    tally: Tally
    faults: Sequence[tuple[float, str]] = ()
    reads: Sequence[tuple[float, bool]] = ()


def write_report(run_report: RunReport, result: str, path: str) -> None:
    """Write an HTML page, or only the plots if ``path`` ends in .svg."""
    # Importing matplotlib takes half a second; other commands do not need it.
    from catkincrank.load.plots import draw_run  # noqa: WPS433

    drawn = draw_run(run_report)
    if not path.endswith(_DRAWING):
        drawn = _PAGE.format(
            title=html.escape(run_report.title),
            plots=drawn,
            result=html.escape(result),
        )
    Path(path).write_text(drawn, 'utf-8')
