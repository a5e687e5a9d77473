"""Sum customers' demand over all daemons along the tree, a few changes in each heartbeat."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from ..config import ConfigCoordinator
from ._table_sync import Table, TableReceiver, TableSender, confirmed_in
from .const import DEMAND_KEPT_S

Demand = Counter[tuple[str, str]]
"""Requests running or waiting, by target and customer."""

_MOST_TARGETS = 256
_MOST_CUSTOMERS = 65_536


class Relation(StrEnum):
    """Name the place of another daemon in the spread tree, seen from this one."""

    CHILD = "child"
    PARENT = "parent"
    SIBLING = "sibling"
    REMOTE = "remote"


@dataclass(slots=True)
class _Peer:
    """Hold what is exchanged with one daemon; `at` is when its demand was last renewed."""

    relation: Relation
    data_centre: str
    sender: TableSender = field(default_factory=TableSender)
    receiver: TableReceiver = field(default_factory=TableReceiver)
    confirmed: int = 0
    demand: Demand = field(default_factory=Counter)
    at: float = 0.0


class DemandTable:
    """Hold the demand of this daemon's part of the tree and of all others.

    A child tells its parent the sum of its subtree; two relays of a data centre tell each other
    theirs, and relays of different data centres their data centre's. Totals go down. What was
    not renewed for a few seconds is forgotten.
    """

    def __init__(
        self, config: ConfigCoordinator, clock: Callable[[], float], own: Callable[[], Demand]
    ) -> None:
        self.config = config
        self.clock = clock
        self.own = own
        self.peers: dict[str, _Peer] = {}
        self.targets: list[str] = []
        self.customers: list[str] = []
        config.subscribe(self._refresh)

    def _refresh(self) -> None:
        """Number targets and customers anew, so that every exchange starts with whole tables."""
        sections = self.config.document.sections.values()
        targets = sorted(t.name for s in sections for t in (*s.models, *s.services))
        self.targets = targets[:_MOST_TARGETS]
        self.customers = sorted(self.config.document.customers)[:_MOST_CUSTOMERS]
        for peer in self.peers.values():
            peer.sender, peer.receiver, peer.confirmed = TableSender(), TableReceiver(), 0

    def subtree(self) -> Demand:
        """Return the demand of this daemon and of those below it."""
        return self.own() + self._sum(Relation.CHILD)

    def data_centre(self) -> Demand:
        """Return the demand of the data centre, as a relay knows it."""
        return self.subtree() + self._sum(Relation.SIBLING)

    def total(self) -> Demand:
        """Return the demand over all daemons, as far as it is known here."""
        parents = list(self._fresh(Relation.PARENT))
        if parents:
            return max(parents, key=lambda peer: peer.at).demand
        newest: dict[str, _Peer] = {}
        for peer in self._fresh(Relation.REMOTE):
            known = newest.get(peer.data_centre)
            if known is None or known.at < peer.at:
                newest[peer.data_centre] = peer
        return self.data_centre() + _sum(newest.values())

    def _sum(self, relation: Relation) -> Demand:
        return _sum(self._fresh(relation))

    def _fresh(self, relation: Relation) -> Iterable[_Peer]:
        horizon = self.clock() - DEMAND_KEPT_S
        return (p for p in self.peers.values() if p.relation is relation and p.at > horizon)

    def pack_for(self, name: str, relation: Relation, data_centre: str) -> bytes:
        """Return what a peer is to be told in the next message."""
        peer = self._peer(name, relation, data_centre)
        if relation is Relation.CHILD:
            demand = self.total()
        elif relation is Relation.REMOTE:
            demand = self.data_centre()
        else:
            demand = self.subtree()
        return peer.sender.pack(self._numbered(demand), peer.confirmed, peer.receiver.table_version)

    def take_from(
        self, name: str, relation: Relation, data_centre: str, data: bytes, revision: int
    ) -> None:
        """Take a peer's message; one of another revision numbers other names, so it is void."""
        peer = self._peer(name, relation, data_centre)
        if revision != self.config.document.revision:
            return
        peer.confirmed = confirmed_in(data)
        if peer.receiver.take(data):
            peer.demand = self._named(peer.receiver.table)
            peer.at = self.clock()

    def _peer(self, name: str, relation: Relation, data_centre: str) -> _Peer:
        peer = self.peers.get(name)
        if peer is None or peer.relation is not relation:
            self._forget_old()
            peer = self.peers[name] = _Peer(relation, data_centre)
        return peer

    def _forget_old(self) -> None:
        horizon = self.clock() - DEMAND_KEPT_S
        for name in [name for name, peer in self.peers.items() if 0 < peer.at < horizon]:
            del self.peers[name]

    def _numbered(self, demand: Demand) -> Table:
        targets = {name: number for number, name in enumerate(self.targets)}
        customers = {name: number for number, name in enumerate(self.customers)}
        return Counter(
            {
                (targets[target], customers[customer]): count
                for (target, customer), count in demand.items()
                if target in targets and customer in customers
            }
        )

    def _named(self, table: Table) -> Demand:
        return Counter(
            {
                (self.targets[target], self.customers[customer]): count
                for (target, customer), count in table.items()
                if target < len(self.targets) and customer < len(self.customers)
            }
        )


def _sum(peers: Iterable[_Peer]) -> Demand:
    total: Demand = Counter()
    for peer in peers:
        total += peer.demand
    return total
