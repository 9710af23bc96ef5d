"""Conversion between data classes and the maps that pycapnp takes and gives.

Field names are camel case in a Cap'n Proto schema and snake case in Python.
Converters are built once for each class, from its type hints.
"""

import enum
import types
import typing
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from typing import Any

__all__ = ('build_packer', 'build_unpacker')

_Converter = Callable[[Any], Any]


def build_packer(hint: Any) -> _Converter | None:
    """Return a function from ``hint``'s values to maps, lists and scalars.

    ``None`` stands for values that go as they are.
    """
    if is_dataclass(hint):
        return _build_struct_packer(hint)
    if typing.get_origin(hint) is tuple:
        return _build_list_converter(build_packer(_get_item_hint(hint)), list)
    if _is_optional(hint):
        return build_packer(_get_item_hint(hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _get_enum_value
    return None


def build_unpacker(hint: Any) -> _Converter | None:
    """Return the inverse of what ``build_packer`` returns."""
    if is_dataclass(hint):
        return _build_struct_unpacker(hint)
    if typing.get_origin(hint) is tuple:
        return _build_list_converter(
            build_unpacker(_get_item_hint(hint)),
            tuple,
        )
    if _is_optional(hint):
        return build_unpacker(_get_item_hint(hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    return None


def _build_struct_packer(struct: type[Any]) -> _Converter:
    plan = _plan_fields(struct, build_packer)

    def pack(instance: Any) -> dict[str, Any]:  # noqa: WPS430
        packed = {}
        for name, member, convert in plan:
            found = getattr(instance, name)
            if found is not None:
                packed[member] = convert(found) if convert else found
        return packed

    return pack


def _build_struct_unpacker(struct: type[Any]) -> _Converter:
    plan = _plan_fields(struct, build_unpacker)

    def unpack(packed: dict[str, Any]) -> Any:  # noqa: WPS430
        found = {}
        for name, member, convert in plan:
            part = packed.get(member)
            if part is not None:
                found[name] = convert(part) if convert else part
        return struct(**found)

    return unpack


def _build_list_converter(
    convert: _Converter | None,
    make: Callable[[Any], Any],
) -> _Converter:
    if convert is None:
        return make
    return lambda found: make(map(convert, found))


def _plan_fields(
    struct: type[Any],
    build: Callable[[Any], _Converter | None],
) -> tuple[tuple[str, str, _Converter | None], ...]:
    hints = typing.get_type_hints(struct)
    return tuple(
        (field.name, _to_camel_case(field.name), build(hints[field.name]))
        for field in fields(struct)
    )


def _to_camel_case(name: str) -> str:
    first, *others = name.split('_')
    return first + ''.join(other.title() for other in others)


def _is_optional(hint: Any) -> bool:
    return typing.get_origin(hint) in {types.UnionType, typing.Union}


def _get_item_hint(hint: Any) -> Any:
    return typing.get_args(hint)[0]


def _get_enum_value(member: enum.Enum) -> Any:
    return member.value
