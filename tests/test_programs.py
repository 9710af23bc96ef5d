import subprocess
import sys

import pytest

CHECK = """
import sys
from catkincrank import programs
from catkincrank.acknowledgement import acknowledgements
from catkincrank.endpoint import drivers

module, kind = programs.load_program({0!r})
programs.load_variants()
assert drivers.names() and acknowledgements.names()
assert 'typer' not in sys.modules and 'rich' not in sys.modules
assert {0!r} == 'proxy' or 'pg_mimic' not in sys.modules
"""


@pytest.mark.parametrize('name', ['proxy', 'keeper'])
def test_daemons_load_variants_without_importing_typer_or_rich(name):
    subprocess.run(
        [sys.executable, '-c', CHECK.format(name)], check=True, timeout=60
    )
