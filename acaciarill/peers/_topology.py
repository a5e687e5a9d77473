"""Decide who speaks to whom: rendezvous orders and the spread tree, as pure functions."""

import hashlib
from collections.abc import Iterable, Sequence

from .const import RELAYS_PER_DATA_CENTRE, TREE_FAN_OUT


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names ordered by their hash with the key; every daemon gets the same order."""
    return sorted(names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def distribution_tree_order(data_centre: str, names: Iterable[str]) -> list[str]:
    """Return the daemons of a data centre in the order of its spread tree."""
    return rendezvous_order("spread/" + data_centre, names)


def select_relays(order: Sequence[str]) -> list[str]:
    """Return the relays of a data centre, which alone watch the store."""
    return list(order[:RELAYS_PER_DATA_CENTRE])


def parent_candidates(order: Sequence[str], name: str) -> list[str]:
    """Return the parent of a daemon and its substitutes, the preferred one first."""
    if name not in order:
        return select_relays(order)
    rank = order.index(name)
    if rank < RELAYS_PER_DATA_CENTRE:
        return []
    preferred = (rank - RELAYS_PER_DATA_CENTRE) // TREE_FAN_OUT
    substitutes = [index for index in range(RELAYS_PER_DATA_CENTRE) if index != preferred]
    return [order[index] for index in (preferred, *substitutes)]
