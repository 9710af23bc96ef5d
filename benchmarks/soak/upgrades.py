"""Replaces gateways by those of another build, one after the other."""

import io
import subprocess
import tarfile
from dataclasses import dataclass
from pathlib import Path
from signal import SIGTERM
from typing import final

import anyio

from benchmarks.soak.program import Program
from benchmarks.soak.testbed import Testbed

__all__ = ('Roll', 'choose_roll', 'extract_build')

_PACKAGE = 'catkincrank'


@final
@dataclass(frozen=True, slots=True)
class Roll:
    """A roll from one build to another.

    Attributes:
        first: Directory of the build before; ``None`` for this one.
        then: Directory of the build after.
        part: Part of the gateways that is replaced.
    """

    first: Path | None
    then: Path | None
    part: float = 1

    async def run(self, testbed: Testbed, seconds: float) -> None:
        """Replace the gateways in a period, while others serve."""
        programs = testbed.programs
        pause_s = seconds / (len(programs) + 1)
        for program in programs[: round(self.part * len(programs))]:
            await anyio.sleep(pause_s)  # noqa: WPS476
            await self._replace(program)  # noqa: WPS476

    async def _replace(self, program: Program) -> None:
        async with program.lock:
            await program.stop(SIGTERM)
            program.source = self.then
            await program.start()


def choose_roll(seed: int, earlier: Path) -> Roll:
    """Return the roll of a seed: an upgrade, a part of one, or a downgrade."""
    rolls = (
        Roll(earlier, None),
        Roll(earlier, None, part=0.5),
        Roll(None, earlier),
    )
    return rolls[seed % len(rolls)]


def extract_build(commit: str, folder: Path) -> Path:
    """Write the package as of a commit to a directory and return that.

    Raises:
        subprocess.CalledProcessError: The history has no such commit.
    """
    archive = subprocess.run(
        ['git', 'archive', commit, _PACKAGE],
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as members:
        members.extractall(folder, filter='data')
    return folder
