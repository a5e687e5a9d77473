"""Hold the parts of one daemon that serves a shared fleet."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
import anyio.abc
import orjson
from eliot import log_message

from ..batches import (
    BatchBook,
    BatchPorts,
    EngineScheduler,
    ObjectAccess,
    RunnerPorts,
    StreamEvent,
    Submission,
)
from ..batches.const import KIND_HEADS, POLL_PERIOD_S
from ..control import (
    FleetDemand,
    OrderOutcome,
    RetireDuty,
    RunCounter,
    ScaleDuty,
    UsageDuty,
    WeightsDuty,
)
from ..duties import DutyManager
from ..edge import EdgeLimits, EdgeServer, HttpPool, Request, Responder
from ..errors import StoreConflictError, StoreError
from ..fleet import (
    ROLE_FRONT,
    Configuration,
    Forwarder,
    Member,
    Members,
    StoreChannel,
    Upstream,
    UpstreamCodec,
    UpstreamState,
    UpstreamTable,
)
from ..fleet.const import (
    DRAIN_MARGIN_S,
    DRAIN_NOTICE_S,
    DRAIN_POLL_S,
    DUTY_RENEW_S,
    DUTY_TTL_S,
    PING_PERIOD_S,
    RETIRE_PERIOD_S,
    SCALE_PERIOD_S,
    USAGE_POLL_S,
    WEIGHTS_PERIOD_S,
)
from ..leases import Lease
from ..mirrors import KindSource, Mirror, MirrorFollower, Record
from ..mirrors.const import (
    WATCH_WAIT_CONFIGURATION_S,
    WATCH_WAIT_KEEPER_S,
    WATCH_WAIT_S,
)
from ..timer import TimerService
from ._metrics import Metrics
from ._peers import PeerService
from ._true_time import TrueTime

KIND_MEMBERS = "daemons"
ROLE_KEEPER = "keeper"
"""A daemon without callers, which is preferred for the duties."""
REGISTER_RETRY_S = 0.5
VANISHED_KEPT_S = 1.0
"""How long an upstream whose entry vanished is still used; it serves on for two seconds."""
LAPSED_KEPT_S = 2.3
"""The same after the store was away: entries that lapsed meanwhile are back within two seconds."""
OUTAGE_KEPT_S = 4.0
"""How long after the last failed watch entries may still be missing for that reason."""
GATHER_S = 0.3
"""Every call to the store has a price; upstreams that leave serve on for two seconds."""
POOL_SWEEP_S = 1.0
DUTY = "control"


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Hold what one process is told at its start; addresses are `ip:port`."""

    host: str
    data_centre: str
    role: str
    callers: str
    readiness: str
    peers: str
    seeds: tuple[str, ...]
    store: str
    drain_s: float
    usage_window_s: float
    metrics_address: str


@dataclass(slots=True, frozen=True)
class FleetKinds:
    """Name the kinds of objects that others write."""

    configuration: str
    upstreams: str
    versions: str
    retirements: str


@dataclass(slots=True)
class FleetPorts:
    """Hold the translations between this daemon and its platform."""

    kinds: FleetKinds
    store: Callable[[StoreChannel], "FleetStore"]
    codec: UpstreamCodec
    decode_configuration: Callable[[dict[str, Record]], Configuration | None]
    decode_upstream: Callable[[Record], Upstream | None]
    decode_versions: Callable[[dict[str, Record]], dict[str, int]]
    decode_submission: Callable[[bytes], Submission]
    event_reader: Callable[[], Callable[[bytes], list[StreamEvent]]]
    front: Callable[["FleetDaemon"], Callable[[Request, Responder], Awaitable[None]]]
    duty_calls: Callable[["FleetDaemon"], "DutyPort"]
    retired: Callable[[Record], bool]
    retirement_status: dict[str, str]


class FleetStore(ObjectAccess, KindSource, Protocol):
    """Provide objects, listings and watches."""

    async def put_status(self, key: str, version: int, value: Any) -> None:
        """Replace the status of an object of that version; raise StoreError."""


class DutyPort(Protocol):
    """Make the calls that only the holder of the duty may make."""

    async def report_usage(self, window: int, counts: dict[str, int], lease: Lease) -> bool:
        """Report a window; tell whether it was taken. Raise AcaciarillError."""

    async def order_count(self, service: str, data_centre: str, count: int, lease: Lease) -> bool:
        """Order a number of upstreams; tell whether it was taken. Raise AcaciarillError."""

    async def order_version(
        self, state: UpstreamState, model: str, version: int, only_idle: bool, lease: Lease
    ) -> OrderOutcome:
        """Order an engine to load a version; raise AcaciarillError."""

    async def read_version(self, state: UpstreamState, model: str) -> int | None:
        """Return the version of a model that an engine reports; raise AcaciarillError."""


class FleetDaemon:
    """Serve callers and batches, and take part in the duties; one loop, one thread."""

    def __init__(
        self, settings: FleetSettings, ports: FleetPorts, task_group: anyio.abc.TaskGroup
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.task_group = task_group
        self.timer = TimerService()
        self.clock = self.timer.now
        self.chance = random.Random()
        self.true_time = TrueTime(self.clock)
        self.metrics = Metrics()
        self.pool = HttpPool(self.clock)
        self.channel = StoreChannel(settings.store, self.pool, self.clock)
        self.store = ports.store(self.channel)
        self.configuration: Configuration | None = None
        self.named_versions: dict[str, int] = {}
        self.vanished: dict[str, tuple[Upstream, float]] = {}
        self.ready = False
        self.draining = False
        self._build_views()
        self._build_peers()
        self._build_serving()
        self._build_duties()

    def _build_views(self) -> None:
        kinds = self.ports.kinds
        names = (
            kinds.configuration,
            kinds.upstreams,
            kinds.versions,
            kinds.retirements,
            KIND_MEMBERS,
            KIND_HEADS,
        )
        self.followers = {
            kind: MirrorFollower(
                Mirror(kind), self.store, self.clock, self._wait_of(kind), self._pause_of(kind)
            )
            for kind in names
        }
        self.view(kinds.configuration).subscribe(self._follow_configuration)
        self.view(kinds.upstreams).subscribe(self._follow_upstreams)
        self.view(kinds.versions).subscribe(self._follow_versions)
        self.view(KIND_MEMBERS).subscribe(self._follow_members)

    def _wait_of(self, kind: str) -> float:
        """Return how long one watch waits; daemons without callers notice lost watches soon."""
        if self.settings.role == ROLE_FRONT:
            return WATCH_WAIT_S
        if kind == self.ports.kinds.configuration:
            return WATCH_WAIT_CONFIGURATION_S
        return WATCH_WAIT_KEEPER_S

    def _pause_of(self, kind: str) -> float:
        """Return how long changes are gathered before the next watch."""
        urgent = (self.ports.kinds.configuration, self.ports.kinds.versions)
        return 0.0 if kind in urgent else GATHER_S

    def view(self, kind: str) -> Mirror:
        """Return this daemon's copy of the objects of a kind."""
        return self.followers[kind].mirror

    def _build_peers(self) -> None:
        settings = self.settings
        self.members = Members(
            settings.host, settings.peers, settings.data_centre, settings.role, self.clock
        )
        self.counter = RunCounter(settings.usage_window_s, self.true_time.now)
        self.peers = PeerService(
            self.members,
            self.channel,
            self.followers,
            self.counter,
            settings.seeds,
            self.task_group,
            self.chance,
        )
        self.channel.relay = self.peers.relay

    def _build_serving(self) -> None:
        self.table = UpstreamTable(self.settings.data_centre, self.clock, self.chance)
        self.forwarder = Forwarder(
            self.pool, self.table, self.ports.codec, self.clock, self.chance, self._count_run
        )
        self.scheduler = EngineScheduler(self.table, self.clock)
        runner = RunnerPorts(
            self.pool,
            self.scheduler,
            self.forwarder,
            self.ports.codec,
            self.ports.event_reader,
            lambda: self.configuration,
            self.clock,
            self.true_time.now,
        )
        self.book = BatchBook(
            self.settings.host,
            self.view(KIND_HEADS),
            BatchPorts(
                self.store,
                self.members,
                self.ports.decode_submission,
                self.peers.read_at_owner,
                self.peers.hand_batch,
                runner,
                self.task_group,
            ),
        )
        self.peers.book = self.book
        self.peers.table = self.table
        self.front: EdgeServer | None = None
        if self.settings.callers:
            handler = self.ports.front(self)
            self.front = EdgeServer(self.settings.callers, handler, self.clock, self._limits)

    def _limits(self) -> EdgeLimits:
        return self.configuration.limits if self.configuration else EdgeLimits()

    def _count_run(self, customer: str, at: float) -> None:
        self.counter.count(customer, at + self.true_time.offset)

    def _build_duties(self) -> None:
        self.duties = DutyManager(
            self.members, self.store, self.timer, self.settings.host, DUTY_TTL_S, DUTY_RENEW_S
        )
        calls = self.ports.duty_calls(self)
        self.usage = UsageDuty(
            self.counter, self.peers.collect_usage, calls.report_usage, self.store
        )
        self.scale = ScaleDuty(
            lambda: self.configuration, self._present, self._demand, calls.order_count, self.clock
        )
        self.weights = WeightsDuty(
            self.table,
            lambda: self.named_versions,
            calls.order_version,
            calls.read_version,
            self.peers.announce_version,
            self.task_group,
            self.clock,
        )
        self.retire = RetireDuty(
            self.settings.host,
            self.view(self.ports.kinds.retirements),
            self.ports.retired,
            self._complete_retirement,
            self.duties.release_all,
        )

    def holds(self, epoch: int) -> bool:
        """Tell whether this daemon may act on the duties under that epoch now."""
        duty = self.duties.duties.get(DUTY)
        return duty is not None and duty.holder.held(epoch)

    async def _take_over(self, lease: Lease) -> None:
        await self.usage.take_over(lease)
        await self.scale.take_over(lease)

    def _start_duties(self) -> None:
        holder = self.duties.add(
            DUTY, self.weights.run_once, WEIGHTS_PERIOD_S, on_taken=self._take_over
        )

        def while_held(
            work: Callable[[Lease], Awaitable[None]],
        ) -> Callable[[], Awaitable[None]]:
            async def run() -> None:
                if holder.lease is not None and holder.held():
                    await work(holder.lease)

            return run

        self.timer.subscribe(USAGE_POLL_S, while_held(self.usage.run_once))
        self.timer.subscribe(SCALE_PERIOD_S, while_held(self.scale.run_once))
        self.timer.subscribe(RETIRE_PERIOD_S, while_held(self.retire.run_once))

    # What the views say

    def _follow_configuration(self) -> None:
        found = self.ports.decode_configuration(self.view(self.ports.kinds.configuration).records)
        if found is None:
            return
        if self.configuration is not None and found.version <= self.configuration.version:
            return
        log_message(
            message_type="config:taken",
            version=found.version,
            before=self.configuration.version if self.configuration else None,
            position=self.view(self.ports.kinds.configuration).position,
        )
        self.configuration = found
        if self.settings.role != ROLE_FRONT:
            self.task_group.start_soon(self.peers.announce)

    def _follow_upstreams(self) -> None:
        records = self.view(self.ports.kinds.upstreams).records
        found = [u for record in records.values() if (u := self.ports.decode_upstream(record))]
        names = {upstream.id for upstream in found}
        now = self.clock()
        for state in self.table.states.values():
            upstream = state.upstream
            if upstream.id not in names and upstream.id not in self.vanished:
                kept_s = 0.0 if upstream.draining else self._vanished_kept_s(now)
                self.vanished[upstream.id] = (upstream, now + kept_s)
        for name in names & self.vanished.keys():
            del self.vanished[name]
        kept = [upstream for upstream, until in self.vanished.values() if until > now]
        self.table.update(found + kept)

    def _vanished_kept_s(self, now: float) -> float:
        lost_at = self.followers[self.ports.kinds.upstreams].lost_at
        if lost_at is not None and now - lost_at < OUTAGE_KEPT_S:
            return LAPSED_KEPT_S
        return VANISHED_KEPT_S

    async def _expire_vanished(self) -> None:
        if any(
            until <= self.clock() and name in self.table.states
            for name, (_, until) in self.vanished.items()
        ):
            self._follow_upstreams()
            for name in self.vanished.keys() - self.table.states.keys():
                del self.vanished[name]

    def _follow_versions(self) -> None:
        named = self.ports.decode_versions(self.view(self.ports.kinds.versions).records)
        if named != self.named_versions:
            log_message(message_type="weights:named", versions=named)
        self.named_versions = named

    def _follow_members(self) -> None:
        found = []
        for record in self.view(KIND_MEMBERS).records.values():
            value = record.value
            found.append(
                Member(record.name, value["address"], value["data_centre"], value["role"], True)
            )
        self.members.note_listed(found)

    def _present(self, service: str) -> dict[str, int]:
        counts: dict[str, int] = {}
        for state in self.table.of(service):
            if not state.leaving and not state.upstream.draining and not state.upstream.cheap:
                data_centre = state.upstream.data_centre
                counts[data_centre] = counts.get(data_centre, 0) + 1
        return counts

    def _demand(self, service: str) -> FleetDemand:
        """Return what the open batches ask of a service."""
        requests = 0
        for record in self.view(KIND_HEADS).records.values():
            head = record.value
            route = (
                self.configuration.match(head["host"], head["path"]) if self.configuration else None
            )
            age_s = self.true_time.now() - head["submitted_at"]
            if route is None or head["ended"] or age_s > route.max_queue_s:
                continue
            if any(name == service for name, _ in route.splits):
                requests += head["total"]
        slots = [state.upstream.slots for state in self.table.of(service)]
        return FleetDemand(requests, max(slots, default=1))

    async def _complete_retirement(self, record: Record) -> None:
        key = f"{self.ports.kinds.retirements}/{record.name}"
        await self.store.put_status(key, record.version, self.ports.retirement_status)

    # Life

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set, then drain."""
        start = self.task_group.start_soon
        start(self.timer.run)
        await self.task_group.start(self.peers.server.run)
        await self.task_group.start(self._serve_metrics)
        if self.settings.readiness:
            readiness = EdgeServer(self.settings.readiness, self._answer_ready, self.clock)
            await self.task_group.start(readiness.run)
        for follower in self.followers.values():
            start(follower.run)
        start(self._register)
        subscribe = self.timer.subscribe
        subscribe(PING_PERIOD_S, self.peers.ping_some)
        subscribe(POOL_SWEEP_S, self._sweep)
        subscribe(DRAIN_POLL_S, self._hand_out)
        if self.front is not None:
            await self.task_group.start(self.front.run)
            subscribe(POLL_PERIOD_S, self.book.poll)
        self._start_duties()
        self.ready = True
        log_message(message_type="daemon:started", host=self.settings.host, role=self.settings.role)
        await stop.wait()
        await self._drain()
        log_message(message_type="daemon:stopped", host=self.settings.host)

    async def _hand_out(self) -> None:
        self.scheduler.hand_out()
        self.scheduler.check_runs()

    async def _sweep(self) -> None:
        self.pool.close_expired()
        await self._expire_vanished()

    async def _register(self) -> None:
        """Put this daemon on the store's list; tries until it stands there."""
        own = self.members.own
        key = f"{KIND_MEMBERS}/{own.name}"
        value = {"address": own.address, "data_centre": own.data_centre, "role": own.role}
        while True:
            try:
                found = await self.store.get(key)
                if found is None or orjson.loads(found[0]) != value:
                    await self.store.put(key, orjson.dumps(value), found[1] if found else 0)
                return
            except (StoreConflictError, StoreError) as error:
                log_message(message_type="daemon:not_registered", reason=error.message)
                await anyio.sleep(REGISTER_RETRY_S)

    async def _answer_ready(self, request: Request, responder: Responder) -> None:
        able = self.ready and not self.draining and self.configuration is not None
        await responder.answer(200 if able else 503, [])

    def status(self) -> dict[str, Any]:
        """Return what this daemon believes, for operators."""
        return {
            "host": self.settings.host,
            "data_centre": self.settings.data_centre,
            "role": self.settings.role,
            "ready": self.ready and not self.draining and self.configuration is not None,
            "draining": self.draining,
            "configuration": self.configuration.version if self.configuration else None,
            "views": {
                kind: {"newest": f.mirror.newest, "followed": f.reached}
                for kind, f in self.followers.items()
            },
            "store_reached": self.channel.reached,
            "store_calls": self.channel.calls,
            "store_calls_relayed": self.channel.relayed,
            "daemons": sorted(self.members.daemons()),
            "duties": self.duties.held(),
            "upstreams": len(self.table.states),
            "named_versions": self.named_versions,
            "batches_owned": sorted(self.book.runners),
            "items_waiting": len(self.scheduler.waiters),
            "items_running": len(self.scheduler.runs),
        }

    async def _serve_metrics(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        async def answer(request: Request, responder: Responder) -> None:
            if request.target == "/v1/status":
                kind, body = b"application/json", orjson.dumps(self.status())
            else:
                kind, body = b"text/plain", self.metrics.text()
            await responder.answer(200, [(b"Content-Type", kind)], body)

        server = EdgeServer(self.settings.metrics_address, answer, self.clock)
        await server.run(task_status=task_status)

    async def _drain(self) -> None:
        """Leave the balancer first, then hand batches over and end what runs."""
        log_message(message_type="daemon:draining", host=self.settings.host)
        started = self.clock()
        self.draining = self.members.own.draining = True
        await self.peers.announce()
        await self.duties.release_all()
        await self.book.hand_over()
        if self.front is None:
            return
        await anyio.sleep(DRAIN_NOTICE_S)
        self.front.drain()
        end = started + self.settings.drain_s - DRAIN_MARGIN_S
        while self.front.active and self.clock() < end:  # noqa: ASYNC110
            await anyio.sleep(DRAIN_POLL_S)
        self.front.stop_accepting()
