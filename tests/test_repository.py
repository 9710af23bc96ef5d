import re
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MACHINE_PATH = re.compile(rb'/(work|farm|root|home|tmp/bash_jobs)/')


def _list_files() -> list[Path]:
    listing = subprocess.run(
        ['git', 'ls-files', '-z'],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if listing.returncode:
        pytest.skip('not a git checkout')
    names = listing.stdout.decode().split('\0')
    return [ROOT / name for name in names if name and (ROOT / name).is_file()]


def test_no_path_of_a_machine_is_committed():
    own = Path(__file__).resolve()
    found = [
        path
        for path in _list_files()
        if path.resolve() != own and MACHINE_PATH.search(path.read_bytes())
    ]
    assert not found


def test_the_map_of_modules_is_complete():
    text = (ROOT / 'docs' / 'ARCHITECTURE.md').read_text()
    named = set(re.findall(r'`(\w+)(?:\.py|/)`', text))
    there = {path.stem for path in (ROOT / 'catkincrank').glob('[a-z]*')}
    assert named == there - {'__pycache__'}


@pytest.mark.parametrize(
    'link',
    [
        (page, target)
        for page in (ROOT / 'README.md', *(ROOT / 'docs').glob('*.md'))
        for target in re.findall(
            r'\]\(([^)#:]+)(?:#[^)]*)?\)', page.read_text()
        )
    ],
    ids=lambda link: '{0}-{1}'.format(link[0].stem, link[1]),
)
def test_link_leads_to_a_page(link):
    page, target = link
    assert (page.parent / target).exists()


@pytest.mark.parametrize(
    'page',
    ['README.md', 'CHANGES', 'docs/ARCHITECTURE.md'],
)
def test_page_exists(page):
    assert (ROOT / page).stat().st_size > 0
