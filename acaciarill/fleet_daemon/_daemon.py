"""Hold the parts of one daemon that serves a shared fleet."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import orjson
from eliot import log_message

from ..batches import BatchManager, BatchPorts, EngineScheduler, RunnerPorts
from ..batches.const import CLAIM_PERIOD_S, KIND_HEADS
from ..control import RetireDuty, RunCounter, ScaleDuty, UsageDuty, WeightsDuty
from ..duties import DutyManager
from ..edge import EdgeLimits, EdgeServer, HttpPool, Request, Responder
from ..errors import AcaciarillError, StoreConflictError, StoreError
from ..fleet import (
    ROLE_FRONT,
    AttemptSender,
    Configuration,
    Forwarder,
    Members,
    StoreChannel,
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
from ..mirrors import Record
from ..timer import TimerService
from ._feed import ViewFeed
from ._metrics import Metrics
from ._peers import PeerService
from ._ports import FleetPorts, FleetSettings
from ._true_time import TrueTime
from ._views import FleetViews
from .const import DUTY, EXPIRE_PERIOD_S, KIND_MEMBERS, POOL_SWEEP_S, REGISTER_RETRY_S


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
        self.channel = StoreChannel(
            settings.store, self.pool, self.clock, self.metrics.count_store_call
        )
        self.store = ports.store(self.channel)
        self.ready = False
        self.draining = False
        self.members = Members(
            settings.host, settings.peers, settings.data_centre, settings.role, self.clock
        )
        self.table = UpstreamTable(settings.data_centre, self.clock, self.chance)
        self.views = FleetViews(
            ports,
            self.store,
            self.members,
            self.table,
            settings.role,
            self.clock,
            self.true_time.now,
        )
        self._build_peers()
        self._build_serving()
        self._build_duties()

    @property
    def configuration(self) -> Configuration | None:
        """Return the newest known configuration."""
        return self.views.configuration

    def _build_peers(self) -> None:
        settings = self.settings
        self.counter = RunCounter(settings.usage_window_s, self.true_time.now)
        self.peers = PeerService(
            self.members,
            self.channel,
            self.views.followers,
            self.counter,
            settings.seeds,
            self.task_group,
            self.chance,
        )
        self.channel.relay = self.peers.relay
        self.peers.table = self.table
        self.feed: ViewFeed | None = None
        if settings.role == ROLE_FRONT:
            self.feed = ViewFeed(self.members, self.peers.links, self.views.followers, self.clock)
        else:
            self.views.on_configuration(
                lambda: self.task_group.start_soon(self.peers.announce)  # to all, at once
            )

    def _build_serving(self) -> None:
        sender = AttemptSender(self.pool, self.ports.codec, self.clock)
        self.forwarder = Forwarder(sender, self.table, self.clock, self.chance, self._count_run)
        self.scheduler = EngineScheduler(self.table, self.clock)
        runner = RunnerPorts(
            sender,
            self.scheduler,
            self.forwarder,
            self.ports.event_reader,
            lambda: self.configuration,
            self.clock,
            self.true_time.now,
        )
        self.book = BatchManager(
            self.settings.host,
            self.views.view(KIND_HEADS),
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
            lambda: self.configuration,
            self.views.present,
            self.views.demand,
            calls.order_count,
            self.clock,
        )
        self.weights = WeightsDuty(
            self.table,
            lambda: self.views.named_versions,
            calls.order_version,
            calls.read_version,
            self.peers.announce_version,
            self.task_group,
            self.clock,
        )
        self.retire = RetireDuty(
            self.settings.host,
            self.views.view(self.ports.kinds.retirements),
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
                if holder.lease is None or not holder.held():
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

        self.timer.subscribe(USAGE_POLL_S, while_held(self.usage.run_once))
        self.timer.subscribe(SCALE_PERIOD_S, while_held(self.scale.run_once))
        self.timer.subscribe(RETIRE_PERIOD_S, while_held(self.retire.run_once))

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
        for follower in self.views.followers.values():
            start(follower.run)
        if self.feed is not None:
            start(self.feed.run)
        start(self._register)
        subscribe = self.timer.subscribe
        subscribe(PING_PERIOD_S, self.peers.ping_some)
        subscribe(POOL_SWEEP_S, self._sweep)
        subscribe(EXPIRE_PERIOD_S, self._expire)
        subscribe(DRAIN_POLL_S, self._hand_out)
        if self.front is not None:
            await self.task_group.start(self.front.run)
            subscribe(CLAIM_PERIOD_S, self.book.claim_and_expire)
        self._start_duties()
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
            store_calls=self.channel.calls,
            store_calls_relayed=self.channel.relayed,
        )

    async def _hand_out(self) -> None:
        self.scheduler.assign_slots()
        self.scheduler.stop_lagging_streams()

    async def _sweep(self) -> None:
        self.pool.close_expired()

    async def _expire(self) -> None:
        self.views.expire_vanished()

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
                for kind, f in self.views.followers.items()
            },
            "views_from": self.feed.watcher if self.feed is not None else None,
            "store_reached": self.channel.reached,
            "store_calls": self.channel.calls,
            "store_calls_relayed": self.channel.relayed,
            "daemons": sorted(self.members.daemons()),
            "duties": self.duties.held(),
            "upstreams": len(self.table.states),
            "named_versions": self.views.named_versions,
            "batches_owned": sorted(self.book.runners),
            "items_waiting": len(self.scheduler.waiters),
            "items_running": len(self.scheduler.active_streams),
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
