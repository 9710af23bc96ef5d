from dataclasses import dataclass

import pytest

from catkincrank.errors import OptionError
from catkincrank.options import parse_options


@dataclass(frozen=True, slots=True)
class SampleFlags:
    """Options of a sample.

    Attributes:
        name: Name of the process.
        port: Port that it
            listens on.
    """

    name: str
    port: int = 5432
    is_lazy: bool = False
    peers: tuple[str, ...] = ()
    limit_s: float = 1.5


def test_flags_override_the_environment():
    options = parse_options(
        SampleFlags,
        ['--name', 'a', '--peers', 'x, y', '--is-lazy'],
        {'CATKINCRANK_NAME': 'b', 'CATKINCRANK_PORT': '9'},
    )
    assert options == SampleFlags('a', 9, True, ('x', 'y'))


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        ([], '--name.*CATKINCRANK_NAME'),
        (['--name', 'a', '--port', 'many'], '--port.*many.*int'),
        (['--name', 'a', '--is-lazy', 'maybe'], '--is-lazy.*maybe.*bool'),
        (['--nam', 'a'], '--nam'),
    ],
)
def test_invalid_arguments_are_rejected(arguments, message):
    with pytest.raises(OptionError, match=message):
        parse_options(SampleFlags, arguments, {})


def test_help_lists_fields_with_their_descriptions(capsys):
    with pytest.raises(SystemExit):
        parse_options(SampleFlags, ['--help'], {})
    shown = ' '.join(capsys.readouterr().out.split())
    assert 'Port that it listens on. [CATKINCRANK_PORT]' in shown
