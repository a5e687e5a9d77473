"""Order weight loads, so that open training steps keep engines whose version they can use.

Each engine is assigned one model, and only that model is kept current on it. With several models
that share one set of engines, loading every version everywhere would leave no time to generate.
"""

import math
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

import anyio
import anyio.abc
from eliot import log_message

from ..errors import AcaciarillError
from ..fleet import UpstreamState, UpstreamTable
from ..fleet.const import ORDER_RETRY_DELAY_S
from ..leases import Lease
from ._load_limit import MIN_CONCURRENT_LOADS, LoadLimit

USABLE_LAG_VERSIONS = 1
"""The users' training steps accept tokens of their own version and of the one before."""
IDLE_LOAD_DELAY_S = 0.6
"""Engines that are still usable are not loaded within this time after a version is published,
because the training step for it arrives then."""
TARGET_CURRENT_SHARE = 2 / 3
"""Share of a model's engines to keep at the latest version. Loads are priced, and an engine that is
one version behind still serves. At this share, a new version makes at most two of six engines
unusable."""
LOAD_DURATION_S = 0.95
"""Time after which a load is expected to be finished and the engine is asked for its version."""
ORDER_BACKOFF_S = 0.4
"""An engine that did not accept an order gets the next one after this time, which doubles with each
further order. The engines that accept orders are loaded meanwhile."""
ORDER_BACKOFF_MAX_S = 3.2
LOAD_POLL_S = 0.15
LOAD_POLL_TIMEOUT_S = 3.0
REBALANCE_GAP_ENGINES = 2
"""An engine is reassigned only when one model has this many engines more than another."""


class OrderOutcome(StrEnum):
    """Name the outcomes of a load order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds"
    BUSY = "busy"
    IN_USE = "in use"
    REFUSED = "refused"


OrderWeightLoad = Callable[[UpstreamState, str, int, bool, Lease], Awaitable[OrderOutcome]]
"""Order an engine to load a version of a model; the flag limits the order to an idle engine."""
ReadLoadedVersion = Callable[[UpstreamState, str], Awaitable[int | None]]
"""Ask an engine which version of a model it has loaded."""
AnnounceVersion = Callable[[str, str, str, int], Awaitable[None]]
"""Tell every daemon which version of a model one lifetime of an engine has loaded."""


@dataclass(slots=True)
class PendingWeightLoad:
    """Represent an order that the engine may still carry out; `expires_at` is in seconds."""

    model: str
    version: int
    expires_at: float


@dataclass(slots=True)
class OrderBackoff:
    """Represent consecutive orders that an engine did not accept; `until` is in seconds."""

    count: int = 0
    until: float = 0.0

    def extend(self, now: float) -> None:
        """Start the next backoff."""
        self.until = now + min(ORDER_BACKOFF_MAX_S, ORDER_BACKOFF_S * 2**self.count)
        self.count += 1


@dataclass(slots=True, frozen=True)
class WeightLoad:
    """Represent a load to order; one that is not urgent is limited to an idle engine."""

    state: UpstreamState
    model: str
    version: int
    urgent: bool


def assign_models(
    states: list[UpstreamState], published_versions: dict[str, int], previous: dict[str, str]
) -> dict[str, str]:
    """Assign each engine one model, evenly over the models; return models by upstream id."""
    assignments = {
        state.upstream.id: previous[state.upstream.id]
        for state in states
        if previous.get(state.upstream.id) in state.upstream.versions
    }
    counts = Counter(assignments.values())
    for state in states:
        if state.upstream.id not in assignments and state.upstream.versions:
            assigned_model = min(
                state.upstream.versions,
                key=lambda model: (
                    counts[model],
                    _version_lag(state, model, published_versions),
                    model,
                ),
            )
            assignments[state.upstream.id] = assigned_model
            counts[assigned_model] += 1
    models = {model for state in states for model in state.upstream.versions}
    if not models:
        return assignments
    least_assigned = min(models, key=lambda model: (counts[model], model))
    most_assigned = max(models, key=lambda model: (counts[model], model))
    if counts[most_assigned] - counts[least_assigned] >= REBALANCE_GAP_ENGINES:
        movable = [
            state
            for state in states
            if assignments.get(state.upstream.id) == most_assigned
            and least_assigned in state.upstream.versions
        ]
        if movable:
            reassigned = min(
                movable, key=lambda state: _version_lag(state, least_assigned, published_versions)
            )
            assignments[reassigned.upstream.id] = least_assigned
    return assignments


def _version_lag(state: UpstreamState, model: str, published_versions: dict[str, int]) -> int:
    version = state.newest_version(model) or 0
    return max(0, published_versions.get(model, version) - version)


def _assigned_model_lag(
    state: UpstreamState, assignments: dict[str, str], published_versions: dict[str, int]
) -> int:
    assigned_model = assignments.get(state.upstream.id)
    return 0 if assigned_model is None else _version_lag(state, assigned_model, published_versions)


def choose_weight_loads(
    states: list[UpstreamState],
    assignments: dict[str, str],
    published_versions: dict[str, int],
    idle_delay_starts: dict[str, float],
    pending_loads: dict[str, PendingWeightLoad],
    now: float,
    max_concurrent: int = MIN_CONCURRENT_LOADS,
    backoffs: Mapping[str, OrderBackoff] = MappingProxyType({}),
) -> list[WeightLoad]:
    """Return the loads to order now, at most `max_concurrent` including those already running.

    Engines that open training steps cannot use are loaded first. Of the others, half of each
    model's engines are loaded at once, so that they never all fall two versions behind together;
    some more are loaded while they are idle.
    """

    def target_current_count(engines: int) -> int:
        return math.ceil(engines * TARGET_CURRENT_SHARE)

    loading_states = [state for state in states if _is_loading(state, pending_loads, now)]
    loading_models = Counter(assignments.get(state.upstream.id, "") for state in loading_states)
    current_counts = Counter(
        assigned_model
        for state in states
        if (assigned_model := assignments.get(state.upstream.id))
        and (state in loading_states or not _version_lag(state, assigned_model, published_versions))
    )
    engine_counts = Counter(
        assignments[state.upstream.id] for state in states if state.upstream.id in assignments
    )
    loads: list[WeightLoad] = []
    for state in sorted(
        states, key=lambda state: -_assigned_model_lag(state, assignments, published_versions)
    ):
        model = assignments.get(state.upstream.id)
        if (
            model is None
            or state in loading_states
            or state.deregistered
            or state.upstream.draining
            or _is_backing_off(state, backoffs, now)
        ):
            continue
        lag = _version_lag(state, model, published_versions)
        delay_passed = now - idle_delay_starts.get(model, 0.0) >= IDLE_LOAD_DELAY_S
        if lag > USABLE_LAG_VERSIONS or (lag and current_counts[model] < engine_counts[model] // 2):
            current_counts[model] += 1
            loads.append(WeightLoad(state, model, published_versions[model], True))
        elif (
            lag
            and delay_passed
            and not loading_models[model]
            and current_counts[model] < target_current_count(engine_counts[model])
        ):
            loading_models[model] += 1
            current_counts[model] += 1
            loads.append(WeightLoad(state, model, published_versions[model], False))
    loads.sort(
        key=lambda load: (
            not load.urgent,
            -_version_lag(load.state, load.model, published_versions),
        )
    )
    return loads[: max(0, max_concurrent - len(loading_states))]


def _is_loading(
    state: UpstreamState, pending_loads: dict[str, PendingWeightLoad], now: float
) -> bool:
    order = pending_loads.get(state.upstream.id)
    if order is None or order.expires_at <= now:
        return False
    return (state.newest_version(order.model) or order.version) < order.version


def _is_backing_off(state: UpstreamState, backoffs: Mapping[str, OrderBackoff], now: float) -> bool:
    backoff = backoffs.get(state.upstream.id)
    return backoff is not None and backoff.until > now


class WeightsDuty:
    """Order loads of the published versions while the lease is held."""

    def __init__(
        self,
        table: UpstreamTable,
        published_versions: Callable[[], dict[str, int]],
        order_weight_load: OrderWeightLoad,
        read_loaded_version: ReadLoadedVersion,
        announce_version: AnnounceVersion,
        task_group: anyio.abc.TaskGroup,
        clock: Callable[[], float],
    ) -> None:
        self.read_loaded_version = read_loaded_version
        self.announce_version = announce_version
        self.task_group = task_group
        self.table = table
        self.published_versions = published_versions
        self.order_weight_load = order_weight_load
        self.clock = clock
        self.pending_loads: dict[str, PendingWeightLoad] = {}
        self.assignments: dict[str, str] = {}
        self.seen_versions: dict[str, int] = {}
        self.idle_delay_starts: dict[str, float] = {}
        self.backoffs: dict[str, OrderBackoff] = {}
        self.load_limits: dict[str, LoadLimit] = {}
        self.running_loads: Counter[str] = Counter()

    async def run_once(self, lease: Lease) -> None:
        """Choose the loads of each service and send their orders concurrently."""
        now = self.clock()
        for upstream_id in self.backoffs.keys() - self.table.states.keys():
            del self.backoffs[upstream_id]
        published_versions = self.published_versions()
        for model, version in published_versions.items():
            if self.seen_versions.get(model) != version:
                self.seen_versions[model], self.idle_delay_starts[model] = version, now
        async with anyio.create_task_group() as orders:
            for service, states in list(self.table.by_service.items()):
                engines = [state for state in states if state.upstream.versions]
                assignments = assign_models(engines, published_versions, self.assignments)
                self.assignments.update(assignments)
                for load in choose_weight_loads(
                    engines,
                    assignments,
                    published_versions,
                    self.idle_delay_starts,
                    self.pending_loads,
                    now,
                    self.load_limits.setdefault(service, LoadLimit()).value,
                    self.backoffs,
                ):
                    expires_at = now + ORDER_RETRY_DELAY_S
                    self.pending_loads[load.state.upstream.id] = PendingWeightLoad(
                        load.model, load.version, expires_at
                    )
                    orders.start_soon(self._order_load, load, lease)

    async def _order_load(self, load: WeightLoad, lease: Lease) -> None:
        upstream = load.state.upstream
        try:
            outcome = await self.order_weight_load(
                load.state, load.model, load.version, not load.urgent, lease
            )
        except AcaciarillError as error:
            log_message(
                message_type="weights:order_failed",
                upstream=upstream.id,
                step=str(error.step),
                reason=error.message,
            )
            # The engine may still carry out this order; the next order then replaces it.
            self._back_off(upstream.id)
            return
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_LOADED):
            self.backoffs.pop(upstream.id, None)
        elif outcome is OrderOutcome.IN_USE:
            self.pending_loads.pop(upstream.id, None)
        else:
            self._back_off(upstream.id)
        if outcome is OrderOutcome.IN_USE:
            self.idle_delay_starts[load.model] = self.clock()
            return
        log_message(
            message_type="weights:ordered",
            upstream=upstream.id,
            model=load.model,
            version=load.version,
            previous_version=upstream.versions.get(load.model),
            urgent=load.urgent,
            outcome=str(outcome),
            epoch=lease.epoch,
        )
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_LOADED):
            is_new = outcome is OrderOutcome.ACCEPTED
            self.task_group.start_soon(self._announce_when_loaded, load, is_new)

    def _back_off(self, upstream_id: str) -> None:
        self.pending_loads.pop(upstream_id, None)
        self.backoffs.setdefault(upstream_id, OrderBackoff()).extend(self.clock())

    async def _announce_when_loaded(self, load: WeightLoad, is_new: bool) -> None:
        """Announce a finished load; the engine's entry in the store shows it a second later.

        Only a load that this order started tells how long loads take.
        """
        upstream = load.state.upstream
        started_at = self.clock()
        self.running_loads[upstream.service] += 1
        concurrent_loads = self.running_loads[upstream.service]
        version = await self._wait_until_loaded(load)
        concurrent_loads = max(concurrent_loads, self.running_loads[upstream.service])
        self.running_loads[upstream.service] -= 1
        if version is None:
            return
        if is_new:
            self._record_load(upstream.service, concurrent_loads, self.clock() - started_at)
        await self.announce_version(upstream.id, upstream.lifetime, load.model, version)

    def _record_load(self, service: str, concurrent_loads: int, duration_s: float) -> None:
        load_limit = self.load_limits[service]
        previous_limit = load_limit.value
        load_limit.record_load(concurrent_loads, duration_s, self.clock())
        if load_limit.value != previous_limit:
            log_message(
                message_type="weights:limit_changed",
                service=service,
                limit=load_limit.value,
                previous_limit=previous_limit,
                concurrent=concurrent_loads,
                duration_s=round(duration_s, 2),
                fastest_s=round(load_limit.fastest_load_s, 2),
            )

    async def _wait_until_loaded(self, load: WeightLoad) -> int | None:
        """Return the version that the engine has loaded, or None if it is not the ordered one.

        The engine is asked for at most LOAD_POLL_TIMEOUT_S.
        """
        upstream = load.state.upstream
        await anyio.sleep(LOAD_DURATION_S)
        deadline = self.clock() + LOAD_POLL_TIMEOUT_S
        while self.clock() < deadline:
            try:
                version = await self.read_loaded_version(load.state, load.model)
            except AcaciarillError as error:
                log_message(
                    message_type="weights:read_failed", upstream=upstream.id, reason=error.message
                )
                return None
            if version is not None and version >= load.version:
                self.table.observe_version(upstream.id, upstream.lifetime, load.model, version)
                return version
            await anyio.sleep(LOAD_POLL_S)
        return None
