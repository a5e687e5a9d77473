"""Build one daemon from its components and run it."""

import random
import resource
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
from .connection_budget import CLOSE_STALLED_PERIOD_S, ConnectionBudget, ConnectionLimits
from .daemons import DemandTable, HeartbeatService, Membership, OccupancyTable
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
from .tls import CERTIFICATE_RELOAD_PERIOD_S, TlsContexts
from .trainers import SampleProducer, StepsApp, StepService
from .upstreams import Dispatcher, OrderSender, UpstreamCoordinator
from .upstreams.const import LOAD_POLL_PERIOD_S
from .usage import ShardStore, UsageCounter, UsageReporter
from .usage.const import USAGE_COPY_PERIOD_S, USAGE_FLUSH_PERIOD_S
from .web import serve_app
from .weight_store import Rollout
from .weight_store.const import ROLLOUT_PERIOD_S

DRAIN_READINESS_DELAY_S = 1.0
"""Time for clients and peers to notice the failed readiness check before the drain."""
DRAIN_TIMEOUT_S = 30.0
DRAIN_POLL_PERIOD_S = 0.05
GROUP_EXPIRY_PERIOD_S = 30.0
USAGE_REPORT_PERIOD_S = 1.0
ADMIT_PERIOD_S = 0.5
QUOTA_DITHER_PERIOD_S = 1.0
"""Period after which a different set of daemons rounds its part of a quota up."""
QUOTA_INPUTS_TTL_S = 0.1


@dataclass(slots=True)
class QuotaInputs:
    """Cache the inputs of the quotas for one target, for up to QUOTA_INPUTS_TTL_S."""

    computed_at: float
    capacity: int
    totals: dict[str, int]
    weights: dict[str, float]


class Daemon:
    """Own the components of one daemon; all run on one event loop in one thread."""

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
        self.quota_inputs: dict[str, QuotaInputs] = {}
        self.membership = Membership(self.name, settings.data_centre, clock)
        self._build_peers(clock)
        self._build_upstreams(clock)
        self._build_usage()
        self._build_services(clock)
        self.stopped = anyio.Event()
        self.operators = OperatorsApp(self)
        self._build_duties()

    def _build_peers(self, clock: Callable[[], float]) -> None:
        settings = self.settings
        self.upstream_client = self.ports.upstreams
        self.store = self.ports.store
        self.config_store = ConfigStore(self.store)
        self.tls = TlsContexts(settings)
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.budget = ConnectionBudget(
            clock,
            ConnectionLimits.from_settings(settings.memory_bytes, max_descriptors),
            lambda reason: self.telemetry.closed_connections.add(1, {"reason": reason}),
            lambda reason: self.telemetry.refused_bodies.add(1, {"reason": reason}),
        )
        self.server = PeerServer(settings.daemons, self.tls.peer_server, self.budget)
        greeting = messages.Greeting(
            protocol_version=PROTOCOL_VERSION,
            daemon=self.name,
            incarnation=self.incarnation,
            data_centre=settings.data_centre,
        )
        self.links = PeerLinks(greeting, self.task_group, self.tls.peer_client)
        self.occupancies = OccupancyTable(self.config, settings.data_centre, clock)
        self.admission = Admission(
            settings.max_concurrent, self._customer_share, self._customer_quota
        )
        self.demand = DemandTable(self.config, clock, self.admission.demand)
        self.heartbeats = HeartbeatService(
            self.membership,
            self.config,
            self.links,
            self.server,
            self.ports.host_list,
            self.occupancies,
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
            self.upstream_client.control_http,
            clock,
            random.Random(),
            self.occupancies,
        )
        self.dispatcher = Dispatcher(
            self.upstreams, self.upstream_client, self.membership, self.links, self.telemetry, clock
        )
        self.server.stream_handlers["forward"] = self.dispatcher.serve_forward

    def _build_usage(self) -> None:
        self.usage = UsageCounter(self.config, self.incarnation, time.time)
        self.usage_shards = ShardStore(
            self.usage, self.membership, self.links, self.store, time.time
        )
        self.server.handlers["usage_copies"] = self.usage_shards.on_copies

    def _build_services(self, clock: Callable[[], float]) -> None:
        self.authenticator = Authenticator(self.config, self.heartbeats.is_fresh)
        self.sample_producer = SampleProducer(
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
        self.server.handlers["hold_groups"] = self.sample_producer.on_hold_groups
        self.server.handlers["gather"] = self.sample_producer.on_gather
        self.steps = StepService(self.membership, self.links, self.sample_producer, clock)
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
            self.budget,
        )

    def _build_duties(self) -> None:
        self.duties = DutyManager(self.membership, self.store, self.timer, self.incarnation)
        data_centre = self.settings.data_centre
        orders = CapacityOrders(
            data_centre,
            self.config,
            self._target_demand,
            self.store,
            self._order_sender(f"orders/{data_centre}"),
            self.ports.send_capacity_order,
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
            self._order_sender(f"weights/{data_centre}"),
            self.timer.now,
        )
        self.duties.add(
            f"weights/{data_centre}",
            rollout.run_once,
            ROLLOUT_PERIOD_S,
            data_centre,
            rollout.take_over,
        )
        self.config.subscribe(self._add_report_duties)

    def _add_report_duties(self) -> None:
        """Add a usage report duty per configured owner; its lease elects one daemon to run it."""
        for owner in self.config.document.sections:
            name = f"reports/{owner}"
            if name in self.duties.duties:
                continue
            reporter = UsageReporter(
                owner,
                self.usage,
                self.store,
                self._order_sender(name),
                self.ports.send_report,
                time.time,
            )
            self.duties.add(name, reporter.run_once, USAGE_REPORT_PERIOD_S)

    def _order_sender(self, duty: str) -> OrderSender:
        def is_lease_held(epoch: int) -> bool:
            registered = self.duties.duties.get(duty)
            return registered is not None and registered.holder.is_held(epoch)

        return OrderSender(
            is_lease_held, lambda: self.telemetry.stopped_orders.add(1, {"duty": duty})
        )

    def _customer_share(self, customer: str) -> float:
        configured = self.config.document.customers.get(customer)
        return configured.share if configured else 1.0

    def _customer_quota(self, target: str, customer: str, demand: int) -> Quota:
        """Return the quota of a customer at this daemon, by its share of the target's capacity."""
        now = self.timer.now()
        inputs = self.quota_inputs.get(target)
        if inputs is None or now - inputs.computed_at > QUOTA_INPUTS_TTL_S:
            inputs = self.quota_inputs[target] = self._build_quota_inputs(target, now)
        if not inputs.capacity:
            limit = self.settings.max_concurrent
            # No quota without capacity: the dispatcher rejects the request with the exact reason.
            return Quota(limit, limit)
        if customer not in inputs.weights:
            inputs.weights[customer] = self._customer_share(customer)
        dither_period = int(now / QUOTA_DITHER_PERIOD_S)
        dither = zlib.crc32(f"{self.name}/{target}/{customer}/{dither_period}".encode()) / 2**32
        return local_quota(customer, demand, inputs.totals, inputs.capacity, inputs.weights, dither)

    def _build_quota_inputs(self, target: str, now: float) -> QuotaInputs:
        totals = {
            name: queued
            for (demand_target, name), queued in self.demand.total().items()
            if demand_target == target
        }
        weights = {name: self._customer_share(name) for name in totals}
        return QuotaInputs(now, self.upstreams.capacity(target), totals, weights)

    async def _admit_waiting(self) -> None:
        self.admission.admit_waiting()

    def _target_demand(self, target: str, data_centre: str) -> Demand | None:
        """Return the demand for a target, or None without upstreams of it in the data centre."""
        states = self.upstreams.states_by_target.get(target, [])
        data_centres = {state.upstream.data_centre for state in states if not state.leaving}
        if data_centre not in data_centres:
            return None
        totals = self.demand.total()
        queued = sum(
            count for (demand_target, _), count in totals.items() if demand_target == target
        )
        return Demand(queued, states[0].upstream.slots, len(data_centres))

    async def run(
        self,
        stop_requested: anyio.Event,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stop_requested` is set, then drain."""
        self.data_folder.load()
        stop_servers = anyio.Event()
        async with anyio.create_task_group() as servers, AsyncExitStack() as stack:
            stack.push_async_callback(self.upstream_client.aclose)
            await self.task_group.start(self.server.run)
            self._start_background()
            servers.start_soon(self._serve_callers, stop_servers.wait)
            servers.start_soon(self._serve_operators, stop_servers.wait)
            # Determines the relays before the watcher starts: only relays open a watch.
            await self.heartbeats.exchange_heartbeats()
            self.task_group.start_soon(self.watcher.run)
            await self.watcher.wait_for_first_config()
            self.callers.ready = True
            task_status.started()
            log_message(message_type="daemon:ready", host=self.name)
            await stop_requested.wait()
            await self._drain()
            stop_servers.set()
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
        subscribe(ADMIT_PERIOD_S, self._admit_waiting)
        subscribe(HEARTBEAT_PERIOD_S, self.callers.abort_unverified)
        subscribe(CLOSE_STALLED_PERIOD_S, self._close_stalled_connections)
        subscribe(LOAD_POLL_PERIOD_S, self.upstreams.poll_loads)
        subscribe(USAGE_COPY_PERIOD_S, self.usage_shards.send_copies)
        subscribe(USAGE_FLUSH_PERIOD_S, self.usage_shards.flush)
        subscribe(GROUP_EXPIRY_PERIOD_S, self.sample_producer.expire_groups)
        subscribe(CERTIFICATE_RELOAD_PERIOD_S, self.tls.reload)
        subscribe(self.settings.export_period_s, self._export)

    async def _close_stalled_connections(self) -> None:
        self.budget.close_stalled()

    async def _export(self) -> None:
        await self.telemetry.export(self.upstream_client.control_http)

    async def _serve_callers(self, shutdown: Callable[[], Awaitable[None]]) -> None:
        await serve_app(self.callers, self.settings.callers, shutdown, self.tls.frontend)

    async def _serve_operators(self, shutdown: Callable[[], Awaitable[None]]) -> None:
        await serve_app(self.operators.app, self.settings.operators, shutdown, self.tls.frontend)

    async def _drain(self) -> None:
        """Fail the readiness check, end active requests, then release duties and flush counters."""
        log_message(message_type="daemon:draining", host=self.name)
        self.callers.ready = False
        self.server.draining = True
        await anyio.sleep(DRAIN_READINESS_DELAY_S)
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            while self.callers.running or self.server.active_streams:  # noqa: ASYNC110
                await anyio.sleep(DRAIN_POLL_PERIOD_S)
        await self.steps.transfer_groups()
        await self.duties.release_all()
        await self.usage_shards.flush_at_stop()


async def run_daemon(settings: Settings) -> None:
    """Run one daemon until SIGTERM or SIGINT, then drain it."""
    stop_requested = anyio.Event()

    async def watch_signals() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:  # keep receiving: a second signal must not stop a drain
                stop_requested.set()

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(watch_signals)
        await Daemon(settings, build_ports(settings), task_group).run(stop_requested)
        task_group.cancel_scope.cancel()
    # The closed receiver restored the default action, so a late signal would end the process with
    # a failure status.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
