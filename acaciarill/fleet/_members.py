"""Know the other daemons from the store's list and from pings, and whom to succeed."""

from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message

from ..peers import rendezvous_order
from .const import STORE_FRESH_S, SUSPECT_AFTER_S

ROLE_FRONT = "front"


@dataclass(slots=True)
class Member:
    """Hold what is known of one daemon; times are on this daemon's clock."""

    name: str
    address: str
    data_centre: str
    role: str
    listed: bool = False
    heard_at: float = 0.0
    asked_at: float = 0.0
    failed_since: float | None = None
    draining: bool = False
    store_reached_at: float = -STORE_FRESH_S


class Members:
    """Hold the daemons of the system; a wrong view costs time, never a promise."""

    def __init__(
        self, name: str, address: str, data_centre: str, role: str, clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.clock = clock
        self.own = Member(name, address, data_centre, role, listed=True)
        self.members: dict[str, Member] = {name: self.own}

    def note_listed(self, found: list[Member]) -> None:
        """Take the daemons that registered in the store."""
        names = {member.name for member in found}
        for member in found:
            known = self.members.get(member.name)
            if known is None:
                member.heard_at = self.clock()
                self.members[member.name] = member
            elif known is not self.own:
                if known.address != member.address:
                    known.failed_since = None
                known.address, known.data_centre = member.address, member.data_centre
                known.role, known.listed = member.role, True
        for name in self.members.keys() - names - {self.name}:
            if self.members[name].listed:
                del self.members[name]

    def note_heard(
        self,
        name: str,
        address: str,
        data_centre: str,
        role: str,
        store_reached: bool,
        draining: bool = False,
    ) -> None:
        """Take what a daemon said of itself in a ping or its answer."""
        if name == self.name:
            return
        now = self.clock()
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = Member(name, address, data_centre, role)
            log_message(message_type="peer:found", peer=name, data_centre=data_centre)
        if member.failed_since is not None:
            log_message(message_type="peer:regained", peer=name)
        member.address, member.heard_at, member.failed_since = address, now, None
        member.draining = draining
        if store_reached:
            member.store_reached_at = now

    def note_failed(self, name: str) -> None:
        """Note that a daemon did not answer a ping."""
        member = self.members.get(name)
        if member is not None and member.failed_since is None:
            member.failed_since = self.clock()
            log_message(
                message_type="peer:lost",
                peer=name,
                heard_s_ago=round(self.clock() - member.heard_at, 1),
            )

    def dead(self, name: str) -> bool:
        """Tell whether a daemon is unknown or has failed to answer for too long."""
        if name == self.name:
            return False
        member = self.members.get(name)
        if member is None:
            return True
        return (
            member.failed_since is not None
            and self.clock() - member.failed_since >= SUSPECT_AFTER_S - 1.0
            and self.clock() - member.heard_at >= SUSPECT_AFTER_S
        )

    def ring(self, role: str = ROLE_FRONT) -> list[str]:
        """Return the names of the daemons of a role in the order of succession."""
        return sorted(member.name for member in self.members.values() if member.role == role)

    def predecessors(self) -> list[str]:
        """Return the daemon before this one in the ring, and further ones while those are dead."""
        ring = self.ring(self.own.role)
        if self.name not in ring:
            return []
        index = ring.index(self.name)
        found = []
        for step in range(1, len(ring)):
            name = ring[index - step]
            found.append(name)
            if not self.dead(name):
                break
        return found

    def succeeds(self, owner: str) -> bool:
        """Tell whether this daemon is the one to take over the work of a dead owner."""
        if not self.dead(owner):
            return False
        ring = sorted({*self.ring(self.own.role), owner})
        index = ring.index(owner)
        for step in range(1, len(ring)):
            name = ring[(index + step) % len(ring)]
            if name == self.name:
                return True
            if not self.dead(name):
                return False
        return False

    def choose_owner(self, key: str, without: str = "") -> str:
        """Return the daemon of this one's role for the work of a key, itself if none else lives."""
        live = [
            name
            for name in self.ring(self.own.role)
            if name != without
            and not self.members[name].draining
            and self.members[name].failed_since is None
        ]
        return rendezvous_order(key, live)[0] if live else self.name

    def relays(self) -> list[Member]:
        """Return the peers that reached the store lately, the freshest first."""
        now = self.clock()
        fresh = [
            member
            for member in self.members.values()
            if member is not self.own
            and member.failed_since is None
            and now - member.store_reached_at < STORE_FRESH_S
        ]
        return sorted(fresh, key=lambda member: -member.store_reached_at)

    def daemons(self, data_centre: str | None = None) -> list[str]:
        """Return the names of the live daemons, this one included."""
        return [
            member.name
            for member in self.members.values()
            if not self.dead(member.name) and data_centre in (None, member.data_centre)
        ]

    def busy_roles_last(self, order: list[str]) -> list[str]:
        """Return an order with the daemons that serve callers at its end."""
        return sorted(order, key=lambda name: self.members[name].role == ROLE_FRONT)
