"""Differences between two subtrees, path by path."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, final

import msgspec

__all__ = ('Edit', 'compare_subtrees', 'edit_subtree')

_ABSENT = '(absent)'


@final
@dataclass(frozen=True, slots=True)
class Edit:
    """One value that differs.

    Attributes:
        path: Path of the value, e.g. ``services.ledger.endpoints[a].port``.
        before: The value as JSON, or ``(absent)``.
        after: The value as JSON, or ``(absent)``.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        return '{0}: {1} -> {2}'.format(self.path, self.before, self.after)


def compare_subtrees(before: bytes, after: bytes) -> tuple[Edit, ...]:
    """Return the edits that turn subtree ``before`` into ``after``."""
    old, new = _flatten_body(before), _flatten_body(after)
    return tuple(
        Edit(path, old.get(path, _ABSENT), new.get(path, _ABSENT))
        for path in sorted({*old, *new})
        if old.get(path) != new.get(path)
    )


def edit_subtree(body: bytes, path: str, text: str) -> bytes:
    """Return the subtree with the value at ``path`` replaced.

    Args:
        body: The subtree as JSON.
        path: Path with parts separated by dots; an element of a list is
            named by its index or its ``name``, as in ``endpoints[a]``.
        text: The value as JSON; other text is taken as a string.

    Raises:
        KeyError: The path names a list element that does not exist.
    """
    tree = msgspec.json.decode(body) if body else {}
    parts = path.replace('[', '.').replace(']', '').split('.')
    parent = tree
    for part in parts[:-1]:
        parent = _step_into(parent, part)
    _assign(parent, parts[-1], _parse_value(text))
    return msgspec.json.encode(tree)


def _flatten_body(body: bytes) -> dict[str, str]:
    return dict(_flatten('', msgspec.json.decode(body))) if body else {}


def _flatten(path: str, node: Any) -> Iterator[tuple[str, str]]:
    if isinstance(node, dict) and node:
        for name, child in node.items():
            yield from _flatten('{0}.{1}'.format(path, name), child)
    elif isinstance(node, list) and node:
        for index, child in enumerate(node):
            label = _label_element(index, child)
            yield from _flatten('{0}[{1}]'.format(path, label), child)
    else:
        yield path.lstrip('.'), msgspec.json.encode(node).decode('utf-8')


def _label_element(index: int, element: Any) -> str:
    if isinstance(element, dict):
        return element.get('name', str(index))
    return str(index)


def _step_into(node: Any, part: str) -> Any:
    if isinstance(node, list):
        return node[_find_element(node, part)]
    if part not in node:
        node[part] = {}
    return node[part]


def _assign(node: Any, part: str, value: Any) -> None:
    if isinstance(node, list):
        node[_find_element(node, part)] = value
    else:
        node[part] = value


def _find_element(elements: list[Any], part: str) -> int:
    for index, element in enumerate(elements):
        if _label_element(index, element) == part or str(index) == part:
            return index
    raise KeyError(part)


def _parse_value(text: str) -> Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
