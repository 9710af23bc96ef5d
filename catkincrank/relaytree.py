"""Who tells whom: rendezvous orders and the trees made from them.

Every node works the trees out from its own list of live nodes. Lists that
differ for a while cost some nodes a push, which the exchange of digests makes
up for.
"""

from collections.abc import Iterable, Sequence

import xxhash

__all__ = ('FANOUT', 'find_children', 'find_entrances', 'rank_names')

FANOUT = 4


def rank_names(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return ``names`` in the rendezvous order of ``key``.

    A name that comes or goes moves no other name past a third.
    """

    def weigh(name: str) -> tuple[int, str]:  # noqa: WPS430
        pair = '{0}\0{1}'.format(key, name)
        return xxhash.xxh64_intdigest(pair.encode('utf-8')), name

    return tuple(sorted(names, key=weigh))


def find_children(ranked: Sequence[str], name: str) -> tuple[str, ...]:
    """Return the names that ``name`` passes a message on to."""
    if name not in ranked:
        return ()
    first = ranked.index(name) * FANOUT + 1
    return tuple(ranked[first : first + FANOUT])


def find_entrances(ranked: Sequence[str], name: str) -> tuple[str, ...]:
    """Return the names that whoever starts a message sends it to.

    The root's children are among them, so that a dead root costs nothing.
    """
    return tuple(each for each in ranked[: FANOUT + 1] if each != name)
