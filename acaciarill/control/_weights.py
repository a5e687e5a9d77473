"""Bring engines to the newest named versions, so that open steps keep engines they may use.

Each engine has a home: the one model that it is kept current for. With several models that share
one set of engines, loading every version everywhere would leave no time to generate.
"""

import math
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

import anyio
import anyio.abc
from eliot import log_message

from ..errors import AcaciarillError
from ..fleet import UpstreamState, UpstreamTable
from ..fleet.const import ORDER_RETRY_S
from ..leases import Lease

LOADS_AT_ONCE = 2
"""How many engines of a service load at once; more make each load longer."""
USABLE_LAG = 1
"""A step takes tokens of the version before the one that was named for it, as the sheets say."""
IDLE_LOAD_AFTER_S = 0.6
"""An engine that is still usable is not loaded right after a naming, when the step arrives."""
CURRENT_SHARE = 2 / 3
"""An engine need not load each version: loads are priced, and one that is a version behind serves.
With this share current, those that a new version makes unusable are at most two of six."""
LOAD_S = 0.95
"""How long a load takes when no more run than the site allows."""
LOAD_CHECK_S = 0.15
LOAD_WAIT_S = 3.0
REBALANCE_GAP = 2
"""Engines change their home only when one model has so many more than another."""


class OrderOutcome(StrEnum):
    """Tell what became of an order to an engine."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds"
    BUSY = "busy"
    IN_USE = "in use"
    REFUSED = "refused"


SendOrder = Callable[[UpstreamState, str, int, bool, Lease], Awaitable[OrderOutcome]]
"""Order an engine to load a version of a model, only if it is idle where so said."""
ReadVersion = Callable[[UpstreamState, str], Awaitable[int | None]]
"""Ask an engine for the version of a model that it holds."""
Announce = Callable[[str, str, str, int], Awaitable[None]]
"""Tell every daemon the version of a model that a lifetime of an engine holds."""


@dataclass(slots=True)
class Loading:
    """Hold an order that may still be carried out."""

    model: str
    version: int
    until: float


@dataclass(slots=True, frozen=True)
class Load:
    """Hold one load to order; one that only an idle engine takes is not urgent."""

    state: UpstreamState
    model: str
    version: int
    urgent: bool


def assign_homes(
    states: list[UpstreamState], named: dict[str, int], before: dict[str, str]
) -> dict[str, str]:
    """Return the model that each engine is kept current for, alike for all models."""
    homes = {
        state.upstream.id: before[state.upstream.id]
        for state in states
        if before.get(state.upstream.id) in state.upstream.versions
    }
    counts = Counter(homes.values())
    for state in states:
        if state.upstream.id not in homes and state.upstream.versions:
            home = min(
                state.upstream.versions,
                key=lambda model: (counts[model], _behind(state, model, named), model),
            )
            homes[state.upstream.id] = home
            counts[home] += 1
    models = {model for state in states for model in state.upstream.versions}
    if not models:
        return homes
    poorest = min(models, key=lambda model: (counts[model], model))
    richest = max(models, key=lambda model: (counts[model], model))
    if counts[richest] - counts[poorest] >= REBALANCE_GAP:
        movable = [
            state
            for state in states
            if homes.get(state.upstream.id) == richest and poorest in state.upstream.versions
        ]
        if movable:
            moved = min(movable, key=lambda state: _behind(state, poorest, named))
            homes[moved.upstream.id] = poorest
    return homes


def _behind(state: UpstreamState, model: str, named: dict[str, int]) -> int:
    version = state.version(model) or 0
    return max(0, named.get(model, version) - version)


def _behind_home(state: UpstreamState, homes: dict[str, str], named: dict[str, int]) -> int:
    home = homes.get(state.upstream.id)
    return 0 if home is None else _behind(state, home, named)


def choose_loads(
    states: list[UpstreamState],
    homes: dict[str, str],
    named: dict[str, int],
    named_at: dict[str, float],
    loading: dict[str, Loading],
    now: float,
    at_once: int = LOADS_AT_ONCE,
) -> list[Load]:
    """Return the loads to order now.

    Engines that open steps cannot use go first. Of the others, half of each model's engines go at
    once, so that never all of them fall two versions behind together; some more when they are idle.
    """

    def wanted(engines: int) -> int:
        return math.ceil(engines * CURRENT_SHARE)

    busy = [state for state in states if _is_loading(state, loading, now)]
    busy_homes = Counter(homes.get(state.upstream.id, "") for state in busy)
    newest = Counter(
        home
        for state in states
        if (home := homes.get(state.upstream.id))
        and (state in busy or not _behind(state, home, named))
    )
    total = Counter(homes[state.upstream.id] for state in states if state.upstream.id in homes)
    loads: list[Load] = []
    for state in sorted(states, key=lambda state: -_behind_home(state, homes, named)):
        model = homes.get(state.upstream.id)
        if model is None or state in busy or state.leaving or state.upstream.draining:
            continue
        behind = _behind(state, model, named)
        rested = now - named_at.get(model, 0.0) >= IDLE_LOAD_AFTER_S
        if behind > USABLE_LAG or (behind and newest[model] < total[model] // 2):
            newest[model] += 1
            loads.append(Load(state, model, named[model], True))
        elif behind and rested and not busy_homes[model] and newest[model] < wanted(total[model]):
            busy_homes[model] += 1
            newest[model] += 1
            loads.append(Load(state, model, named[model], False))
    loads.sort(key=lambda load: (not load.urgent, -_behind(load.state, load.model, named)))
    return loads[: max(0, at_once - len(busy))]


def _is_loading(state: UpstreamState, loading: dict[str, Loading], now: float) -> bool:
    order = loading.get(state.upstream.id)
    if order is None or order.until <= now:
        return False
    return (state.version(order.model) or order.version) < order.version


class WeightsDuty:
    """Order loads of named versions while the lease is held."""

    def __init__(
        self,
        table: UpstreamTable,
        named: Callable[[], dict[str, int]],
        send: SendOrder,
        read: ReadVersion,
        announce: Announce,
        task_group: anyio.abc.TaskGroup,
        clock: Callable[[], float],
    ) -> None:
        self.read = read
        self.announce = announce
        self.task_group = task_group
        self.table = table
        self.named = named
        self.send = send
        self.clock = clock
        self.loading: dict[str, Loading] = {}
        self.homes: dict[str, str] = {}
        self.known: dict[str, int] = {}
        self.named_at: dict[str, float] = {}

    async def run_once(self, lease: Lease) -> None:
        """Send the orders that may be sent now, side by side."""
        now = self.clock()
        named = self.named()
        for model, version in named.items():
            if self.known.get(model) != version:
                self.known[model], self.named_at[model] = version, now
        async with anyio.create_task_group() as orders:
            for states in list(self.table.by_service.values()):
                engines = [state for state in states if state.upstream.versions]
                homes = assign_homes(engines, named, self.homes)
                self.homes.update(homes)
                for load in choose_loads(engines, homes, named, self.named_at, self.loading, now):
                    until = now + ORDER_RETRY_S
                    self.loading[load.state.upstream.id] = Loading(load.model, load.version, until)
                    orders.start_soon(self._order, load, lease)

    async def _order(self, load: Load, lease: Lease) -> None:
        upstream = load.state.upstream
        try:
            outcome = await self.send(load.state, load.model, load.version, not load.urgent, lease)
        except AcaciarillError as error:
            log_message(
                message_type="weights:order_failed",
                upstream=upstream.id,
                step=str(error.step),
                reason=error.message,
            )
            self.loading.pop(upstream.id, None)  # the next one voids what may still be carried out
            return
        if outcome not in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_LOADED):
            self.loading.pop(upstream.id, None)
        if outcome is OrderOutcome.IN_USE:
            self.named_at[load.model] = self.clock()
            return
        log_message(
            message_type="weights:ordered",
            upstream=upstream.id,
            model=load.model,
            version=load.version,
            before=upstream.versions.get(load.model),
            urgent=load.urgent,
            outcome=str(outcome),
            epoch=lease.epoch,
        )
        self.task_group.start_soon(self._follow_load, load)

    async def _follow_load(self, load: Load) -> None:
        """Tell the other daemons when a load is done: the engine's entry says so a second later."""
        upstream = load.state.upstream
        await anyio.sleep(LOAD_S)
        until = self.clock() + LOAD_WAIT_S
        while self.clock() < until:
            try:
                version = await self.read(load.state, load.model)
            except AcaciarillError as error:
                log_message(
                    message_type="weights:not_read", upstream=upstream.id, reason=error.message
                )
                return
            if version is not None and version >= load.version:
                self.table.observe_version(upstream.id, upstream.lifetime, load.model, version)
                await self.announce(upstream.id, upstream.lifetime, load.model, version)
                return
            await anyio.sleep(LOAD_CHECK_S)
