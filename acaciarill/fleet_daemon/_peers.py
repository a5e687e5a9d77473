"""Exchange pings, mirrors, store calls, batches and usage counts with the other daemons."""

import random
from collections.abc import Callable, Collection
from uuid import uuid4

import anyio
import anyio.abc
import orjson
from eliot import log_message

from ..batches import BatchManager, Result, ResultPage
from ..connection_budget import ConnectionBudget
from ..control import StartedRequestCounter
from ..errors import Outcome, PeerError, Step
from ..fleet import (
    ROLE_FRONT,
    Members,
    Permit,
    RateLimit,
    RatePermits,
    StoreChannel,
    UpstreamTable,
)
from ..fleet.const import (
    PERMIT_TIMEOUT_S,
    PING_PERIOD_S,
    PING_TIMEOUT_S,
    VIEW_FETCH_DELAY_S,
)
from ..mirrors import Mirror, MirrorFollower, Record
from ..peers import PeerLinks, PeerServer, messages
from ..peers.const import PROTOCOL_VERSION
from ._crash_calls import CrashCalls
from ._feed import MirrorServer
from ._stream_calls import StreamCalls

MS_PER_S = 1000
RELAY_TIMEOUT_MARGIN_S = 0.3
"""Added to the timeout of a relayed store call for the round trip to the peer."""
MAX_RELAYS = 2
MAX_NEIGHBOURS_PINGED = 64
"""How many daemons before this one in the ring are pinged once the nearest is lost."""
GREETING_SPREAD_S = 0.01
"""Time over which the pings of all listed daemons are spread, for each of them."""
GREETING_SPREAD_MIN_S = 0.5
GREETING_SPREAD_MAX_S = 1.5
"""With the timeout of a ping, the list is checked well before contact is taken for granted."""

PING_PERIODIC = "periodic"
PING_ANNOUNCEMENT = "announcement"
PING_FIRST_CONTACT = "first contact"
PING_NEIGHBOUR_LOST = "neighbour lost"
PING_CALL_FAILED = "call failed"
PING_REQUESTED = "requested"


class PeerService:
    """Call the other daemons and answer their calls."""

    def __init__(
        self,
        members: Members,
        channel: StoreChannel,
        followers: dict[str, MirrorFollower],
        urgent_kinds: Collection[str],
        request_counter: StartedRequestCounter,
        seeds: tuple[str, ...],
        task_group: anyio.abc.TaskGroup,
        rng: random.Random,
        budget: ConnectionBudget,
        on_call_failure: Callable[[str], None] = lambda kind: None,
        on_ping: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.members = members
        self.channel = channel
        self.followers = followers
        self.request_counter = request_counter
        self.seeds = seeds
        self.rng = rng
        self.incarnation = f"{members.name}.{uuid4().hex[:8]}"
        self.batch_manager: BatchManager | None = None
        self.table: UpstreamTable | None = None
        self.permits: RatePermits | None = None
        self.fetching_kinds: set[str] = set()
        self.pinged_addresses: set[str] = set()
        self.on_call_failure = on_call_failure
        self.on_ping = on_ping
        members.on_registered = self._greet
        own = members.own
        self.greeting = greeting = messages.Greeting(
            protocol_version=PROTOCOL_VERSION,
            daemon=own.name,
            incarnation=self.incarnation,
            data_centre=own.data_centre,
        )
        self.task_group = task_group
        self.links = PeerLinks(greeting, task_group)
        self.links.on_failure = self._handle_call_failure
        self.server = PeerServer(own.address, budget=budget)
        self.server.handlers |= {
            "ping": self._on_ping,
            "fetch_view": self._on_fetch_view,
            "store_call": self._on_store_call,
            "read_batch": self._on_read_batch,
            "collect_usage": self._on_collect_usage,
            "version_seen": self._on_version_seen,
            "own_batch": self._on_own_batch,
            "take_permit": self._on_take_permit,
            "limit_lifted": self._on_limit_lifted,
            "watch_views": MirrorServer(followers, members.clock, urgent_kinds).on_watch_views,
        }
        self.crashes = CrashCalls(
            members, self.links, self.address_of, task_group, lambda: self.seeds
        )
        self.streams = StreamCalls(self.links, self.address_of, self.incarnation)
        self.server.handlers |= self.crashes.handlers() | self.streams.handlers()

    # Membership and mirrors

    def _own_ping(self) -> messages.Ping:
        own = self.members.own
        return messages.Ping(
            daemon=own.name,
            address=own.address,
            data_centre=own.data_centre,
            role=own.role,
            newest={kind: f.mirror.newest for kind, f in self.followers.items()},
            store_reached=self.channel.is_reachable,
            draining=own.draining,
            crash_digest=self.crashes.digest(),
            is_cut_off=own.is_cut_off,
            incarnation=self.incarnation,
        )

    def _process_ping(self, ping: messages.Ping) -> None:
        self.members.record_ping(
            ping.daemon,
            ping.address,
            ping.data_centre,
            ping.role,
            bool(ping.store_reached),
            bool(ping.draining),
            bool(ping.is_cut_off),
            ping.incarnation or "",
        )
        for kind, newest in (ping.newest or {}).items():
            follower = self.followers.get(kind)
            if follower is None or kind in self.fetching_kinds or newest <= follower.mirror.newest:
                continue
            self.fetching_kinds.add(kind)
            self.task_group.start_soon(self._fetch_mirror, ping.address, kind, newest)
        self.crashes.compare(ping.address, ping.crash_digest)

    async def _on_ping(self, ping: messages.Ping) -> dict[str, messages.Ping]:
        self._process_ping(ping)
        return {"ping": self._own_ping()}

    async def ping_peers(self) -> None:
        """Ping the ring predecessors and a random peer, or the seeds while no peer is known."""
        members = self.members
        names = set(members.predecessors())
        others = [name for name in members.by_name if name not in names | {members.name}]
        if others:
            names.add(self.rng.choice(others))
        targets = {members.by_name[name].address: name for name in names}
        if len(members.by_name) == 1:
            targets |= {seed: "" for seed in self.seeds if seed != members.own.address}
        async with anyio.create_task_group() as pings:
            for address, name in targets.items():
                pings.start_soon(self._ping, address, name, PING_PERIODIC)
        if members.has_lost_neighbour(PING_PERIOD_S):
            # Daemons of one rack are neighbours in the ring, and may be lost together.
            for name in members.ring_before(MAX_NEIGHBOURS_PINGED):
                if members.by_name[name].unreachable_since is None:
                    self.start_ping(name, PING_NEIGHBOUR_LOST)

    async def ping_all(self) -> None:
        """Ping all daemons now, to announce newer mirrors or a drain."""
        async with anyio.create_task_group() as pings:
            for member in list(self.members.by_name.values()):
                if member is not self.members.own:
                    pings.start_soon(self._ping, member.address, member.name, PING_ANNOUNCEMENT)

    def start_ping(self, name: str, reason: str = PING_REQUESTED) -> None:
        """Ping a known daemon; do not wait for the reply."""
        member = self.members.by_name.get(name)
        if member is not None:
            self.task_group.start_soon(self._ping, member.address, name, reason)

    def address_of(self, name: str) -> str:
        """Return the address of a daemon; raise PeerError if it has left the fleet."""
        member = self.members.by_name.get(name)
        if member is None:
            raise PeerError(
                "the daemon has left the fleet",
                step=Step.CONNECT,
                peer=name,
                outcome=Outcome.NOT_RUN,
            )
        return member.address

    async def _ping(self, address: str, name: str, reason: str) -> None:
        self.on_ping(reason)
        self.pinged_addresses.add(address)
        try:
            frame = await self.links.call(address, PING_TIMEOUT_S, ping=self._own_ping())
            self._process_ping(frame.ping)
        except PeerError:
            if name:
                self.members.record_ping_failure(name)  # logs the first failure in a row
        finally:
            self.pinged_addresses.discard(address)

    def _handle_call_failure(self, address: str, kind: str) -> None:
        """Ping a daemon that did not respond to a call, so that others are called instead."""
        self.on_call_failure(kind)
        member = self.members.reachable_at(address)
        if member is not None and address not in self.pinged_addresses:
            self.start_ping(member.name, PING_CALL_FAILED)

    def _greet(self, name: str) -> None:
        """Ping a daemon that is new on the list soon; its host may have been removed long ago.

        It also learns of this one, which may have been restarted.
        """
        self.task_group.start_soon(self._ping_unless_heard, name)

    async def _ping_unless_heard(self, name: str) -> None:
        spread_s = max(GREETING_SPREAD_MIN_S, GREETING_SPREAD_S * len(self.members.by_name))
        await anyio.sleep(self.rng.random() * min(spread_s, GREETING_SPREAD_MAX_S))
        member = self.members.by_name.get(name)
        if member is not None and not member.incarnation:
            await self._ping(member.address, name, PING_FIRST_CONTACT)

    async def _on_fetch_view(self, call: messages.FetchView) -> dict[str, messages.ViewData]:
        mirror = self._loaded_mirror(call.kind)
        return {
            "view_data": messages.ViewData(
                position=mirror.position, records=mirror.encode(), newest=mirror.newest
            )
        }

    def _loaded_mirror(self, kind: str) -> Mirror:
        follower = self.followers.get(kind)
        if follower is None or not follower.mirror.loaded:
            raise PeerError("this daemon has not loaded the mirror", step=Step.FORWARD)
        return follower.mirror

    async def _fetch_mirror(self, address: str, kind: str, newest: int) -> None:
        """Fetch a mirror from a peer unless this daemon's own watch delivers the changes first."""
        follower = self.followers[kind]
        try:
            await anyio.sleep(VIEW_FETCH_DELAY_S)
            if follower.mirror.newest >= newest:
                return
            call = messages.FetchView(kind=kind)
            data = (await self.links.call(address, fetch_view=call)).view_data
            records = Mirror.decode(data.records)
        except PeerError as error:
            log_message(message_type="mirror:fetch_failed", kind=kind, reason=error.message)
            return
        finally:
            self.fetching_kinds.discard(kind)
        previous_newest = follower.mirror.newest
        if follower.replace_from_peer(data.position, records, data.newest):
            log_message(
                message_type="mirror:fetched",
                kind=kind,
                peer=address,
                previous_newest=previous_newest,
                newest=follower.mirror.newest,
            )

    # Calls to the store

    async def relay(
        self, method: str, target: str, body: bytes, timeout_s: float, deadline: float
    ) -> tuple[int, bytes] | None:
        """Relay a store call through a peer that reaches the store; return None without one.

        The store may take `timeout_s` seconds to respond; all tries end at the deadline.
        """
        for member in self.members.store_relays()[:MAX_RELAYS]:
            remaining_s = deadline - self.members.clock()
            if remaining_s <= 0:
                return None
            timeout_s = min(timeout_s, remaining_s)
            call = messages.StoreCall(
                method=method, target=target, body=body, timeout_ms=int(timeout_s * MS_PER_S)
            )
            try:
                frame = await self.links.call(
                    member.address, timeout_s + RELAY_TIMEOUT_MARGIN_S, store_call=call
                )
                return frame.store_answer.status, frame.store_answer.body
            except PeerError as error:
                member.store_reached_at = -1e9  # no relay until its next ping says otherwise
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
        """Return results of a batch from its owner; raise PeerError."""
        call = messages.ReadBatch(batch=batch_id, after=after, wait_ms=int(wait_s * MS_PER_S))
        frame = await self.links.call(address, wait_s + 1.0, read_batch=call)
        response = frame.batch_results
        rows = orjson.loads(response.results)
        return ResultPage(
            response.total, response.next_position, [Result.from_row(row) for row in rows]
        )

    async def send_batch(
        self, owner: str, batch_id: str, record: Record, body: bytes, texts: bytes
    ) -> None:
        """Send a batch to its owner; raise PeerError."""
        call = messages.OwnBatch(
            batch=batch_id,
            revision=record.version,
            head=orjson.dumps(record.value),
            body=body,
            texts=texts,
        )
        await self.links.call(self.address_of(owner), own_batch=call)

    async def _on_own_batch(self, call: messages.OwnBatch) -> dict[str, messages.Done]:
        if self.batch_manager is None:
            raise PeerError(
                "this daemon runs no batches", step=Step.FORWARD, outcome=Outcome.NOT_RUN
            )
        record = Record(call.batch, call.revision, orjson.loads(call.head))
        self.batch_manager.receive_batch(record, call.body, call.texts)
        return {"done": messages.Done()}

    async def _on_read_batch(self, call: messages.ReadBatch) -> dict[str, messages.BatchResults]:
        if self.batch_manager is None:
            raise PeerError(
                "this daemon runs no batches", step=Step.FORWARD, outcome=Outcome.NOT_RUN
            )
        page = await self.batch_manager.reader.read_local_results(
            call.batch, call.after, call.wait_ms / MS_PER_S
        )
        rows = orjson.dumps([result.row() for result in page.results])
        response = messages.BatchResults(
            total=page.total, next_position=page.next_position, results=rows
        )
        return {"batch_results": response}

    # Weights

    async def announce_version(
        self, upstream: str, lifetime: str, model: str, version: int
    ) -> None:
        """Tell every daemon which version of a model an engine has loaded."""
        call = messages.VersionSeen(
            upstream=upstream, lifetime=lifetime, model=model, version=version
        )

        async def announce_to(address: str) -> None:
            try:
                await self.links.call(address, PING_TIMEOUT_S, version_seen=call)
            except PeerError as error:
                log_message(
                    message_type="weights:announce_failed", peer=address, reason=error.message
                )

        async with anyio.create_task_group() as calls:
            for member in list(self.members.by_name.values()):
                if member is not self.members.own and not self.members.is_dead(member.name):
                    calls.start_soon(announce_to, member.address)

    async def _on_version_seen(self, call: messages.VersionSeen) -> dict[str, messages.Done]:
        if self.table is not None:
            self.table.observe_version(call.upstream, call.lifetime, call.model, call.version)
        return {"done": messages.Done()}

    # Rate limits

    async def take_permit(
        self, issuer: str, upstream: str, limit: RateLimit, max_wait_s: float
    ) -> Permit:
        """Ask a daemon for a permit to send a request to an upstream; raise PeerError."""
        call = messages.TakePermit(
            upstream=upstream, limit=limit.rate, limit_age_s=limit.age_s, max_wait_s=max_wait_s
        )
        address = self.address_of(issuer)
        frame = await self.links.call(address, PERMIT_TIMEOUT_S, take_permit=call)
        permit = frame.issued_permit
        return Permit(permit.granted, permit.wait_s, permit.next_s, bool(permit.limit_lifted))

    async def _on_take_permit(self, call: messages.TakePermit) -> dict[str, messages.IssuedPermit]:
        if self.permits is None:
            raise PeerError(
                "this daemon issues no permits", step=Step.FORWARD, outcome=Outcome.NOT_RUN
            )
        limit = RateLimit(call.limit, call.limit_age_s)
        permit = self.permits.issue(call.upstream, limit, call.max_wait_s)
        return {
            "issued_permit": messages.IssuedPermit(
                granted=permit.granted,
                wait_s=permit.wait_s,
                next_s=permit.next_s,
                limit_lifted=permit.limit_lifted,
            )
        }

    def announce_lifted(self, issuer: str, upstream: str) -> None:
        """Tell the issuer of an upstream's permits that its limit is lifted; do not wait."""
        self.task_group.start_soon(self._announce_lifted, issuer, upstream)

    async def _announce_lifted(self, issuer: str, upstream: str) -> None:
        call = messages.LimitLifted(upstream=upstream)
        try:
            await self.links.call(self.address_of(issuer), PERMIT_TIMEOUT_S, limit_lifted=call)
        except PeerError as error:
            log_message(message_type="permits:announce_failed", peer=issuer, reason=error.message)

    async def _on_limit_lifted(self, call: messages.LimitLifted) -> dict[str, messages.Done]:
        if self.permits is not None:
            self.permits.record_lifted(call.upstream)
        return {"done": messages.Done()}

    # Usage

    async def collect_usage(self, window: int) -> dict[str, dict[int, dict[str, int]]]:
        """Collect the counts since a window from daemons with clients, by incarnation."""
        counts_by_incarnation = {self.incarnation: self.request_counter.counts_since(window)}

        async def collect_from(address: str) -> None:
            call = messages.CollectUsage(first_window=window)
            try:
                frame = await self.links.call(address, PING_TIMEOUT_S, collect_usage=call)
            except PeerError as error:
                log_message(message_type="usage:collect_failed", peer=address, reason=error.message)
                return
            response = frame.collected_usage
            counts_by_incarnation[response.incarnation] = {
                key: dict(counts) for key, counts in (response.counts or {}).items()
            }

        async with anyio.create_task_group() as calls:
            for member in list(self.members.by_name.values()):
                is_remote_front = member is not self.members.own and member.role == ROLE_FRONT
                if is_remote_front and not self.members.is_dead(member.name):
                    calls.start_soon(collect_from, member.address)
        return counts_by_incarnation

    async def _on_collect_usage(
        self, call: messages.CollectUsage
    ) -> dict[str, messages.CollectedUsage]:
        counts = self.request_counter.counts_since(call.first_window)
        return {
            "collected_usage": messages.CollectedUsage(incarnation=self.incarnation, counts=counts)
        }
