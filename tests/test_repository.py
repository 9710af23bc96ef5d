import re
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LOCAL_PATH = re.compile(rb'/(work|farm|root|home|tmp/bash_jobs)/')


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


def test_no_local_path_is_committed():
    own = Path(__file__).resolve()
    found = [
        path
        for path in _list_files()
        if path.resolve() != own and LOCAL_PATH.search(path.read_bytes())
    ]
    assert not found


def test_architecture_page_names_every_module():
    text = (ROOT / 'docs' / 'ARCHITECTURE.md').read_text()
    named = set(re.findall(r'`(\w+)(?:\.py|/)`', text))
    modules = {path.stem for path in (ROOT / 'catkincrank').glob('[a-z]*')}
    assert named == modules - {'__pycache__'}


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
def test_link_target_exists(link):
    page, target = link
    assert (page.parent / target).exists()


@pytest.mark.parametrize(
    ('page', 'module'),
    [
        (page, module)
        for page in (
            *(ROOT / name for name in ('README.md', 'CHANGES')),
            *(ROOT / 'docs').rglob('*.md'),
        )
        for module in sorted(
            set(re.findall(r'`([\w/]+\.py)`', page.read_text()))
        )
    ],
    ids=lambda value: getattr(value, 'stem', value),
)
def test_module_named_on_a_page_exists(page, module):
    modules = (
        path
        for folder in ('catkincrank', 'benchmarks', 'tests')
        for path in (ROOT / folder).rglob('*.py')
    )
    assert any(path.as_posix().endswith('/' + module) for path in modules)


@pytest.mark.parametrize(
    'page',
    ['README.md', 'CHANGES', 'docs/ARCHITECTURE.md'],
)
def test_page_is_not_empty(page):
    assert (ROOT / page).stat().st_size > 0
