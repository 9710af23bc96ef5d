"""Conversion between data classes and Cap'n Proto builders and readers.

Field names are camel case in a Cap'n Proto schema and snake case in Python.
Converters are built once for each class, from its type hints, and access each
field directly: conversion through dictionaries costs several times as much.
"""

import enum
import types
import typing
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from typing import Any

__all__ = ('build_reader', 'build_writer')

# More than any message holds; each element takes microseconds to decode.
_MAX_LIST_LENGTH = 65536
_Write = Callable[[Any, Any], None]
_Read = Callable[[Any], Any]
_WriteField = Callable[[Any, str, Any], None]
_ReadField = Callable[[Any, str], Any]


def build_writer(struct: type[Any]) -> _Write:
    """Return a function that copies an instance into a builder."""
    hints = typing.get_type_hints(struct)
    converters = tuple(
        (
            field.name,
            _to_camel_case(field.name),
            _choose_field_writer(hints[field.name]),
        )
        for field in fields(struct)
    )

    def write(builder: Any, instance: Any) -> None:  # noqa: WPS430
        for name, member, write_field in converters:
            write_field(builder, member, getattr(instance, name))

    return write


def build_reader(struct: type[Any]) -> _Read:
    """Return a function that makes an instance from a reader."""
    hints = typing.get_type_hints(struct)
    converters = tuple(
        (
            _to_camel_case(field.name),
            _choose_field_reader(hints[field.name]),
        )
        for field in fields(struct)
    )

    def read(reader: Any) -> Any:  # noqa: WPS430
        return struct(
            *[read_field(reader, name) for name, read_field in converters]
        )

    return read


def _choose_field_writer(hint: Any) -> _WriteField:
    if is_dataclass(hint):
        return _make_struct_writer(build_writer(hint))
    if typing.get_origin(hint) is tuple:
        return _choose_list_writer(typing.get_args(hint)[0])
    if _is_optional(hint):
        return _make_optional_writer(typing.get_args(hint)[0])
    if _is_enum(hint):
        return _write_enum
    return setattr


def _choose_field_reader(hint: Any) -> _ReadField:
    if is_dataclass(hint):
        return _make_struct_reader(build_reader(hint))
    if typing.get_origin(hint) is tuple:
        return _choose_list_reader(typing.get_args(hint)[0])
    if _is_optional(hint):
        return _make_optional_reader(typing.get_args(hint)[0])
    if _is_enum(hint):
        return lambda reader, member: hint(str(getattr(reader, member)))
    return getattr


def _make_struct_writer(write: _Write) -> _WriteField:
    def write_field(builder: Any, member: str, content: Any) -> None:  # noqa: WPS430
        write(builder.init(member), content)

    return write_field


def _make_struct_reader(read: _Read) -> _ReadField:
    return lambda reader, member: read(getattr(reader, member))


def _make_optional_writer(hint: Any) -> _WriteField:
    write = build_writer(hint)

    def write_field(builder: Any, member: str, content: Any) -> None:  # noqa: WPS430
        if content is not None:
            write(builder.init(member), content)

    return write_field


def _make_optional_reader(hint: Any) -> _ReadField:
    read = build_reader(hint)

    def read_field(reader: Any, member: str) -> Any:  # noqa: WPS430
        if reader._has(member):  # noqa: SLF001
            return read(getattr(reader, member))
        return None

    return read_field


def _choose_list_writer(hint: Any) -> _WriteField:
    if not is_dataclass(hint):
        return _write_list
    write = build_writer(hint)

    def write_structs(builder: Any, member: str, content: Any) -> None:  # noqa: WPS430
        slots = builder.init(member, len(content))
        for index, part in enumerate(content):
            write(slots[index], part)

    return write_structs


def _choose_list_reader(hint: Any) -> _ReadField:
    if not is_dataclass(hint):
        return lambda reader, member: tuple(_bound(getattr(reader, member)))
    read = build_reader(hint)
    return lambda reader, member: tuple(
        map(read, _bound(getattr(reader, member)))
    )


def _bound(found: Any) -> Any:
    """Return a list unless it is too long.

    A damaged message of a few bytes can announce a list of 500 million empty
    elements.

    Raises:
        ValueError: The list is too long.
    """
    if len(found) > _MAX_LIST_LENGTH:
        raise ValueError('list of {0} elements'.format(len(found)))
    return found


def _write_list(builder: Any, member: str, content: Any) -> None:
    setattr(builder, member, list(content))


def _write_enum(builder: Any, member: str, content: enum.Enum) -> None:
    setattr(builder, member, content.value)


def _to_camel_case(name: str) -> str:
    first, *others = name.split('_')
    return first + ''.join(other.title() for other in others)


def _is_optional(hint: Any) -> bool:
    return typing.get_origin(hint) in {types.UnionType, typing.Union}


def _is_enum(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, enum.Enum)
