"""Assemble one daemon from its parts and run it."""

import random
import signal
import time
import zlib
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from uuid import uuid4

import anyio
import anyio.abc
from eliot import log_message

from .callers import (
    Admission,
    Authenticator,
    CallersApp,
    ClaimStore,
    Quota,
    local_quota,
)
from .capacity import CapacityOrders, Demand
from .capacity.const import DECISION_PERIOD_S
from .config import ConfigCoordinator, ConfigStore
from .daemons import DemandTable, HeartbeatService, LoadTable, Membership
from .daemons.const import HEARTBEAT_PERIOD_S
from .data_folder import DataFolder
from .duties import DutyManager
from .operators import OperatorsApp
from .peers import PeerLinks, PeerServer, messages
from .peers.const import PROTOCOL_VERSION
from .ports import DaemonPorts, build_ports
from .settings import Settings
from .store_watcher import StoreWatcher
from .telemetry import Telemetry
from .timer import TimerService
from .tls import RELOAD_PERIOD_S, TlsContexts
from .trainers import SampleProducer, StepsApp, StepService
from .upstreams import Dispatcher, OrderSender, UpstreamCoordinator
from .upstreams.const import LOAD_POLL_PERIOD_S
from .usage import ShardStore, UsageCounter, UsageReporter
from .usage.const import USAGE_COPY_PERIOD_S, USAGE_FLUSH_PERIOD_S
from .web import serve_app
from .weight_store import Rollout
from .weight_store.const import ROLLOUT_PERIOD_S

DRAIN_NOTICE_S = 1.0
DRAIN_LIMIT_S = 30.0
DRAIN_POLL_S = 0.05
EXPIRE_PERIOD_S = 30.0
REPORT_PERIOD_S = 1.0
HAND_OUT_PERIOD_S = 0.5
DITHER_PERIOD_S = 1.0
TARGET_VIEW_KEPT_S = 0.1


@dataclass(slots=True)
class TargetView:
    """Hold what a target's shares are computed from, for the requests of a short while."""

    taken_at: float
    capacity: int
    totals: dict[str, int]
    weights: dict[str, float]


class Daemon:
    """Hold the parts of one daemon; all run on one loop and one thread."""

    def __init__(
        self,
        settings: Settings,
        ports: DaemonPorts,
        task_group: anyio.abc.TaskGroup,
        timer: TimerService | None = None,
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.task_group = task_group
        self.timer = timer or TimerService()
        clock = self.timer.now
        self.name = settings.host
        self.incarnation = f"{settings.host}.{uuid4().hex[:12]}"
        self.telemetry = Telemetry(
            settings.host, settings.data_centre, settings.trace_ratio, settings.otlp_endpoint
        )
        self.config = ConfigCoordinator()
        self.target_views: dict[str, TargetView] = {}
        self.membership = Membership(self.name, settings.data_centre, clock)
        self._build_peers(clock)
        self._build_upstreams(clock)
        self._build_usage()
        self._build_fronts(clock)
        self.stopped = anyio.Event()
        self.operators = OperatorsApp(self)
        self._build_duties()

    def _build_peers(self, clock: Callable[[], float]) -> None:
        settings = self.settings
        self.client = self.ports.upstreams
        self.store = self.ports.store
        self.config_store = ConfigStore(self.store)
        self.tls = TlsContexts(settings)
        self.server = PeerServer(settings.daemons, self.tls.peer_server)
        greeting = messages.Greeting(
            protocol_version=PROTOCOL_VERSION,
            daemon=self.name,
            incarnation=self.incarnation,
            data_centre=settings.data_centre,
        )
        self.links = PeerLinks(greeting, self.task_group, self.tls.peer_client)
        self.loads = LoadTable(self.config, settings.data_centre, clock)
        self.admission = Admission(settings.max_concurrent, self._share_of, self._allowance_of)
        self.demand = DemandTable(self.config, clock, self.admission.demand)
        self.heartbeats = HeartbeatService(
            self.membership,
            self.config,
            self.links,
            self.server,
            self.ports.host_list,
            self.loads,
            self.demand,
            clock,
        )
        self.watcher = StoreWatcher(
            self.store, self.config, self.config_store, self.membership, self.heartbeats, clock
        )
        self.data_folder = DataFolder(settings.data_folder, self.config)

    def _build_upstreams(self, clock: Callable[[], float]) -> None:
        self.upstreams = UpstreamCoordinator(
            self.config,
            self.membership,
            self.client.control_http,
            clock,
            random.Random(),
            self.loads,
        )
        self.dispatcher = Dispatcher(
            self.upstreams, self.client, self.membership, self.links, self.telemetry, clock
        )
        self.server.stream_handlers["forward"] = self.dispatcher.serve_forward

    def _build_usage(self) -> None:
        self.usage = UsageCounter(self.config, self.incarnation, time.time)
        self.slots = ShardStore(self.usage, self.membership, self.links, self.store, time.time)
        self.server.handlers["usage_copies"] = self.slots.on_copies

    def _build_fronts(self, clock: Callable[[], float]) -> None:
        self.authenticator = Authenticator(self.config, self.heartbeats.is_fresh)
        self.holder = SampleProducer(
            self.config,
            self.dispatcher,
            self.ports.scorer,
            self.usage,
            self.telemetry,
            clock,
            self.admission,
            self.settings.sample_memory_bytes,
            self.task_group,
        )
        self.server.handlers["hold_groups"] = self.holder.on_hold_groups
        self.server.handlers["gather"] = self.holder.on_gather
        self.steps = StepService(self.membership, self.links, self.holder, clock)
        self.steps_app = StepsApp(self.config, self.steps)
        self.callers = CallersApp(
            self.config,
            self.authenticator,
            self.admission,
            ClaimStore(self.store, self.name),
            self.dispatcher,
            self.usage,
            self.telemetry,
            clock,
            self.steps_app.serve,
        )

    def _build_duties(self) -> None:
        self.duties = DutyManager(self.membership, self.store, self.timer, self.incarnation)
        data_centre = self.settings.data_centre
        orders = CapacityOrders(
            data_centre,
            self.config,
            self._demand_of,
            self.store,
            self._sender(f"orders/{data_centre}"),
            self.ports.order_counts,
        )
        self.duties.add(
            f"orders/{data_centre}",
            orders.run_once,
            DECISION_PERIOD_S,
            data_centre,
            orders.take_over,
        )
        rollout = Rollout(
            data_centre,
            self.config,
            self.upstreams,
            self.ports.weight_store,
            self._sender(f"weights/{data_centre}"),
            self.timer.now,
        )
        self.duties.add(
            f"weights/{data_centre}",
            rollout.run_once,
            ROLLOUT_PERIOD_S,
            data_centre,
            rollout.take_over,
        )
        self.config.subscribe(self._follow_owners)

    def _follow_owners(self) -> None:
        """Compete for the reports of each owner in the configuration."""
        for owner in self.config.document.sections:
            name = f"reports/{owner}"
            if name in self.duties.duties:
                continue
            reporter = UsageReporter(
                owner, self.usage, self.store, self._sender(name), self.ports.send_report, time.time
            )
            self.duties.add(name, reporter.run_once, REPORT_PERIOD_S)

    def _sender(self, duty: str) -> OrderSender:
        def is_lease_held(epoch: int) -> bool:
            found = self.duties.duties.get(duty)
            return found is not None and found.holder.is_held(epoch)

        return OrderSender(
            is_lease_held, lambda: self.telemetry.stopped_orders.add(1, {"duty": duty})
        )

    def _share_of(self, customer: str) -> float:
        found = self.config.document.customers.get(customer)
        return found.share if found else 1.0

    def _allowance_of(self, target: str, customer: str, demand: int) -> Quota:
        """Return what a customer may run here, by its share of the target."""
        now = self.timer.now()
        view = self.target_views.get(target)
        if view is None or now - view.taken_at > TARGET_VIEW_KEPT_S:
            view = self.target_views[target] = self._view_target(target, now)
        if not view.capacity:
            most = self.settings.max_concurrent
            return Quota(most, most)  # the dispatcher gives the clear refusal
        if customer not in view.weights:
            view.weights[customer] = self._share_of(customer)
        turn = int(now / DITHER_PERIOD_S)
        drawn = zlib.crc32(f"{self.name}/{target}/{customer}/{turn}".encode()) / 2**32
        return local_quota(customer, demand, view.totals, view.capacity, view.weights, drawn)

    def _view_target(self, target: str, now: float) -> TargetView:
        totals = {
            name: queued
            for (wanted, name), queued in self.demand.total().items()
            if wanted == target
        }
        weights = {name: self._share_of(name) for name in totals}
        return TargetView(now, self.upstreams.capacity(target), totals, weights)

    async def _hand_out(self) -> None:
        self.admission.admit_waiting()

    def _demand_of(self, target: str, data_centre: str) -> Demand | None:
        """Return the demand for a target, if it has upstreams in a data centre."""
        states = self.upstreams.states_by_target.get(target, [])
        places = {state.upstream.data_centre for state in states if not state.leaving}
        if data_centre not in places:
            return None
        totals = self.demand.total()
        queued = sum(count for (wanted, _), count in totals.items() if wanted == target)
        return Demand(queued, states[0].upstream.slots, len(places))

    async def run(
        self,
        stop: anyio.Event,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stop` is set, then drain."""
        self.data_folder.load()
        fronts_stop = anyio.Event()
        async with anyio.create_task_group() as fronts, AsyncExitStack() as stack:
            stack.push_async_callback(self.client.aclose)
            await self.task_group.start(self.server.run)
            self._start_background()
            fronts.start_soon(self._serve_callers, fronts_stop.wait)
            fronts.start_soon(self._serve_operators, fronts_stop.wait)
            await self.heartbeats.exchange_heartbeats()  # first, so that only relays open a watch
            self.task_group.start_soon(self.watcher.run)
            await self.watcher.wait_for_first_config()
            self.callers.ready = True
            task_status.started()
            log_message(message_type="daemon:ready", host=self.name)
            await stop.wait()
            await self._drain()
            fronts_stop.set()
        self.telemetry.close()
        self.stopped.set()
        log_message(message_type="daemon:stopped", host=self.name)

    def _start_background(self) -> None:
        start = self.task_group.start_soon
        start(self.timer.run)
        start(self.heartbeats.run_notifications)
        start(self.heartbeats.run_requested_exchanges)
        subscribe = self.timer.subscribe
        subscribe(HEARTBEAT_PERIOD_S, self.heartbeats.exchange_heartbeats)
        subscribe(HAND_OUT_PERIOD_S, self._hand_out)
        subscribe(HEARTBEAT_PERIOD_S, self.callers.abort_unverified)
        subscribe(LOAD_POLL_PERIOD_S, self.upstreams.poll_loads)
        subscribe(USAGE_COPY_PERIOD_S, self.slots.send_copies)
        subscribe(USAGE_FLUSH_PERIOD_S, self.slots.flush)
        subscribe(EXPIRE_PERIOD_S, self.holder.expire_groups)
        subscribe(RELOAD_PERIOD_S, self.tls.reload)
        subscribe(self.settings.export_period_s, self._export)

    async def _export(self) -> None:
        await self.telemetry.export(self.client.control_http)

    async def _serve_callers(self, shutdown: Callable[[], Awaitable[None]]) -> None:
        await serve_app(self.callers, self.settings.callers, shutdown, self.tls.front)

    async def _serve_operators(self, shutdown: Callable[[], Awaitable[None]]) -> None:
        await serve_app(self.operators.app, self.settings.operators, shutdown, self.tls.front)

    async def _drain(self) -> None:
        """Leave readiness first, then end what runs, then give back duties and counts."""
        log_message(message_type="daemon:draining", host=self.name)
        self.callers.ready = False
        self.server.draining = True
        await anyio.sleep(DRAIN_NOTICE_S)
        with anyio.move_on_after(DRAIN_LIMIT_S):
            while self.callers.running or self.server.active_streams:  # noqa: ASYNC110
                await anyio.sleep(DRAIN_POLL_S)
        await self.steps.transfer_groups()
        await self.duties.release_all()
        await self.slots.flush_at_stop()


async def run_daemon(settings: Settings) -> None:
    """Run one daemon as a process until SIGTERM or SIGINT."""
    stop = anyio.Event()

    async def watch_signals() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:  # stay: a second signal must not end a drain
                stop.set()

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(watch_signals)
        await Daemon(settings, build_ports(settings), task_group).run(stop)
        task_group.cancel_scope.cancel()
    # The receiver restores the default action, which would turn a late signal into a failure.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
