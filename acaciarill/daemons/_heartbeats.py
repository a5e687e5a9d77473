"""Distribute configuration, key withdrawals and the host list by heartbeats along the tree."""

from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ..config import ConfigCoordinator, section_digest
from ..errors import AcaciarillError
from ..host_list import HostEntry, HostListClient
from ..peers import PeerLinks, PeerServer, messages, select_relays
from ._contact_ages import data_centres_digest, pack_ages, unpack_ages
from ._demand import DemandTable, Relation
from ._membership import Membership
from ._occupancies import OccupancyTable
from .const import FRESHNESS_BOUND_S, REMOTE_DATA_CENTRES_PER_HEARTBEAT, SOURCE_STORE


class HeartbeatService:
    """Exchange heartbeats with the parent in the tree and fetch the state that is newer there.

    `last_contact_at` maps each source (the store, or a data centre) to the latest time on this
    daemon's clock at which it was reached, directly or through other daemons. Only responses
    prove contact, and a response counts from the time at which its request was sent. `children`
    maps each daemon that sent a heartbeat to the latest one's time and configuration revision.
    """

    def __init__(
        self,
        membership: Membership,
        config: ConfigCoordinator,
        links: PeerLinks,
        server: PeerServer,
        host_list: HostListClient,
        occupancies: OccupancyTable,
        demand: DemandTable,
        clock: Callable[[], float],
    ) -> None:
        self.membership = membership
        self.config = config
        self.links = links
        self.server = server
        self.host_list = host_list
        self.occupancies = occupancies
        self.demand = demand
        self.clock = clock
        self.last_contact_at: dict[str, float] = {}
        self.children: dict[str, tuple[float, int]] = {}
        self.children_ahead: set[str] = set()
        self.contact_round = 0
        self.exchange_requested = anyio.Event()
        links.on_notify = self._request_exchange
        server.handlers.update(
            heartbeat=self._on_heartbeat,
            fetch_config=self._on_fetch_config,
            withdrawals=self._on_withdrawals,
            fetch_hosts=self._on_fetch_hosts,
        )
        config.subscribe(self._notify_children)
        self.notification_due = anyio.Event()

    def _request_exchange(self) -> None:
        self.exchange_requested.set()

    def _notify_children(self) -> None:
        self.notification_due.set()

    async def run_notifications(self) -> None:
        """Notify the connected daemons whenever the configuration or the host list changes."""
        while True:
            await self.notification_due.wait()
            self.notification_due = anyio.Event()
            await self.server.notify_all()

    async def run_requested_exchanges(self) -> None:
        """Exchange heartbeats at once when a parent or a child has newer state."""
        while True:
            await self.exchange_requested.wait()
            self.exchange_requested = anyio.Event()
            await self.exchange_heartbeats()

    def record_store_contact(self, sent_at: float) -> None:
        """Record that the store responded to a call sent at `sent_at`."""
        self._record_contact(SOURCE_STORE, sent_at)

    def _record_contact(self, source: str, contact_at: float) -> None:
        self.last_contact_at[source] = max(contact_at, self.last_contact_at.get(source, contact_at))

    def is_fresh(self) -> bool:
        """Return whether this daemon knows every withdrawal older than FRESHNESS_BOUND_S.

        That holds after a recent contact to the store, or to every other data centre.
        """
        oldest_fresh = self.clock() - FRESHNESS_BOUND_S
        if self.last_contact_at.get(SOURCE_STORE, 0.0) >= oldest_fresh:
            return True
        local = self.membership.data_centre
        others = [name for name in self.membership.data_centres() if name != local]
        return self.config.document.revision > 0 and all(
            self.last_contact_at.get(name, 0.0) >= oldest_fresh for name in others
        )

    async def exchange_heartbeats(self) -> None:
        """Exchange heartbeats with the parent, or as a relay with the relays elsewhere.

        A relay contacts its sibling each time and a part of the other data centres in rotation.
        """
        membership = self.membership
        await self._pull_config_from_children()
        if not membership.is_relay():
            if not await self._exchange_with_first_reachable(membership.heartbeat_parents()):
                await self._poll_host_list()
            return
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._exchange_with_sibling)
            remote_relays = membership.remote_relays()
            contact_rounds = max(1, round(len(remote_relays) / REMOTE_DATA_CENTRES_PER_HEARTBEAT))
            self.contact_round = (self.contact_round + 1) % contact_rounds
            for candidates in remote_relays[self.contact_round :: contact_rounds]:
                task_group.start_soon(self._exchange_with_first_reachable, candidates)

    async def _exchange_with_sibling(self) -> None:
        """Exchange heartbeats with the other local relay, and poll the host list if needed.

        The first relay polls it, and the second one does while it cannot reach the first.
        """
        membership = self.membership
        relays = select_relays(membership.tree_order(membership.data_centre))
        siblings = [name for name in relays if name != membership.name]
        sibling_reached = await self._exchange_with_first_reachable(siblings)
        if membership.is_first_relay() or not sibling_reached:
            await self._poll_host_list()

    async def _pull_config_from_children(self) -> None:
        """Fetch newer configurations from children, which may be ahead after a restart here."""
        while self.children_ahead:
            address = self.membership.address(self.children_ahead.pop())
            if address:
                await self._pull_config(address)

    async def _poll_host_list(self) -> None:
        try:
            hosts = await self.host_list.fetch()
        except AcaciarillError:
            return  # the last host list stays in use
        if hosts is not None and self.membership.update(hosts):
            self._notify_children()

    async def _exchange_with_first_reachable(self, candidates: list[str]) -> bool:
        """Exchange heartbeats with the first candidate that responds; return whether one did."""
        for name in candidates:
            address = self.membership.address(name)
            if not address or name == self.membership.name:
                continue
            try:
                await self._exchange_with(name, address)
            except AcaciarillError:
                self.membership.mark_suspected(name)
                continue
            self.membership.clear_suspicion(name)
            return True
        return False

    async def _exchange_with(self, name: str, address: str) -> None:
        config = self.config
        loads, sent_names = self.occupancies.pop_unsent()
        heartbeat = messages.Heartbeat(
            revision=config.document.revision,
            withdrawn_digest=config.withdrawn_digest,
            hosts_digest=self.membership.digest,
            loads=loads or None,
            demand=self._pack_demand(name),
        )
        sent_at = self.clock()
        try:
            reply = (await self.links.call(address, heartbeat=heartbeat)).heartbeat_reply
        except AcaciarillError:
            self.occupancies.restore_unsent(sent_names)
            raise
        if reply.revision > config.document.revision:
            await self._pull_config(address)
        if reply.withdrawn_digest != config.withdrawn_digest:
            await self._merge_withdrawals(address)
        same_data_centre = self.membership.hosts[name].data_centre == self.membership.data_centre
        if same_data_centre:
            self.occupancies.apply_parent_row(reply.revision, reply.loads)
        self._apply_demand(name, reply.demand, reply.revision)
        host_list_differs = reply.hosts_digest not in (0, self.membership.digest)
        if same_data_centre and host_list_differs and not self.membership.is_first_relay():
            await self._pull_hosts(address)
        # The contact counts only now that all newer state of the peer has been fetched.
        data_centres = self.membership.data_centres()
        same_list = reply.places_digest == data_centres_digest(data_centres)
        for source, age_s in unpack_ages(
            reply.contact_ages or b"", data_centres, same_list
        ).items():
            self._record_contact(source, sent_at - age_s)

    def _relation(self, name: str, incoming: bool) -> Relation | None:
        """Return what another daemon is in the tree, or None if it is not on the host list.

        `incoming` tells that the other daemon started the exchange.
        """
        membership = self.membership
        host = membership.hosts.get(name)
        if host is None:
            return None
        if host.data_centre != membership.data_centre:
            return Relation.REMOTE
        relays = select_relays(membership.tree_order(membership.data_centre))
        if name in relays and membership.name in relays:
            return Relation.SIBLING
        return Relation.CHILD if incoming else Relation.PARENT

    def _demand_relation(self, name: str, incoming: bool) -> Relation | None:
        """Return the peer's relation if this exchange carries demand, else None.

        Two relays start exchanges with each other, and only one of the two carries demand.
        """
        relation = self._relation(name, incoming)
        if relation in (Relation.REMOTE, Relation.SIBLING):
            return relation if incoming == (self.membership.name < name) else None
        return relation

    def _pack_demand(self, name: str, incoming: bool = False) -> bytes | None:
        """Return the demand message for another daemon, or None if this exchange carries none."""
        relation = self._demand_relation(name, incoming)
        if relation is None:
            return None
        return self.demand.pack_message(name, relation, self.membership.hosts[name].data_centre)

    def _apply_demand(
        self, name: str, packed: bytes | None, revision: int, incoming: bool = False
    ) -> None:
        relation = self._demand_relation(name, incoming)
        if relation is not None and packed:
            data_centre = self.membership.hosts[name].data_centre
            self.demand.apply_message(name, relation, data_centre, packed, revision)

    async def _pull_config(self, address: str) -> None:
        known_digests = {
            owner: section_digest(raw) for owner, raw in self.config.document.raw_sections.items()
        }
        frame = await self.links.call(
            address, fetch_config=messages.FetchConfig(known_digests=known_digests)
        )
        data = frame.config_data
        sections: dict[str, Any] = {}
        for section in data.sections:
            current = self.config.document.raw_sections.get(section.owner)
            sections[section.owner] = orjson.loads(section.data) if section.data else current
        self.config.update_sections(data.revision, sections)

    async def _merge_withdrawals(self, address: str) -> None:
        request = messages.Withdrawals(key_ids=sorted(self.config.withdrawn_key_ids))
        frame = await self.links.call(address, withdrawals=request)
        self.config.merge_withdrawn_keys(set(frame.withdrawals.key_ids))

    async def _pull_hosts(self, address: str) -> None:
        request = messages.FetchHosts(known_digest=self.membership.digest)
        data = (await self.links.call(address, fetch_hosts=request)).hosts_data
        changed = [
            HostEntry(item.name, item.role, item.data_centre, item.state, item.address)
            for item in data.hosts
        ]
        if data.whole:
            list_changed = self.membership.update(changed)
        else:
            list_changed = self.membership.apply_changes(changed, data.removed)
        if list_changed:
            self._notify_children()

    async def _on_heartbeat(self, request: Any) -> dict[str, Any]:
        now = self.clock()
        self.children[request.daemon] = (now, request.revision)
        self.membership.clear_suspicion(request.daemon)
        if request.revision > self.config.document.revision:
            self.children_ahead.add(request.daemon)
            self._request_exchange()
        host = self.membership.hosts.get(request.daemon)
        same_data_centre = host is not None and host.data_centre == self.membership.data_centre
        if same_data_centre:
            self.occupancies.apply_child_occupancies(request.revision, request.loads)
        self._apply_demand(request.daemon, request.demand, request.revision, incoming=True)
        ages = {
            source: now - contact_at
            for source, contact_at in self.last_contact_at.items()
            if now - contact_at < FRESHNESS_BOUND_S
        }
        ages[self.membership.data_centre] = 0.0
        data_centres = self.membership.data_centres()
        reply = messages.HeartbeatReply(
            revision=self.config.document.revision,
            withdrawn_digest=self.config.withdrawn_digest,
            hosts_digest=self.membership.digest,
            contact_ages=pack_ages(ages, data_centres),
            places_digest=data_centres_digest(data_centres),
            loads=self.occupancies.row_for_child(request.daemon) if same_data_centre else None,
            demand=self._pack_demand(request.daemon, incoming=True),
        )
        return {"heartbeat_reply": reply}

    async def _on_fetch_config(self, request: Any) -> dict[str, Any]:
        document = self.config.document
        sections = []
        for owner, raw in document.raw_sections.items():
            digest = section_digest(raw)
            unchanged = request.known_digests.get(owner) == digest
            data = b"" if unchanged else orjson.dumps(raw)
            sections.append(messages.SectionData(owner=owner, digest=digest, data=data))
        return {"config_data": messages.ConfigData(revision=document.revision, sections=sections)}

    async def _on_withdrawals(self, request: Any) -> dict[str, Any]:
        self.config.merge_withdrawn_keys(set(request.key_ids))
        return {"withdrawals": messages.Withdrawals(key_ids=sorted(self.config.withdrawn_key_ids))}

    async def _on_fetch_hosts(self, request: Any) -> dict[str, Any]:
        changes = self.membership.changes_since(request.known_digest)
        changed, removed = changes or (list(self.membership.hosts.values()), [])
        hosts = [
            messages.HostData(
                name=host.name,
                role=host.role,
                data_centre=host.data_centre,
                state=host.state,
                address=host.address,
            )
            for host in changed
        ]
        data = messages.HostsData(hosts=hosts, removed=removed, whole=changes is None)
        return {"hosts_data": data}
