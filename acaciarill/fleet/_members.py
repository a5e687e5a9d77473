"""Track the daemons by their registrations and pings, and decide which one succeeds which."""

from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message

from ..peers import rendezvous_order
from .const import PEER_DEAD_AFTER_S, STORE_CONTACT_TTL_S

ROLE_FRONT = "front"


@dataclass(slots=True)
class Member:
    """Hold the last known state of one daemon; times are on this daemon's clock.

    `is_cut_off` says that it has lost its links to the upstreams. `incarnation` differs after each
    restart; it is empty until the daemon was heard of, or if its build does not tell it.
    """

    name: str
    address: str
    data_centre: str
    role: str
    registered: bool = False
    last_contact_at: float = 0.0
    asked_at: float = 0.0
    unreachable_since: float | None = None
    draining: bool = False
    is_cut_off: bool = False
    incarnation: str = ""
    store_reached_at: float = -STORE_CONTACT_TTL_S


class Members:
    """Hold the state of all daemons; stale state delays requests but breaks no guarantee.

    `on_registered` is called with the name of each other daemon that is new on the list.
    """

    def __init__(
        self, name: str, address: str, data_centre: str, role: str, clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.clock = clock
        self.own = Member(name, address, data_centre, role, registered=True)
        self.by_name: dict[str, Member] = {name: self.own}
        self.on_registered: Callable[[str], None] = lambda name: None

    def update_registered(self, members: list[Member]) -> None:
        """Apply the list of daemons that are registered in the store."""
        names = {member.name for member in members}
        for member in members:
            existing = self.by_name.get(member.name)
            if existing is None:
                member.last_contact_at = self.clock()
                self.by_name[member.name] = member
                self.on_registered(member.name)
            elif existing is not self.own:
                if existing.address != member.address:
                    existing.unreachable_since = None
                existing.address, existing.data_centre = member.address, member.data_centre
                existing.role, existing.registered = member.role, True
        for name in self.by_name.keys() - names - {self.name}:
            if self.by_name[name].registered:
                del self.by_name[name]

    def record_ping(
        self,
        name: str,
        address: str,
        data_centre: str,
        role: str,
        store_reached: bool,
        draining: bool = False,
        is_cut_off: bool = False,
        incarnation: str = "",
    ) -> None:
        """Record what a daemon reported of itself in a ping or in the reply to one."""
        if name == self.name:
            return
        now = self.clock()
        member = self.by_name.get(name)
        if member is None:
            member = self.by_name[name] = Member(name, address, data_centre, role)
            log_message(message_type="peer:discovered", peer=name, data_centre=data_centre)
        if member.unreachable_since is not None:
            log_message(message_type="peer:recovered", peer=name)
        member.address, member.last_contact_at, member.unreachable_since = address, now, None
        member.draining, member.is_cut_off = draining, is_cut_off
        member.incarnation = incarnation
        if store_reached:
            member.store_reached_at = now

    def record_ping_failure(self, name: str) -> None:
        """Record that a daemon did not answer a ping."""
        member = self.by_name.get(name)
        if member is not None and member.unreachable_since is None:
            member.unreachable_since = self.clock()
            log_message(
                message_type="peer:lost",
                peer=name,
                last_contact_s_ago=round(self.clock() - member.last_contact_at, 1),
            )

    def reachable_at(self, address: str) -> Member | None:
        """Return the other daemon with an address unless it is known to be unreachable."""
        for member in self.by_name.values():
            if member.address == address and member is not self.own:
                return member if member.unreachable_since is None else None
        return None

    def is_dead(self, name: str) -> bool:
        """Return whether a daemon is unknown or has not answered for PEER_DEAD_AFTER_S."""
        if name == self.name:
            return False
        member = self.by_name.get(name)
        if member is None:
            return True
        return (
            member.unreachable_since is not None
            and self.clock() - member.unreachable_since >= PEER_DEAD_AFTER_S - 1.0
            and self.clock() - member.last_contact_at >= PEER_DEAD_AFTER_S
        )

    def ring(self, role: str = ROLE_FRONT) -> list[str]:
        """Return the names of a role's daemons in the order in which they succeed each other."""
        return sorted(member.name for member in self.by_name.values() if member.role == role)

    def predecessors(self) -> list[str]:
        """Return the daemons before this one in the ring, back to the first that is not dead."""
        ring = self.ring(self.own.role)
        if self.name not in ring:
            return []
        index = ring.index(self.name)
        predecessors = []
        for step in range(1, len(ring)):
            name = ring[index - step]
            predecessors.append(name)
            if not self.is_dead(name):
                break
        return predecessors

    def ring_before(self, count: int) -> list[str]:
        """Return the names of the daemons before this one in the ring, the nearest first."""
        ring = self.ring(self.own.role)
        if self.name not in ring:
            return []
        index = ring.index(self.name)
        return [ring[index - step] for step in range(1, min(count + 1, len(ring)))]

    def has_lost_neighbour(self, period_s: float) -> bool:
        """Return whether a daemon right before this one in the ring was lost in a past period."""
        lost_times = [self.by_name[name].unreachable_since for name in self.predecessors()]
        now = self.clock()
        return any(at is not None and now - at < period_s for at in lost_times)

    def is_successor_of(self, owner: str) -> bool:
        """Return whether an owner is dead and this daemon is the next live one in the ring."""
        if not self.is_dead(owner):
            return False
        ring = sorted({*self.ring(self.own.role), owner})
        index = ring.index(owner)
        for step in range(1, len(ring)):
            name = ring[(index + step) % len(ring)]
            if name == self.name:
                return True
            if not self.is_dead(name):
                return False
        return False

    def choose_owner(self, key: str, excluded: str = "") -> str:
        """Return a reachable daemon of this role that is not draining as owner, or else this one.

        One that has lost its links to the upstreams is chosen only if all others have too. All
        daemons with the same state choose the same owner for a key.
        """
        live = [
            name
            for name in self.ring(self.own.role)
            if name != excluded
            and not self.by_name[name].draining
            and self.by_name[name].unreachable_since is None
        ]
        linked = [name for name in live if not self.by_name[name].is_cut_off]
        return rendezvous_order(key, linked or live)[0] if live else self.name

    def live_order(self, key: str) -> list[str]:
        """Return the reachable daemons that are not draining, in the key's rendezvous order."""
        live = [
            member.name
            for member in self.by_name.values()
            if member.unreachable_since is None and not member.draining
        ]
        return rendezvous_order(key, live)

    def store_relays(self) -> list[Member]:
        """Return the peers that can relay calls to the store, the latest contact first."""
        now = self.clock()
        relays = [
            member
            for member in self.by_name.values()
            if member is not self.own
            and member.unreachable_since is None
            and now - member.store_reached_at < STORE_CONTACT_TTL_S
        ]
        return sorted(relays, key=lambda member: -member.store_reached_at)

    def daemons(self, data_centre: str | None = None) -> list[str]:
        """Return the names of the live daemons, this one included."""
        return [
            member.name
            for member in self.by_name.values()
            if not self.is_dead(member.name) and data_centre in (None, member.data_centre)
        ]

    def busy_roles_last(self, order: list[str]) -> list[str]:
        """Return the names in the given order, with the daemons that serve clients moved last.

        Those that have lost their links to the upstreams come after all others.
        """
        return sorted(
            order,
            key=lambda name: (
                self.by_name[name].is_cut_off,
                self.by_name[name].role == ROLE_FRONT,
            ),
        )

    def has_linked_peer(self) -> bool:
        """Return whether another live daemon has its links to the upstreams."""
        return any(
            not member.is_cut_off and not member.draining and not self.is_dead(member.name)
            for member in self.by_name.values()
            if member is not self.own
        )
