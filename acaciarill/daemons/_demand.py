"""Aggregate the customers' demand over all daemons along the distribution tree."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from ..config import ConfigCoordinator
from ._table_sync import CountTable, TableReceiver, TableSender, read_acked_version
from .const import DEMAND_TTL_S

Demand = Counter[tuple[str, str]]
"""Number of running and waiting requests by target and customer."""

_MAX_TARGETS = 256
"""Number of targets that a message can index with one byte."""
_MAX_CUSTOMERS = 65_536
"""Number of customers that a message can index with two bytes."""


class Relation(StrEnum):
    """Define what another daemon is to this one in the distribution tree.

    A sibling is the other relay of the data centre; a remote peer is in another data centre.
    """

    CHILD = "child"
    PARENT = "parent"
    SIBLING = "sibling"
    REMOTE = "remote"


@dataclass(slots=True)
class _Peer:
    """Hold the demand exchanged with one daemon; `updated_at` is the time of its last message."""

    relation: Relation
    data_centre: str
    sender: TableSender = field(default_factory=TableSender)
    receiver: TableReceiver = field(default_factory=TableReceiver)
    acked_version: int = 0
    demand: Demand = field(default_factory=Counter)
    updated_at: float = 0.0


class DemandTable:
    """Compute the demand of this daemon's subtree, of its data centre and of all daemons.

    A child sends its parent the total of its subtree; the two relays of a data centre send each
    other theirs, and relays of different data centres the total of their data centre. Parents
    send the overall total to their children. A peer's demand expires after DEMAND_TTL_S.
    """

    def __init__(
        self,
        config: ConfigCoordinator,
        clock: Callable[[], float],
        local_demand: Callable[[], Demand],
    ) -> None:
        self.config = config
        self.clock = clock
        self.local_demand = local_demand
        self.peers: dict[str, _Peer] = {}
        self.targets: list[str] = []
        self.customers: list[str] = []
        config.subscribe(self._refresh)

    def _refresh(self) -> None:
        """Renumber targets and customers, and restart every exchange with full tables."""
        sections = self.config.document.sections.values()
        targets = sorted(t.name for s in sections for t in (*s.models, *s.services))
        self.targets = targets[:_MAX_TARGETS]
        self.customers = sorted(self.config.document.customers)[:_MAX_CUSTOMERS]
        for peer in self.peers.values():
            peer.sender, peer.receiver, peer.acked_version = TableSender(), TableReceiver(), 0

    def subtree_total(self) -> Demand:
        """Return the demand of this daemon and of its subtree."""
        return self.local_demand() + self._sum_peers(Relation.CHILD)

    def data_centre_total(self) -> Demand:
        """Return the demand of the data centre; complete only at a relay."""
        return self.subtree_total() + self._sum_peers(Relation.SIBLING)

    def total(self) -> Demand:
        """Return the demand over all daemons, as far as this daemon knows it."""
        parents = list(self._active_peers(Relation.PARENT))
        if parents:
            return max(parents, key=lambda peer: peer.updated_at).demand
        newest: dict[str, _Peer] = {}  # both relays of a data centre send its total
        for peer in self._active_peers(Relation.REMOTE):
            current = newest.get(peer.data_centre)
            if current is None or current.updated_at < peer.updated_at:
                newest[peer.data_centre] = peer
        return self.data_centre_total() + _sum_peers(newest.values())

    def _sum_peers(self, relation: Relation) -> Demand:
        return _sum_peers(self._active_peers(relation))

    def _active_peers(self, relation: Relation) -> Iterable[_Peer]:
        oldest_valid = self.clock() - DEMAND_TTL_S
        return (
            p for p in self.peers.values() if p.relation is relation and p.updated_at > oldest_valid
        )

    def pack_message(self, name: str, relation: Relation, data_centre: str) -> bytes:
        """Return the next message for a peer: the changes of the demand that it needs."""
        peer = self._peer(name, relation, data_centre)
        if relation is Relation.CHILD:
            demand = self.total()
        elif relation is Relation.REMOTE:
            demand = self.data_centre_total()
        else:
            demand = self.subtree_total()
        return peer.sender.pack(
            self._to_indexes(demand), peer.acked_version, peer.receiver.table_version
        )

    def apply_message(
        self, name: str, relation: Relation, data_centre: str, data: bytes, revision: int
    ) -> None:
        """Apply a peer's message; ignore one of another revision, whose indexes differ."""
        peer = self._peer(name, relation, data_centre)
        if revision != self.config.document.revision:
            return
        peer.acked_version = read_acked_version(data)
        if peer.receiver.apply(data):
            peer.demand = self._to_names(peer.receiver.table)
            peer.updated_at = self.clock()

    def _peer(self, name: str, relation: Relation, data_centre: str) -> _Peer:
        peer = self.peers.get(name)
        if peer is None or peer.relation is not relation:
            self._remove_expired_peers()
            peer = self.peers[name] = _Peer(relation, data_centre)
        return peer

    def _remove_expired_peers(self) -> None:
        oldest_valid = self.clock() - DEMAND_TTL_S
        for name in [
            name for name, peer in self.peers.items() if 0 < peer.updated_at < oldest_valid
        ]:
            del self.peers[name]

    def _to_indexes(self, demand: Demand) -> CountTable:
        targets = {name: index for index, name in enumerate(self.targets)}
        customers = {name: index for index, name in enumerate(self.customers)}
        return Counter(
            {
                (targets[target], customers[customer]): count
                for (target, customer), count in demand.items()
                if target in targets and customer in customers
            }
        )

    def _to_names(self, table: CountTable) -> Demand:
        return Counter(
            {
                (self.targets[target], self.customers[customer]): count
                for (target, customer), count in table.items()
                if target < len(self.targets) and customer < len(self.customers)
            }
        )


def _sum_peers(peers: Iterable[_Peer]) -> Demand:
    total: Demand = Counter()
    for peer in peers:
        total += peer.demand
    return total
