"""Spread configuration, withdrawals and the host list down the tree, with proof of freshness."""

from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ..config import ConfigCoordinator, section_digest
from ..errors import AcaciarillError
from ..host_list import HostEntry, HostListClient
from ..peers import PeerLinks, PeerServer, messages, roots
from ._ages import pack_ages, places_digest, unpack_ages
from ._demand import DemandTable, Relation
from ._loads import LoadTable
from ._membership import Membership
from .const import FRESHNESS_BOUND_S, REMOTE_ASKED_PER_HEARTBEAT, SOURCE_STORE


class HeartbeatService:
    """Exchange heartbeats with the parent in the tree and carry what is newer.

    `contacts` maps each source (the store, or a data centre) to the last moment on this
    daemon's clock at which a chain of contact to it is proved. Only answers prove contact, and
    an answer counts from when its request was sent.
    """

    def __init__(
        self,
        membership: Membership,
        config: ConfigCoordinator,
        links: PeerLinks,
        server: PeerServer,
        host_list: HostListClient,
        loads: LoadTable,
        demand: DemandTable,
        clock: Callable[[], float],
    ) -> None:
        self.membership = membership
        self.config = config
        self.links = links
        self.server = server
        self.host_list = host_list
        self.loads = loads
        self.demand = demand
        self.clock = clock
        self.last_contact_at: dict[str, float] = {}
        self.children: dict[str, tuple[float, int]] = {}
        self.ahead: set[str] = set()
        self.turn = 0
        self.wakeup = anyio.Event()
        links.on_notify = self._wake
        server.handlers.update(
            heartbeat=self._on_heartbeat,
            fetch_config=self._on_fetch_config,
            withdrawals=self._on_withdrawals,
            fetch_hosts=self._on_fetch_hosts,
        )
        config.subscribe(self._wake_children)
        self.changed = anyio.Event()

    def _wake(self) -> None:
        self.wakeup.set()

    def _wake_children(self) -> None:
        self.changed.set()

    async def run_notifications(self) -> None:
        """Tell connected daemons at once when something newer is here."""
        while True:
            await self.changed.wait()
            self.changed = anyio.Event()
            await self.server.notify_all()

    async def run_requested_exchanges(self) -> None:
        """Exchange a heartbeat as soon as a parent says that it has something newer."""
        while True:
            await self.wakeup.wait()
            self.wakeup = anyio.Event()
            await self.exchange_heartbeats()

    def record_store_contact(self, sent_at: float) -> None:
        """Note an answer of the store to a call sent at `sent_at`."""
        self._prove(SOURCE_STORE, sent_at)

    def _prove(self, source: str, moment: float) -> None:
        self.last_contact_at[source] = max(moment, self.last_contact_at.get(source, moment))

    def is_fresh(self) -> bool:
        """Tell whether no withdrawal older than the bound can be unknown here."""
        horizon = self.clock() - FRESHNESS_BOUND_S
        if self.last_contact_at.get(SOURCE_STORE, 0.0) >= horizon:
            return True
        own = self.membership.data_centre
        others = [name for name in self.membership.data_centres() if name != own]
        return self.config.document.revision > 0 and all(
            self.last_contact_at.get(name, 0.0) >= horizon for name in others
        )

    async def exchange_heartbeats(self) -> None:
        """Exchange heartbeats with the parent, or as a relay with other data centres."""
        membership = self.membership
        await self._pull_from_children()
        if not membership.is_relay():
            if not await self._exchange_with_first(membership.heartbeat_parents()):
                await self._poll_host_list()
            return
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._exchange_with_sibling)
            remote = membership.remote_relays()
            turns = max(1, round(len(remote) / REMOTE_ASKED_PER_HEARTBEAT))
            self.turn = (self.turn + 1) % turns
            for candidates in remote[self.turn :: turns]:
                task_group.start_soon(self._exchange_with_first, candidates)

    async def _exchange_with_sibling(self) -> None:
        """Speak with the other relay here; only the first relay reads the host list."""
        membership = self.membership
        relays = roots(membership.order(membership.data_centre))
        siblings = [name for name in relays if name != membership.name]
        reached = await self._exchange_with_first(siblings)
        if membership.is_first_relay() or not reached:
            await self._poll_host_list()

    async def _pull_from_children(self) -> None:
        """Take a newer revision from a child: after a restart the child may be ahead."""
        while self.ahead:
            address = self.membership.address(self.ahead.pop())
            if address:
                await self._pull_config(address)

    async def _poll_host_list(self) -> None:
        try:
            hosts = await self.host_list.fetch()
        except AcaciarillError:
            return  # the last list stays in use
        if hosts is not None and self.membership.update(hosts):
            self._wake_children()

    async def _exchange_with_first(self, candidates: list[str]) -> bool:
        for name in candidates:
            address = self.membership.address(name)
            if not address or name == self.membership.name:
                continue
            try:
                await self._exchange_with(name, address)
            except AcaciarillError:
                self.membership.mark_suspected(name)
                continue
            self.membership.trust(name)
            return True
        return False

    async def _exchange_with(self, name: str, address: str) -> None:
        config = self.config
        loads, sent_names = self.loads.take_unsent()
        heartbeat = messages.Heartbeat(
            revision=config.document.revision,
            withdrawn_digest=config.withdrawn_digest,
            hosts_digest=self.membership.digest,
            loads=loads or None,
            demand=self._demand_for(name),
        )
        sent_at = self.clock()
        try:
            reply = (await self.links.call(address, heartbeat=heartbeat)).heartbeat_reply
        except AcaciarillError:
            self.loads.put_back(sent_names)
            raise
        if reply.revision > config.document.revision:
            await self._pull_config(address)
        if reply.withdrawn_digest != config.withdrawn_digest:
            await self._swap_withdrawals(address)
        nearby = self.membership.hosts[name].data_centre == self.membership.data_centre
        if nearby:
            self.loads.take_row(reply.revision, reply.loads)
        self._take_demand(name, reply.demand, reply.revision)
        other_list = reply.hosts_digest not in (0, self.membership.digest)
        if nearby and other_list and not self.membership.is_first_relay():
            await self._pull_hosts(address)
        # Contact is proved only once everything that the peer had is here as well.
        places = self.membership.data_centres()
        same = reply.places_digest == places_digest(places)
        for source, age_s in unpack_ages(reply.contact_ages or b"", places, same).items():
            self._prove(source, sent_at - age_s)

    def _relation(self, name: str, asked: bool) -> Relation | None:
        """Tell what another daemon is in the tree, None for one that is not listed."""
        membership = self.membership
        host = membership.hosts.get(name)
        if host is None:
            return None
        if host.data_centre != membership.data_centre:
            return Relation.REMOTE
        relays = roots(membership.order(membership.data_centre))
        if name in relays and membership.name in relays:
            return Relation.SIBLING
        return Relation.CHILD if asked else Relation.PARENT

    def _carries_demand(self, name: str, asked: bool) -> Relation | None:
        """Return the peer's relation when this exchange carries demand.

        Two relays ask each other; it is enough that one of the two exchanges carries it.
        """
        relation = self._relation(name, asked)
        if relation in (Relation.REMOTE, Relation.SIBLING):
            return relation if asked == (self.membership.name < name) else None
        return relation

    def _demand_for(self, name: str, asked: bool = False) -> bytes | None:
        """Return the demand that another daemon needs of this one."""
        relation = self._carries_demand(name, asked)
        if relation is None:
            return None
        return self.demand.pack_for(name, relation, self.membership.hosts[name].data_centre)

    def _take_demand(
        self, name: str, packed: bytes | None, revision: int, asked: bool = False
    ) -> None:
        relation = self._carries_demand(name, asked)
        if relation is not None and packed:
            place = self.membership.hosts[name].data_centre
            self.demand.take_from(name, relation, place, packed, revision)

    async def _pull_config(self, address: str) -> None:
        known = {owner: section_digest(raw) for owner, raw in self.config.document.raw.items()}
        frame = await self.links.call(
            address, fetch_config=messages.FetchConfig(known_digests=known)
        )
        data = frame.config_data
        sections: dict[str, Any] = {}
        for section in data.sections:
            current = self.config.document.raw.get(section.owner)
            sections[section.owner] = orjson.loads(section.data) if section.data else current
        self.config.offer_sections(data.revision, sections)

    async def _swap_withdrawals(self, address: str) -> None:
        mine = messages.Withdrawals(key_ids=sorted(self.config.withdrawn))
        frame = await self.links.call(address, withdrawals=mine)
        self.config.offer_withdrawn(set(frame.withdrawals.key_ids))

    async def _pull_hosts(self, address: str) -> None:
        request = messages.FetchHosts(known_digest=self.membership.digest)
        data = (await self.links.call(address, fetch_hosts=request)).hosts_data
        changed = [
            HostEntry(item.name, item.role, item.data_centre, item.state, item.address)
            for item in data.hosts
        ]
        if data.whole:
            differs = self.membership.update(changed)
        else:
            differs = self.membership.apply_changes(changed, data.removed)
        if differs:
            self._wake_children()

    async def _on_heartbeat(self, request: Any) -> dict[str, Any]:
        now = self.clock()
        self.children[request.daemon] = (now, request.revision)
        self.membership.trust(request.daemon)
        if request.revision > self.config.document.revision:
            self.ahead.add(request.daemon)
            self._wake()
        host = self.membership.hosts.get(request.daemon)
        nearby = host is not None and host.data_centre == self.membership.data_centre
        if nearby:
            self.loads.take_from_child(request.revision, request.loads)
        self._take_demand(request.daemon, request.demand, request.revision, asked=True)
        ages = {
            source: now - moment
            for source, moment in self.last_contact_at.items()
            if now - moment < FRESHNESS_BOUND_S
        }
        ages[self.membership.data_centre] = 0.0
        places = self.membership.data_centres()
        reply = messages.HeartbeatReply(
            revision=self.config.document.revision,
            withdrawn_digest=self.config.withdrawn_digest,
            hosts_digest=self.membership.digest,
            contact_ages=pack_ages(ages, places),
            places_digest=places_digest(places),
            loads=self.loads.row_for(request.daemon) if nearby else None,
            demand=self._demand_for(request.daemon, asked=True),
        )
        return {"heartbeat_reply": reply}

    async def _on_fetch_config(self, request: Any) -> dict[str, Any]:
        document = self.config.document
        sections = []
        for owner, raw in document.raw.items():
            digest = section_digest(raw)
            known = request.known_digests.get(owner) == digest
            data = b"" if known else orjson.dumps(raw)
            sections.append(messages.SectionData(owner=owner, digest=digest, data=data))
        return {"config_data": messages.ConfigData(revision=document.revision, sections=sections)}

    async def _on_withdrawals(self, request: Any) -> dict[str, Any]:
        self.config.offer_withdrawn(set(request.key_ids))
        return {"withdrawals": messages.Withdrawals(key_ids=sorted(self.config.withdrawn))}

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
