"""Track the live daemons and their positions in the distribution tree."""

from collections.abc import Callable

from ..host_list import HostEntry, digest_hosts
from ..host_list.const import ROLE_ENTRY, ROLE_UPSTREAM
from ..peers import distribution_tree_order, parent_candidates, rendezvous_order, select_relays
from .const import MAX_HOST_LIST_SNAPSHOTS, SUSPICION_TTL_S


class Membership:
    """Combine the host list with this daemon's own suspicions of unreachable peers.

    An outdated view only costs an extra watch on the store or a retry: no guarantee depends on it.
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
        """Call the listener after each change of the host list; return the unsubscribe function."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    def update(self, hosts: list[HostEntry]) -> bool:
        """Replace the host list; return whether it changed."""
        digest = digest_hosts(hosts)
        if digest == self.digest:
            return False
        self.hosts = {host.name: host for host in hosts}
        self.digest = digest
        self.snapshots[digest] = self.hosts
        while len(self.snapshots) > MAX_HOST_LIST_SNAPSHOTS:
            self.snapshots.pop(next(iter(self.snapshots)))
        for listener in list(self.listeners):
            listener()
        return True

    def changes_since(self, digest: int) -> tuple[list[HostEntry], list[str]] | None:
        """Return the entries changed and names removed since the list with a digest.

        Return None when that list is not among the snapshots.
        """
        snapshot = self.snapshots.get(digest)
        if snapshot is None:
            return None
        changed = [host for host in self.hosts.values() if snapshot.get(host.name) != host]
        return changed, sorted(snapshot.keys() - self.hosts.keys())

    def apply_changes(self, changed: list[HostEntry], removed: list[str]) -> bool:
        """Apply changed entries and removed names to the host list; return whether it changed."""
        hosts = self.hosts | {host.name: host for host in changed}
        return self.update([host for host in hosts.values() if host.name not in set(removed)])

    def mark_suspected(self, name: str) -> None:
        """Exclude a daemon that did not respond from the live daemons for SUSPICION_TTL_S."""
        self.suspected_until[name] = self.clock() + SUSPICION_TTL_S

    def clear_suspicion(self, name: str) -> None:
        """Clear the suspicion of a daemon that responded."""
        self.suspected_until.pop(name, None)

    def is_suspected(self, name: str) -> bool:
        """Return whether the daemon failed to respond within the last SUSPICION_TTL_S."""
        return self.suspected_until.get(name, 0.0) > self.clock()

    def daemons(self, data_centre: str | None = None, include_suspected: bool = False) -> list[str]:
        """Return the names of the live daemons, including this one."""
        names = [
            host.name
            for host in self.hosts.values()
            if host.role == ROLE_ENTRY
            and host.is_live
            and (data_centre is None or host.data_centre == data_centre)
            and (include_suspected or not self.is_suspected(host.name))
        ]
        if data_centre in (None, self.data_centre) and self.name not in names:
            names.append(self.name)
        return names

    def address(self, name: str) -> str:
        """Return the address of a daemon, or an empty string if it is not on the host list."""
        host = self.hosts.get(name)
        return host.address if host else ""

    def data_centres(self) -> list[str]:
        """Return the data centres that have an entry host on the host list, and this daemon's."""
        names = {host.data_centre for host in self.hosts.values() if host.role == ROLE_ENTRY}
        return sorted(names | {self.data_centre})

    def leaving_upstreams(self) -> set[str]:
        """Return the upstreams that the host list marks as leaving, which get no new requests."""
        return {h.name for h in self.hosts.values() if h.role == ROLE_UPSTREAM and not h.is_live}

    def tree_order(self, data_centre: str) -> list[str]:
        """Return a data centre's daemons in the order of its tree, without suspected ones."""
        return distribution_tree_order(data_centre, self.daemons(data_centre))

    def is_relay(self) -> bool:
        """Return whether this daemon is a relay of its data centre."""
        return self.name in select_relays(self.tree_order(self.data_centre))

    def all_relays(self) -> set[str]:
        """Return the relays of every data centre."""
        return {
            name
            for data_centre in self.data_centres()
            for name in select_relays(self.tree_order(data_centre))
        }

    def busy_roles_last(self, order: list[str]) -> list[str]:
        """Return the names with the relays moved to the end: they carry enough load already."""
        relays = self.all_relays()
        return sorted(order, key=lambda name: name in relays)

    def is_first_relay(self) -> bool:
        """Return whether this daemon is the relay that polls the host list."""
        return self.tree_order(self.data_centre)[:1] == [self.name]

    def heartbeat_parents(self) -> list[str]:
        """Return the parent and its substitutes, preferred first; empty for a relay."""
        return parent_candidates(self.tree_order(self.data_centre), self.name)

    def remote_relays(self) -> list[list[str]]:
        """Return the relays of each other data centre, the one of this daemon's rank first."""
        local_relays = select_relays(self.tree_order(self.data_centre))
        rank = local_relays.index(self.name) if self.name in local_relays else 0
        relays_by_data_centre = []
        for data_centre in self.data_centres():
            if data_centre == self.data_centre:
                continue
            relays = select_relays(self.tree_order(data_centre))
            if relays:
                first = rank % len(relays)
                relays_by_data_centre.append(relays[first:] + relays[:first])
        return relays_by_data_centre

    def preferred_holders(self, key: str) -> list[str]:
        """Return the live daemons in the order of preference for holding the data of `key`."""
        return rendezvous_order(key, self.daemons())
