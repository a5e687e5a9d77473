"""Order daemons by rendezvous hashing and derive the distribution tree from the order."""

import hashlib
from collections.abc import Iterable, Sequence

from .const import RELAYS_PER_DATA_CENTRE, TREE_FAN_OUT


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of their rendezvous hash for a key.

    Daemons with the same list of names compute the same order without communicating, and removing
    a name leaves the order of the others as it is.
    """
    return sorted(names, key=lambda name: rendezvous_rank(key, name))


def rendezvous_rank(key: str, name: str) -> bytes:
    """Return the rendezvous hash of a name for a key, by which the names are ordered."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def distribution_tree_order(data_centre: str, names: Iterable[str]) -> list[str]:
    """Return the daemons of a data centre in the order of its distribution tree, relays first."""
    return rendezvous_order("spread/" + data_centre, names)


def select_relays(order: Sequence[str]) -> list[str]:
    """Return the relays of a data centre, the roots of its tree: only they watch the store."""
    return list(order[:RELAYS_PER_DATA_CENTRE])


def parent_candidates(order: Sequence[str], name: str) -> list[str]:
    """Return the parent of a daemon and its substitutes, preferred first; empty for a relay.

    The preferred parent is the daemon whose TREE_FAN_OUT children include this one; the substitutes
    are relays. A daemon that is not in the order yet uses the relays.
    """
    if name not in order:
        return select_relays(order)
    rank = order.index(name)
    if rank < RELAYS_PER_DATA_CENTRE:
        return []
    preferred_rank = (rank - RELAYS_PER_DATA_CENTRE) // TREE_FAN_OUT
    substitute_ranks = [index for index in range(RELAYS_PER_DATA_CENTRE) if index != preferred_rank]
    return [order[index] for index in (preferred_rank, *substitute_ranks)]
