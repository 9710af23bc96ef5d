"""Flags and environment variables, derived from an options class.

The options of a daemon are a frozen data class. Each field is a flag
(``listen_port`` is ``--listen-port``) and an environment variable
(``CATKINCRANK_LISTEN_PORT``); the flag takes precedence. Help texts come from
the class's doc comment. This module does not import typer, to keep the memory
of daemons small.
"""

import dataclasses
import inspect
import re
import typing
from collections.abc import Mapping, Sequence
from typing import Any, NoReturn, TypeVar

import msgspec

from catkincrank.errors import OptionError

__all__ = ('convert_option', 'parse_options', 'variable_name')

OptionsT = TypeVar('OptionsT')
_PREFIX = 'CATKINCRANK_'
_ATTRIBUTE = re.compile(r'^ {4}(\w+): (.*(?:\n {8}.*)*)', re.MULTILINE)
_TRUE_WORDS = frozenset(('1', 'true', 'yes'))
_FALSE_WORDS = frozenset(('0', 'false', 'no'))


def variable_name(field: str) -> str:
    """Return the name of the environment variable of an option."""
    return _PREFIX + field.upper()


def parse_options(
    kind: type[OptionsT],
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> OptionsT:
    """Parse and validate options from flags and the environment.

    Args:
        kind: Data class of the options.
        arguments: Command line after the command name.
        environment: Environment variables.

    Raises:
        OptionError: A flag is unknown, missing or has an invalid value.
    """
    given = _parse_pairs(kind, arguments)
    if given is None:
        given = _make_parser(kind).parse_args(list(arguments)).__dict__
    hints = typing.get_type_hints(kind)
    chosen: dict[str, Any] = {}
    for field in dataclasses.fields(kind):
        text = given.get(field.name)
        if text is None:
            text = environment.get(variable_name(field.name))
        if text is not None:
            chosen[field.name] = convert_option(
                _flag_name(field.name),
                text,
                hints[field.name],
            )
        elif _is_required(field):
            raise OptionError(
                _flag_name(field.name),
                '',
                'a value, which can also be set as {0}'.format(
                    variable_name(field.name)
                ),
            )
    return kind(**chosen)


def convert_option(option: str, text: str, hint: Any) -> Any:
    """Convert ``text`` to the type ``hint``.

    Raises:
        OptionError: The text is not valid for the type.
    """
    raw: Any = text
    if typing.get_origin(hint) is tuple:
        raw = [part.strip() for part in text.split(',') if part.strip()]
    elif hint is bool:
        raw = _parse_boolean(text)
    parse = getattr(_element_type(hint), 'parse', None)
    try:
        if parse is not None:
            return _parse_each(parse, raw)
        return msgspec.convert(raw, hint, strict=False)
    except (msgspec.ValidationError, ValueError) as error:
        raise OptionError(option, text, _describe(error)) from None


def _parse_pairs(
    kind: type[Any], arguments: Sequence[str]
) -> dict[str, str] | None:
    """Return the flags if each is followed by its value.

    Returns ``None`` for all else: help, errors and other forms are left to the
    parser, whose import takes longer than those of several modules.
    """
    fields = {
        _flag_name(one.name): one.name for one in dataclasses.fields(kind)
    }
    flags, values = arguments[::2], arguments[1::2]
    is_plain = len(flags) == len(values) and fields.keys() >= set(flags)
    if not is_plain or any(text.startswith('-') for text in values):
        return None
    return {fields[flag]: text for flag, text in zip(flags, values)}


def _make_parser(kind: type[Any]) -> Any:
    import argparse  # noqa: WPS433

    class Parser(argparse.ArgumentParser):  # noqa: WPS431
        def error(self, message: str) -> NoReturn:
            raise OptionError(
                self.prog,
                message,
                'the flags that --help lists',
            )

    parser = Parser(
        prog='catkincrank {0}'.format(
            kind.__name__.removesuffix('Flags').lower(),
        ),
        allow_abbrev=False,
    )
    hints = typing.get_type_hints(kind)
    described = _read_descriptions(kind)
    for field in dataclasses.fields(kind):
        boolean_arguments = {'nargs': '?', 'const': 'true'}
        parser.add_argument(
            _flag_name(field.name),
            dest=field.name,
            metavar=field.name.upper(),
            help='{0} [{1}]'.format(
                described.get(field.name, '').replace('%', '%%'),
                variable_name(field.name),
            ),
            **(boolean_arguments if hints[field.name] is bool else {}),
        )
    return parser


def _read_descriptions(kind: type[Any]) -> dict[str, str]:
    text = inspect.getdoc(kind) or ''
    return {
        found.group(1): ' '.join(found.group(2).split())
        for found in _ATTRIBUTE.finditer(text)
    }


def _flag_name(field: str) -> str:
    return '--{0}'.format(field.replace('_', '-'))


def _is_required(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _parse_boolean(text: str) -> bool | str:
    word = text.lower()
    if word in _TRUE_WORDS or word in _FALSE_WORDS:
        return word in _TRUE_WORDS
    return text


def _element_type(hint: Any) -> Any:
    if typing.get_origin(hint) is tuple:
        return typing.get_args(hint)[0]
    return hint


def _parse_each(parse: Any, raw: str | list[str]) -> Any:
    if isinstance(raw, str):
        return parse(raw)
    return tuple(parse(part) for part in raw)


def _describe(error: Exception) -> str:
    return str(error).replace('Expected ', '').split(', got')[0]
