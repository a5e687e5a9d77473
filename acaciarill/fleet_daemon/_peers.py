"""Speak with the other daemons: pings, views, relayed store calls, batch reads, usage counts."""

import random
from uuid import uuid4

import anyio
import anyio.abc
import orjson
from eliot import log_message

from ..batches import BatchManager, Result, ResultPage
from ..control import RunCounter
from ..errors import Outcome, PeerError, Step
from ..fleet import ROLE_FRONT, Members, StoreChannel, UpstreamTable
from ..fleet.const import PING_TIMEOUT_S, VIEW_BEHIND_S
from ..mirrors import Mirror, MirrorFollower, Record
from ..peers import PeerLinks, PeerServer, messages
from ..peers.const import PROTOCOL_VERSION
from ._feed import ViewServer

MS_PER_S = 1000
RELAY_GRACE_S = 0.3
"""How much longer the relaying side waits than the store call may take."""
RELAYS_TRIED = 2


class PeerService:
    """Answer the other daemons and ask them."""

    def __init__(
        self,
        members: Members,
        channel: StoreChannel,
        followers: dict[str, MirrorFollower],
        counter: RunCounter,
        seeds: tuple[str, ...],
        task_group: anyio.abc.TaskGroup,
        chance: random.Random,
    ) -> None:
        self.members = members
        self.channel = channel
        self.followers = followers
        self.counter = counter
        self.seeds = seeds
        self.chance = chance
        self.incarnation = f"{members.name}.{uuid4().hex[:8]}"
        self.book: BatchManager | None = None
        self.table: UpstreamTable | None = None
        self.fetching: set[str] = set()
        own = members.own
        greeting = messages.Greeting(
            protocol_version=PROTOCOL_VERSION,
            daemon=own.name,
            incarnation=self.incarnation,
            data_centre=own.data_centre,
        )
        self.task_group = task_group
        self.links = PeerLinks(greeting, task_group)
        self.server = PeerServer(own.address)
        self.server.handlers |= {
            "ping": self._on_ping,
            "fetch_view": self._on_fetch_view,
            "store_call": self._on_store_call,
            "read_batch": self._on_read_batch,
            "collect_usage": self._on_collect_usage,
            "version_seen": self._on_version_seen,
            "own_batch": self._on_own_batch,
            "watch_views": ViewServer(followers, members.clock).on_watch_views,
        }

    # Membership and views

    def _own_ping(self) -> messages.Ping:
        own = self.members.own
        return messages.Ping(
            daemon=own.name,
            address=own.address,
            data_centre=own.data_centre,
            role=own.role,
            newest={kind: f.mirror.newest for kind, f in self.followers.items()},
            store_reached=self.channel.reached,
            draining=own.draining,
        )

    def _hear(self, ping: messages.Ping) -> None:
        self.members.note_heard(
            ping.daemon,
            ping.address,
            ping.data_centre,
            ping.role,
            bool(ping.store_reached),
            bool(ping.draining),
        )
        for kind, newest in (ping.newest or {}).items():
            follower = self.followers.get(kind)
            if follower is None or kind in self.fetching or newest <= follower.mirror.newest:
                continue
            self.fetching.add(kind)
            self.task_group.start_soon(self._fetch_view, ping.address, kind, newest)

    async def _on_ping(self, ping: messages.Ping) -> dict[str, messages.Ping]:
        self._hear(ping)
        return {"ping": self._own_ping()}

    async def ping_some(self) -> None:
        """Ping the daemon that this one would succeed, another at random, or the seeds."""
        members = self.members
        names = set(members.predecessors())
        others = [name for name in members.members if name not in names | {members.name}]
        if others:
            names.add(self.chance.choice(others))
        targets = {members.members[name].address: name for name in names}
        if len(members.members) == 1:
            targets |= {seed: "" for seed in self.seeds if seed != members.own.address}
        async with anyio.create_task_group() as pings:
            for address, name in targets.items():
                pings.start_soon(self._ping, address, name)

    async def announce(self) -> None:
        """Tell every daemon at once how far this one's views have come."""
        async with anyio.create_task_group() as pings:
            for member in list(self.members.members.values()):
                if member is not self.members.own:
                    pings.start_soon(self._ping, member.address, member.name)

    async def _ping(self, address: str, name: str) -> None:
        try:
            frame = await self.links.call(address, PING_TIMEOUT_S, ping=self._own_ping())
            self._hear(frame.ping)
        except PeerError:
            if name:
                self.members.note_failed(name)  # which logs the first failure in a row

    async def _on_fetch_view(self, call: messages.FetchView) -> dict[str, messages.ViewData]:
        mirror = self._mirror(call.kind)
        return {
            "view_data": messages.ViewData(
                position=mirror.position, records=mirror.encode(), newest=mirror.newest
            )
        }

    def _mirror(self, kind: str) -> Mirror:
        follower = self.followers.get(kind)
        if follower is None or not follower.mirror.loaded:
            raise PeerError("this view is not known here", step=Step.FORWARD)
        return follower.mirror

    async def _fetch_view(self, address: str, kind: str, newest: int) -> None:
        """Take a view from a peer unless this daemon's own watch brings it within a moment."""
        follower = self.followers[kind]
        try:
            await anyio.sleep(VIEW_BEHIND_S)
            if follower.mirror.newest >= newest:
                return
            call = messages.FetchView(kind=kind)
            frame = await self.links.call(address, fetch_view=call)
        except PeerError as error:
            log_message(message_type="view:fetch_failed", kind=kind, reason=error.message)
            return
        finally:
            self.fetching.discard(kind)
        data = frame.view_data
        before = follower.mirror.newest
        if follower.take_view(data.position, Mirror.decode(data.records), data.newest):
            log_message(
                message_type="view:fetched",
                kind=kind,
                peer=address,
                before=before,
                newest=follower.mirror.newest,
            )

    # Calls to the store

    async def relay(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes] | None:
        """Pass a store call on through a peer that reaches the store; None if there is none."""
        for member in self.members.relays()[:RELAYS_TRIED]:
            call = messages.StoreCall(
                method=method, target=target, body=body, timeout_ms=int(timeout_s * MS_PER_S)
            )
            try:
                frame = await self.links.call(
                    member.address, timeout_s + RELAY_GRACE_S, store_call=call
                )
                return frame.store_answer.status, frame.store_answer.body
            except PeerError as error:
                member.store_reached_at = -1e9
                if error.outcome is not Outcome.NOT_RUN and method != "GET":
                    raise
        return None

    async def _on_store_call(self, call: messages.StoreCall) -> dict[str, messages.StoreAnswer]:
        status, body = await self.channel.call_directly(
            call.method, call.target, call.body, call.timeout_ms / MS_PER_S
        )
        return {"store_answer": messages.StoreAnswer(status=status, body=body)}

    # Batches

    async def read_at_owner(
        self, address: str, batch_id: str, after: int, wait_s: float
    ) -> ResultPage:
        """Return results of a batch from the daemon that runs it; raise PeerError."""
        call = messages.ReadBatch(batch=batch_id, after=after, wait_ms=int(wait_s * MS_PER_S))
        frame = await self.links.call(address, wait_s + 1.0, read_batch=call)
        found = frame.batch_results
        rows = orjson.loads(found.results)
        return ResultPage(found.total, found.next_position, [Result.from_row(row) for row in rows])

    async def hand_batch(
        self, owner: str, batch_id: str, record: Record, body: bytes, texts: bytes
    ) -> None:
        """Give a batch to the owner that its head names; raise PeerError."""
        call = messages.OwnBatch(
            batch=batch_id,
            revision=record.version,
            head=orjson.dumps(record.value),
            body=body,
            texts=texts,
        )
        await self.links.call(self.members.members[owner].address, own_batch=call)

    async def _on_own_batch(self, call: messages.OwnBatch) -> dict[str, messages.Done]:
        if self.book is None:
            raise PeerError("no batches are kept here", step=Step.FORWARD, outcome=Outcome.NOT_RUN)
        record = Record(call.batch, call.revision, orjson.loads(call.head))
        self.book.receive_batch(record, call.body, call.texts)
        return {"done": messages.Done()}

    async def _on_read_batch(self, call: messages.ReadBatch) -> dict[str, messages.BatchResults]:
        if self.book is None:
            raise PeerError("no batches are kept here", step=Step.FORWARD, outcome=Outcome.NOT_RUN)
        page = await self.book.reader.read_local_results(
            call.batch, call.after, call.wait_ms / MS_PER_S
        )
        rows = orjson.dumps([result.row() for result in page.results])
        found = messages.BatchResults(
            total=page.total, next_position=page.next_position, results=rows
        )
        return {"batch_results": found}

    # Weights

    async def announce_version(
        self, upstream: str, lifetime: str, model: str, version: int
    ) -> None:
        """Tell every daemon the version that an engine was seen to hold."""
        call = messages.VersionSeen(
            upstream=upstream, lifetime=lifetime, model=model, version=version
        )

        async def tell(address: str) -> None:
            try:
                await self.links.call(address, PING_TIMEOUT_S, version_seen=call)
            except PeerError as error:
                log_message(message_type="weights:not_told", peer=address, reason=error.message)

        async with anyio.create_task_group() as tells:
            for member in list(self.members.members.values()):
                if member is not self.members.own and not self.members.dead(member.name):
                    tells.start_soon(tell, member.address)

    async def _on_version_seen(self, call: messages.VersionSeen) -> dict[str, messages.Done]:
        if self.table is not None:
            self.table.observe_version(call.upstream, call.lifetime, call.model, call.version)
        return {"done": messages.Done()}

    # Usage

    async def collect_usage(self, window: int) -> dict[str, dict[int, dict[str, int]]]:
        """Return every reachable daemon's counts from a window on, by incarnation."""
        found = {self.incarnation: self.counter.since(window)}

        async def ask(address: str) -> None:
            call = messages.CollectUsage(first_window=window)
            try:
                frame = await self.links.call(address, PING_TIMEOUT_S, collect_usage=call)
            except PeerError as error:
                log_message(message_type="usage:not_collected", peer=address, reason=error.message)
                return
            answer = frame.collected_usage
            found[answer.incarnation] = {
                key: dict(counts) for key, counts in (answer.counts or {}).items()
            }

        async with anyio.create_task_group() as asks:
            for member in list(self.members.members.values()):
                serves = member is not self.members.own and member.role == ROLE_FRONT
                if serves and not self.members.dead(member.name):
                    asks.start_soon(ask, member.address)
        return found

    async def _on_collect_usage(
        self, call: messages.CollectUsage
    ) -> dict[str, messages.CollectedUsage]:
        counts = self.counter.since(call.first_window)
        return {
            "collected_usage": messages.CollectedUsage(incarnation=self.incarnation, counts=counts)
        }
