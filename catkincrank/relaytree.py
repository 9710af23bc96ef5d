"""Distribution trees over nodes, built from rendezvous hashing.

Every node computes the trees from its own list of live nodes. While the lists
differ, some nodes may miss a push; the exchange of digests repairs that.
"""

from collections.abc import Iterable, Sequence

import xxhash

__all__ = ('FANOUT', 'find_children', 'find_entry_points', 'rank_names')

FANOUT = 4


def rank_names(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return ``names`` in the rendezvous order of ``key``.

    Adding or removing a name keeps the relative order of the others.
    """

    def weigh(name: str) -> tuple[int, str]:  # noqa: WPS430
        pair = '{0}\0{1}'.format(key, name)
        return xxhash.xxh64_intdigest(pair.encode('utf-8')), name

    return tuple(sorted(names, key=weigh))


def find_children(ranked: Sequence[str], name: str) -> tuple[str, ...]:
    """Return the names that ``name`` forwards a message to."""
    if name not in ranked:
        return ()
    first = ranked.index(name) * FANOUT + 1
    return tuple(ranked[first : first + FANOUT])


def find_entry_points(ranked: Sequence[str], name: str) -> tuple[str, ...]:
    """Return the names that the origin ``name`` of a message sends it to.

    The root and its children, so that a dead root does not cut off the tree.
    """
    return tuple(other for other in ranked[: FANOUT + 1] if other != name)
