"""What the report of a run shows, and the page that holds it."""

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
{picture}
<h2>Result</h2><pre>{result}</pre>
</body></html>
"""


@final
@dataclass(frozen=True, slots=True)
class RunReport:
    """What is drawn.

    Attributes:
        title: Title of the page.
        services: Names of the services.
        tally: What came of the requests.
        faults: Times of the faults and their names.
        reads: When each read ran and whether on a replica; empty if unknown.
    """

    title: str
    services: Sequence[str]
    tally: Tally
    faults: Sequence[tuple[float, str]] = ()
    reads: Sequence[tuple[float, bool]] = ()


def write_report(picture: RunReport, result: str, path: str) -> None:
    """Write an HTML page, or the plots alone when ``path`` ends in .svg."""
    # Loading the plotting library costs every other command half a second.
    from catkincrank.load.plots import draw_run  # noqa: WPS433

    drawn = draw_run(picture)
    if not path.endswith(_DRAWING):
        drawn = _PAGE.format(
            title=html.escape(picture.title),
            picture=drawn,
            result=html.escape(result),
        )
    Path(path).write_text(drawn, 'utf-8')
