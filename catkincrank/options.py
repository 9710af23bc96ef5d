"""Flags and environment variables, worked out from an options class.

A daemon's options are a frozen data class. Each field is a flag
(``listen_port`` is ``--listen-port``) and an environment variable
(``CATKINCRANK_LISTEN_PORT``); the flag goes before the variable. This module
loads no command-line library, so that a keeper stays small.
"""

import argparse
import dataclasses
import inspect
import re
import typing
from collections.abc import Mapping, Sequence
from typing import Any, NoReturn, TypeVar, final

import msgspec

from catkincrank.errors import OptionError

__all__ = ('convert_option', 'parse_options', 'variable_name')

OptionsT = TypeVar('OptionsT')
_PREFIX = 'CATKINCRANK_'
_ENTRY = re.compile(r'^ {4}(\w+): (.*(?:\n {8}.*)*)', re.MULTILINE)
_ON_WORDS = frozenset(('1', 'true', 'yes'))
_OFF_WORDS = frozenset(('0', 'false', 'no'))


def variable_name(field: str) -> str:
    """Return the environment variable of an option."""
    return _PREFIX + field.upper()


def parse_options(
    kind: type[OptionsT],
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> OptionsT:
    """Return checked options from flags, then the environment.

    Args:
        kind: Data class of the options.
        arguments: Command line after the command's name.
        environment: Environment variables.

    Raises:
        OptionError: A flag is unknown, missing or has a bad value.
    """
    given = _make_parser(kind).parse_args(list(arguments))
    hints = typing.get_type_hints(kind)
    chosen: dict[str, Any] = {}
    for field in dataclasses.fields(kind):
        text = getattr(given, field.name)
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
                'a value, also as {0}'.format(variable_name(field.name)),
            )
    return kind(**chosen)


def convert_option(option: str, text: str, hint: Any) -> Any:
    """Return ``text`` as a value of the type ``hint``.

    Raises:
        OptionError: The text does not fit the type.
    """
    raw: Any = text
    if typing.get_origin(hint) is tuple:
        raw = [part.strip() for part in text.split(',') if part.strip()]
    elif hint is bool:
        raw = _read_switch(text)
    parse = getattr(_element(hint), 'parse', None)
    try:
        if parse is not None:
            return _parse_each(parse, raw)
        return msgspec.convert(raw, hint, strict=False)
    except (msgspec.ValidationError, ValueError) as error:
        raise OptionError(option, text, _describe(error)) from None


@final
class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise OptionError(
            self.prog,
            message,
            'the flags that --help lists',
        )


def _make_parser(kind: type[Any]) -> _Parser:
    parser = _Parser(
        prog='catkincrank {0}'.format(
            kind.__name__.removesuffix('Flags').lower(),
        ),
        allow_abbrev=False,
    )
    hints = typing.get_type_hints(kind)
    described = _read_descriptions(kind)
    for field in dataclasses.fields(kind):
        switch = {'nargs': '?', 'const': 'true'}
        parser.add_argument(
            _flag_name(field.name),
            dest=field.name,
            metavar=field.name.upper(),
            help='{0} [{1}]'.format(
                described.get(field.name, '').replace('%', '%%'),
                variable_name(field.name),
            ),
            **(switch if hints[field.name] is bool else {}),
        )
    return parser


def _read_descriptions(kind: type[Any]) -> dict[str, str]:
    text = inspect.getdoc(kind) or ''
    return {
        found.group(1): ' '.join(found.group(2).split())
        for found in _ENTRY.finditer(text)
    }


def _flag_name(field: str) -> str:
    return '--{0}'.format(field.replace('_', '-'))


def _is_required(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _read_switch(text: str) -> bool | str:
    word = text.lower()
    if word in _ON_WORDS or word in _OFF_WORDS:
        return word in _ON_WORDS
    return text


def _element(hint: Any) -> Any:
    if typing.get_origin(hint) is tuple:
        return typing.get_args(hint)[0]
    return hint


def _parse_each(parse: Any, raw: str | list[str]) -> Any:
    if isinstance(raw, str):
        return parse(raw)
    return tuple(parse(part) for part in raw)


def _describe(error: Exception) -> str:
    return str(error).replace('Expected ', '').split(', got')[0]
