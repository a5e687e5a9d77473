"""Assemble and run a daemon that serves a shared fleet."""

import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import orjson
from eliot import log_message

from ..batches import (
    BatchManager,
    BatchPorts,
    EngineScheduler,
    RunnerPorts,
    SubmissionLimits,
    TextLimits,
)
from ..batches.const import CLAIM_PERIOD_S, KIND_HEADS
from ..connection_budget import (
    CLOSE_STALLED_PERIOD_S,
    KIND_OPERATORS,
    KIND_READINESS,
    ConnectionBudget,
)
from ..control import RetireDuty, ScaleDuty, StartedRequestCounter, UsageDuty, WeightsDuty
from ..duties import DutyManager
from ..edge import EdgeLimits, EdgeServer, HttpPool, Request, Responder
from ..errors import AcaciarillError, StoreConflictError, StoreError
from ..fleet import (
    ROLE_FRONT,
    AttemptSender,
    Configuration,
    CrashDetector,
    Forwarder,
    Issuers,
    Members,
    Quarantine,
    RatePermits,
    StoreChannel,
    StreamVersions,
    UpstreamTable,
)
from ..fleet.const import (
    DRAIN_MARGIN_S,
    DRAIN_POLL_S,
    DUTY_LEASE_RENEW_PERIOD_S,
    DUTY_LEASE_TTL_S,
    PING_PERIOD_S,
    RETIRE_PERIOD_S,
    SCALE_PERIOD_S,
    STREAM_HOLDERS_PERIOD_S,
    USAGE_COLLECTION_PERIOD_S,
    WEIGHTS_PERIOD_S,
)
from ..leases import Lease
from ..mirrors import Record
from ..relays import RelayClient, RelayServer, UpstreamLinks
from ..relays.const import RELAY_PING_PERIOD_S
from ..timer import TimerService
from ._drain import Drain
from ._feed import MirrorFeed
from ._metrics import Metrics
from ._mirrors import FleetMirrors
from ._peers import PeerService
from ._ports import FleetPorts, FleetSettings
from ._wall_clock import WallClock
from .const import (
    CONTROL_DUTY,
    CRASH_LEARNING_TIMEOUT_S,
    KIND_MEMBERS,
    MAX_CONTROL_BODY_BYTES,
    MISSING_ENTRY_CHECK_PERIOD_S,
    POOL_SWEEP_PERIOD_S,
    REGISTRATION_RETRY_DELAY_S,
)

CONTROL_LIMITS = EdgeLimits(max_body_bytes=MAX_CONTROL_BODY_BYTES)
"""Limits of readiness probes and operators' requests, which have no bodies."""


class FleetDaemon:
    """Serve clients and batches and run duties, on one event loop in one thread."""

    def __init__(
        self, settings: FleetSettings, ports: FleetPorts, task_group: anyio.abc.TaskGroup
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.task_group = task_group
        self.timer = TimerService()
        self.clock = self.timer.now
        self.rng = random.Random()
        self.wall_clock = WallClock(self.clock)
        self.metrics = Metrics()
        self.budget = ConnectionBudget(
            self.clock,
            settings.connection_limits,
            self.metrics.count_connection_closed,
            self.metrics.count_connection_refused,
        )
        self.metrics.watch_connections(self.budget)
        self.pool = HttpPool(self.clock)
        self.channel = StoreChannel(
            settings.store,
            self.pool,
            self.clock,
            self.metrics.count_store_call,
            self.metrics.count_store_call_out_of_time,
        )
        self.store = ports.store(self.channel)
        self.ready = False
        self.draining = False
        self.drain_deadline = math.inf
        self.members = Members(
            settings.host, settings.peers, settings.data_centre, settings.role, self.clock
        )
        self.table = UpstreamTable(settings.data_centre, self.clock, self.rng)
        self.mirrors = FleetMirrors(
            ports,
            self.store,
            self.members,
            self.table,
            settings.role,
            self.clock,
            self.wall_clock.now,
            self.metrics.count_unreadable,
        )
        self.metrics.watch_mirrors(self.mirrors.followers)
        self._build_peers()
        self._build_relaying()
        self._build_serving()
        self._build_duties()

    @property
    def configuration(self) -> Configuration | None:
        """Return the newest configuration that this daemon has received."""
        return self.mirrors.configuration

    def _build_peers(self) -> None:
        settings = self.settings
        self.request_counter = StartedRequestCounter(settings.usage_window_s, self.wall_clock.now)
        self.peers = PeerService(
            self.members,
            self.channel,
            self.mirrors.followers,
            self.mirrors.urgent_kinds,
            self.request_counter,
            settings.seeds,
            self.task_group,
            self.rng,
            self.budget,
            self.metrics.count_peer_call_failure,
            self.metrics.count_ping,
        )
        self.channel.relay = self.peers.relay
        self.peers.table = self.table
        self.feed: MirrorFeed | None = None
        if settings.role == ROLE_FRONT:
            self.feed = MirrorFeed(
                self.members,
                self.peers.links,
                self.mirrors.followers,
                self.clock,
                self.mirrors.urgent_kinds,
            )
        else:
            # Tell all daemons of a new configuration at once.
            self.mirrors.subscribe_configuration(
                lambda: self.task_group.start_soon(self.peers.ping_all)
            )

    def _build_relaying(self) -> None:
        self.links = UpstreamLinks(
            self.table,
            self.pool.can_connect,
            self.clock,
            self.task_group.start_soon,
            self._announce_links,
        )
        self.relay_client = RelayClient(
            self.members,
            self.peers.greeting,
            self.clock,
            self.peers.start_ping,
            self.pool.buffers,
            self.metrics.count_relayed,
        )
        self.relay_server = RelayServer(
            self.members,
            self.table,
            self.links,
            self.pool,
            self.ports.codec,
            self.clock,
            self.metrics.count_relayed,
        )
        self.peers.server.push_handlers["relay"] = self.relay_server.on_relay

    def _announce_links(self) -> None:
        """Tell all daemons whether this one has lost its links to the upstreams."""
        self.members.own.is_cut_off = self.links.is_cut_off
        if self.links.is_cut_off:
            for state in self.table.states.values():
                self.pool.close_idle_connections(state.upstream.address)
        self.metrics.cut_off.set(self.links.is_cut_off)
        self.task_group.start_soon(self.peers.ping_all)

    def _build_serving(self) -> None:
        permits = RatePermits(
            self.members,
            self.peers.take_permit,
            self.peers.announce_lifted,
            self.peers.start_ping,
            self.clock,
            self.metrics.count_permit,
        )
        self.peers.permits = permits
        self.quarantine = Quarantine(
            Issuers(self.members, self.clock),
            self.peers.crashes.take_trial,
            self.peers.crashes.share_crashes,
            self.clock,
            self.metrics.count_quarantine_decision,
        )
        self.peers.crashes.quarantine = self.quarantine
        crash_detector = CrashDetector(
            lambda address, timeout_s: self.links.is_refused(
                self.pool.is_refused, address, timeout_s
            ),
            self.clock,
            self._record_crash,
        )
        self.table.subscribe(crash_detector.check_registrations)
        sender = AttemptSender(
            self.pool,
            self.ports.codec,
            self.clock,
            self.metrics.count_attempt,
            permits.acquire,
            permits.report_lifted,
            crash_detector.record_refused,
            self.links,
            self.relay_client,
        )
        self.forwarder = Forwarder(
            sender,
            self.table,
            self.clock,
            self.rng,
            self._count_started_request,
            crash_detector,
            self.quarantine,
        )
        self.stream_versions = StreamVersions(
            self.members,
            self.peers.streams.tell,
            self.peers.streams.find,
            self.clock,
            self.task_group.start_soon,
            self.metrics.count_stream_lookup,
            self.metrics.count_streams_told,
            self.settings.max_stream_records,
        )
        self.metrics.watch_streams(self.stream_versions)
        self.peers.streams.versions = self.stream_versions
        self.scheduler = EngineScheduler(
            self.table,
            self.clock,
            lambda: self.configuration.version if self.configuration is not None else 0,
        )
        runner = RunnerPorts(
            sender,
            self.scheduler,
            self.forwarder,
            self.ports.event_reader,
            lambda: self.configuration,
            self.clock,
            self.wall_clock.now,
        )
        self.batch_manager = BatchManager(
            self.settings.host,
            self.mirrors.mirror(KIND_HEADS),
            BatchPorts(
                self.store,
                self.members,
                self.ports.decode_submission,
                self.peers.read_at_owner,
                self.peers.send_batch,
                runner,
                self.task_group,
                TextLimits.from_settings(
                    self.settings.max_object_bytes, self.settings.memory_bytes
                ),
                SubmissionLimits.from_memory(self.settings.memory_bytes),
                self.metrics.count_batch_load,
            ),
            self.settings.batch_retention_s,
        )
        self.metrics.watch_texts(self.batch_manager.texts)
        self.peers.batch_manager = self.batch_manager
        self.edge_server: EdgeServer | None = None
        if self.settings.callers:
            handler = self.ports.request_handler(self)
            self.edge_server = EdgeServer(
                self.settings.callers,
                handler.serve,
                self.clock,
                self._limits,
                self.budget,
                check_head=handler.check_head,
            )

    def _record_crash(self, lifetime: str, request_key: str) -> None:
        self.metrics.count_crash()
        self.quarantine.record_crash(lifetime, request_key)

    def _limits(self) -> EdgeLimits:
        return self.configuration.limits if self.configuration else EdgeLimits()

    def _count_started_request(self, customer: str, at: float) -> None:
        self.request_counter.count(customer, at + self.wall_clock.offset)

    def _build_duties(self) -> None:
        self.duties = DutyManager(
            self.members,
            self.store,
            self.timer,
            self.settings.host,
            DUTY_LEASE_TTL_S,
            DUTY_LEASE_RENEW_PERIOD_S,
            lambda: not self.links.is_cut_off or not self.members.has_linked_peer(),
            lambda: self.links.may_acquire_duties() or not self.members.has_linked_peer(),
            self.settings.duty_return_delay_s,
        )
        calls = self.ports.duty_calls(self)
        self.usage = UsageDuty(
            self.request_counter, self.peers.collect_usage, calls.report_usage, self.store
        )
        self.scale = ScaleDuty(
            lambda: self.configuration,
            self.mirrors.count_upstreams,
            self.mirrors.demand,
            calls.order_upstream_count,
            self.clock,
        )
        self.weights = WeightsDuty(
            self.table,
            lambda: self.mirrors.published_versions,
            calls.order_weight_load,
            calls.read_loaded_version,
            self.peers.announce_version,
            self.task_group,
            self.clock,
        )
        self.retire = RetireDuty(
            self.settings.host,
            self.mirrors.mirror(self.ports.kinds.retirements),
            self.ports.is_retirement_completed,
            self._complete_retirement,
            self.duties.release_all,
        )

    def holds_duty(self, epoch: int) -> bool:
        """Return whether this daemon still holds the lease of the control duty with this epoch."""
        duty = self.duties.duties.get(CONTROL_DUTY)
        return duty is not None and duty.holder.is_held(epoch)

    async def _take_over(self, lease: Lease) -> None:
        await self.usage.take_over(lease)
        await self.scale.take_over(lease)

    def _start_duties(self) -> None:
        holder = self.duties.add(
            CONTROL_DUTY, self.weights.run_once, WEIGHTS_PERIOD_S, on_acquired=self._take_over
        )

        def run_while_held(
            work: Callable[[Lease], Awaitable[None]],
        ) -> Callable[[], Awaitable[None]]:
            async def run() -> None:
                if holder.lease is None or not holder.is_held():
                    return
                try:
                    await work(holder.lease)
                except AcaciarillError as error:
                    log_message(
                        message_type="duty:failed",
                        step=str(error.step),
                        peer=error.peer,
                        reason=error.message,
                    )

            return run

        self.timer.subscribe(USAGE_COLLECTION_PERIOD_S, run_while_held(self.usage.run_once))
        self.timer.subscribe(SCALE_PERIOD_S, run_while_held(self.scale.run_once))
        self.timer.subscribe(RETIRE_PERIOD_S, run_while_held(self.retire.run_once))

    async def _complete_retirement(self, record: Record) -> None:
        key = f"{self.ports.kinds.retirements}/{record.name}"
        await self.store.put_status(key, record.version, self.ports.completed_retirement_status)

    # Lifecycle

    async def run(self, stop: anyio.Event) -> None:
        """Serve until `stop` is set, then drain."""
        start = self.task_group.start_soon
        start(self.timer.run)
        await self.task_group.start(self.peers.server.run)
        await self.task_group.start(self._serve_metrics)
        if self.settings.readiness:
            readiness = EdgeServer(
                self.settings.readiness,
                self._answer_readiness,
                self.clock,
                lambda: CONTROL_LIMITS,
                self.budget,
                KIND_READINESS,
            )
            await self.task_group.start(readiness.run)
        for follower in self.mirrors.followers.values():
            start(follower.run)
        if self.feed is not None:
            start(self.feed.run)
        start(self._register_in_store)
        subscribe = self.timer.subscribe
        subscribe(CLOSE_STALLED_PERIOD_S, self._close_stalled_connections)
        subscribe(PING_PERIOD_S, self.peers.ping_peers)
        subscribe(POOL_SWEEP_PERIOD_S, self._close_expired_connections)
        subscribe(MISSING_ENTRY_CHECK_PERIOD_S, self._expire_missing_upstreams)
        subscribe(DRAIN_POLL_S, self._check_progress)
        subscribe(RELAY_PING_PERIOD_S, self.relay_client.ping_relays)
        subscribe(STREAM_HOLDERS_PERIOD_S, self.stream_versions.update_holders)
        if self.edge_server is not None:
            await self.task_group.start(self.edge_server.run)
            subscribe(CLAIM_PERIOD_S, self.batch_manager.claim_and_expire)
        self._start_duties()
        with anyio.move_on_after(CRASH_LEARNING_TIMEOUT_S):
            await self.peers.crashes.learn_crashes()
        self.ready = True
        log_message(
            message_type="daemon:started",
            host=self.settings.host,
            role=self.settings.role,
        )
        await stop.wait()
        await self._drain()
        log_message(
            message_type="daemon:stopped",
            host=self.settings.host,
            store_calls=self.channel.direct_calls,
            store_calls_relayed=self.channel.relayed_calls,
        )

    async def _check_progress(self) -> None:
        self.links.check_silence()
        self.scheduler.assign_slots()
        self.scheduler.stop_lagging_streams()

    async def _close_stalled_connections(self) -> None:
        self.budget.close_stalled()

    async def _close_expired_connections(self) -> None:
        self.pool.close_expired_connections()
        await self.relay_client.close_expired_connections()

    async def _expire_missing_upstreams(self) -> None:
        self.mirrors.expire_missing_upstreams()

    async def _register_in_store(self) -> None:
        """Register this daemon in the store; retry until it succeeds."""
        own = self.members.own
        key = f"{KIND_MEMBERS}/{own.name}"
        value = {"address": own.address, "data_centre": own.data_centre, "role": own.role}
        while True:
            try:
                stored = await self.store.get(key)
                if stored is None or orjson.loads(stored[0]) != value:
                    await self.store.put(key, orjson.dumps(value), stored[1] if stored else 0)
                return
            except (StoreConflictError, StoreError) as error:
                log_message(message_type="daemon:registration_failed", reason=error.message)
                await anyio.sleep(REGISTRATION_RETRY_DELAY_S)

    async def _answer_readiness(self, request: Request, responder: Responder) -> None:
        is_ready = self.ready and not self.draining and self.configuration is not None
        await responder.send_response(200 if is_ready else 503, [])

    def status(self) -> dict[str, Any]:
        """Return the state of this daemon and what it knows of the fleet, for operators."""
        return {
            "host": self.settings.host,
            "data_centre": self.settings.data_centre,
            "role": self.settings.role,
            "ready": self.ready and not self.draining and self.configuration is not None,
            "draining": self.draining,
            "configuration": self.configuration.version if self.configuration else None,
            "views": {
                kind: {"newest": f.mirror.newest, "followed": f.is_following}
                for kind, f in self.mirrors.followers.items()
            },
            "views_from": self.feed.watcher if self.feed is not None else None,
            "store_reached": self.channel.is_reachable,
            "links_lost": self.links.is_cut_off,
            "store_calls": self.channel.direct_calls,
            "store_calls_relayed": self.channel.relayed_calls,
            "daemons": sorted(self.members.daemons()),
            "duties": self.duties.held_duties(),
            "upstreams": len(self.table.states),
            "quarantined_requests": self.quarantine.quarantined(),
            "named_versions": self.mirrors.published_versions,
            "batches_owned": sorted(self.batch_manager.runners),
            "items_waiting": len(self.scheduler.waiters),
            "items_running": len(self.scheduler.active_streams),
            "connections": self.budget.status(),
        }

    async def _serve_metrics(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        async def handle_request(request: Request, responder: Responder) -> None:
            release_path = "/v1/release/"
            if request.target == "/v1/status":
                kind, body = b"application/json", orjson.dumps(self.status())
            elif request.method == "POST" and request.target.startswith(release_path):
                request_key = request.target.removeprefix(release_path)
                released = self.quarantine.release(request_key, "an operator released it")
                kind, body = b"application/json", orjson.dumps({"released": released})
            else:
                kind, body = b"text/plain", self.metrics.text()
            await responder.send_response(200, [(b"Content-Type", kind)], body)

        server = EdgeServer(
            self.settings.metrics_address,
            handle_request,
            self.clock,
            lambda: CONTROL_LIMITS,
            self.budget,
            KIND_OPERATORS,
        )
        await server.run(task_status=task_status)

    async def _drain(self) -> None:
        """Fail readiness, finish the requests that still run, and leave the fleet meanwhile."""
        log_message(message_type="daemon:draining", host=self.settings.host)
        self.draining = self.members.own.draining = self.relay_server.draining = True
        self.drain_deadline = self.clock() + self.settings.drain_s - DRAIN_MARGIN_S
        drain = Drain(
            self.clock,
            self.drain_deadline,
            self.edge_server,
            self.relay_server,
            self.peers.ping_all,
            self.stream_versions,
            {
                "release duties": self.duties.release_all,
                "hand over batches": self.batch_manager.hand_over,
            },
            self.metrics.count_drain_step,
        )
        await drain.run()
