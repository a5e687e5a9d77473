"""Know the other daemons: listed hosts, suspicions and places in the spread tree."""

from collections.abc import Callable

from ..host_list import HostEntry, digest_hosts
from ..host_list.const import ROLE_ENTRY, ROLE_UPSTREAM
from ..peers import parents, ranked, rendezvous_order, roots
from .const import HOST_LIST_SNAPSHOTS, SUSPICION_TTL_S


class Membership:
    """Combine the host list with this daemon's own experience of its peers.

    A wrong view costs an extra watch or a second try, never a promise.
    """

    def __init__(self, name: str, data_centre: str, clock: Callable[[], float]) -> None:
        self.name = name
        self.data_centre = data_centre
        self.clock = clock
        self.hosts: dict[str, HostEntry] = {}
        self.digest = 0
        self.suspected_until: dict[str, float] = {}
        self.listeners: list[Callable[[], None]] = []
        self.snapshots: dict[int, dict[str, HostEntry]] = {}

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call the listener after each change of the list; return the unsubscribe function."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    def update(self, hosts: list[HostEntry]) -> bool:
        """Take a newer list; tell whether it differs."""
        digest = digest_hosts(hosts)
        if digest == self.digest:
            return False
        self.hosts = {host.name: host for host in hosts}
        self.digest = digest
        self.snapshots[digest] = self.hosts
        while len(self.snapshots) > HOST_LIST_SNAPSHOTS:
            self.snapshots.pop(next(iter(self.snapshots)))
        for listener in list(self.listeners):
            listener()
        return True

    def changes_since(self, digest: int) -> tuple[list[HostEntry], list[str]] | None:
        """Return changed entries and removed names since an earlier list, None if unknown."""
        earlier = self.snapshots.get(digest)
        if earlier is None:
            return None
        changed = [host for host in self.hosts.values() if earlier.get(host.name) != host]
        return changed, sorted(earlier.keys() - self.hosts.keys())

    def apply_changes(self, changed: list[HostEntry], removed: list[str]) -> bool:
        """Change the list in place of a whole one; tell whether it differs."""
        hosts = self.hosts | {host.name: host for host in changed}
        return self.update([host for host in hosts.values() if host.name not in set(removed)])

    def mark_suspected(self, name: str) -> None:
        """Leave a daemon out of this one's choices for a while."""
        self.suspected_until[name] = self.clock() + SUSPICION_TTL_S

    def trust(self, name: str) -> None:
        """Forget a suspicion after a good answer."""
        self.suspected_until.pop(name, None)

    def suspected(self, name: str) -> bool:
        """Tell whether the daemon failed to answer lately."""
        return self.suspected_until.get(name, 0.0) > self.clock()

    def daemons(self, data_centre: str | None = None, include_suspected: bool = False) -> list[str]:
        """Return the names of the live daemons, this one included."""
        found = [
            host.name
            for host in self.hosts.values()
            if host.role == ROLE_ENTRY
            and host.live
            and (data_centre is None or host.data_centre == data_centre)
            and (include_suspected or not self.suspected(host.name))
        ]
        if data_centre in (None, self.data_centre) and self.name not in found:
            found.append(self.name)
        return found

    def address(self, name: str) -> str:
        """Return the address of a listed daemon, or an empty string."""
        host = self.hosts.get(name)
        return host.address if host else ""

    def data_centres(self) -> list[str]:
        """Return the data centres that have an entry host on the list."""
        found = {host.data_centre for host in self.hosts.values() if host.role == ROLE_ENTRY}
        return sorted(found | {self.data_centre})

    def leaving_upstreams(self) -> set[str]:
        """Return the listed upstreams that get no new work."""
        return {h.name for h in self.hosts.values() if h.role == ROLE_UPSTREAM and not h.live}

    def order(self, data_centre: str) -> list[str]:
        """Return the spread order of a data centre without the suspected daemons."""
        return ranked(data_centre, self.daemons(data_centre))

    def is_relay(self) -> bool:
        """Tell whether this daemon is a relay of its data centre."""
        return self.name in roots(self.order(self.data_centre))

    def all_relays(self) -> set[str]:
        """Return the relays of every data centre, which carry enough without duties."""
        return {
            name for data_centre in self.data_centres() for name in roots(self.order(data_centre))
        }

    def busy_roles_last(self, order: list[str]) -> list[str]:
        """Return an order with the relays moved to its end: they carry enough already."""
        relays = self.all_relays()
        return sorted(order, key=lambda name: name in relays)

    def is_first_relay(self) -> bool:
        """Tell whether this daemon is the relay that reads the host list."""
        return self.order(self.data_centre)[:1] == [self.name]

    def heartbeat_parents(self) -> list[str]:
        """Return whom to ask, the preferred one first; a relay has none in its data centre."""
        return parents(self.order(self.data_centre), self.name)

    def remote_relays(self) -> list[list[str]]:
        """Return the relays of each other data centre, this daemon's counterpart first."""
        own = roots(self.order(self.data_centre))
        shift = own.index(self.name) if self.name in own else 0
        found = []
        for data_centre in self.data_centres():
            if data_centre == self.data_centre:
                continue
            remote = roots(self.order(data_centre))
            if remote:
                shift_here = shift % len(remote)
                found.append(remote[shift_here:] + remote[:shift_here])
        return found

    def preferred_holders(self, key: str) -> list[str]:
        """Return the daemons in the order in which they hold what `key` names."""
        return rendezvous_order(key, self.daemons())
