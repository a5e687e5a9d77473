"""Give the items of all own batches places on engines, in the order that earns most."""

from collections import OrderedDict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from ..fleet import UpstreamState, UpstreamTable
from ..fleet.const import SLOW_ENGINE_FACTOR
from .const import GROUPS_KEPT, RESUME_AFTER_S, SLOW_AFTER_EVENTS, STALL_S


@dataclass(slots=True)
class Place:
    """Describe what one item needs; lower `rank` goes first.

    An engine must hold at least `min_version` of the model; `exact_version` binds a resumed text
    that may name one version only.
    """

    service: str
    model: str
    min_version: int
    rank: tuple[float, ...]
    group: str
    exact_version: int | None = None
    avoid: str = ""


@dataclass(slots=True)
class Run:
    """Hold one stream in progress; `stopped` says why it is to go on elsewhere."""

    place: Place
    state: UpstreamState
    last_event_at: float
    events: int = 0
    stopped: str = ""
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def note_event(self, now: float) -> None:
        """Take one event into the engine's pace."""
        if self.events:
            self.state.record_event_interval(now - self.last_event_at, now)
        self.events += 1
        self.last_event_at = now


@dataclass(slots=True)
class _Waiter:
    place: Place
    ready: anyio.Event = field(default_factory=anyio.Event)
    given: UpstreamState | None = None


class EngineScheduler:
    """Hand out slots of engines to waiting items, and move items off engines that fail them."""

    def __init__(self, table: UpstreamTable, clock: Callable[[], float]) -> None:
        self.table = table
        self.clock = clock
        self.waiters: list[_Waiter] = []
        self.active_streams: list[Run] = []
        self.group_places: OrderedDict[str, str] = OrderedDict()
        table.subscribe(self.assign_slots)

    @asynccontextmanager
    async def place(self, place: Place) -> AsyncIterator[UpstreamState]:
        """Wait for a slot and hold it for the block."""
        waiter = _Waiter(place)
        self.waiters.append(waiter)
        self.assign_slots()
        try:
            await waiter.ready.wait()
            assert waiter.given is not None
            yield waiter.given
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
            if waiter.given is not None:
                waiter.given.in_flight -= 1
                self.table.notify_listeners()

    def assign_slots(self) -> None:
        """Give free slots to the waiting items, the first in rank first."""
        if not self.waiters:
            return
        now = self.clock()
        for waiter in sorted(self.waiters, key=lambda waiter: waiter.place.rank):
            state = self._choose(waiter.place, now)
            if state is None:
                continue
            state.in_flight += 1
            waiter.given = state
            self._keep_place(waiter.place.group, state.upstream.id)
            self.waiters.remove(waiter)
            waiter.ready.set()

    def _keep_place(self, group: str, upstream: str) -> None:
        self.group_places[group] = upstream
        self.group_places.move_to_end(group)
        if len(self.group_places) > GROUPS_KEPT:
            self.group_places.popitem(last=False)

    def stop_lagging_streams(self) -> None:
        """Stop streams that are silent or slow while another engine has room for them."""
        now = self.clock()
        for run in list(self.active_streams):
            if run.stopped:
                continue
            silent_s = now - run.last_event_at
            if silent_s >= STALL_S:
                run.stopped = "no event in time"
            elif silent_s >= RESUME_AFTER_S and self._other(run, now) is not None:
                run.stopped = "no event for a while"
            elif run.events >= SLOW_AFTER_EVENTS and self._slower(run, now):
                run.stopped = "slow engine"
            if run.stopped:
                if run.stopped != "slow engine":
                    run.state.record_failure(now)
                run.scope.cancel()

    def _other(self, run: Run, now: float) -> UpstreamState | None:
        found = self._choose(run.place, now)
        return None if found is run.state else found

    def _slower(self, run: Run, now: float) -> bool:
        other = self._other(run, now)
        if other is None or not self._is_slow(run.state, run.place, now):
            return False
        return not self._is_slow(other, run.place, now)

    def _is_slow(self, state: UpstreamState, place: Place, now: float) -> bool:
        """Tell whether the engine's events take much longer than those of the fastest engine."""
        own = state.mean_event_interval_s(now)
        if own is None:
            return False
        paces = [
            pace
            for other in self.table.states_for(place.service)
            if (pace := other.mean_event_interval_s(now))
        ]
        return own > SLOW_ENGINE_FACTOR * min(paces, default=own)

    def _choose(self, place: Place, now: float) -> UpstreamState | None:
        """Return an engine with a free slot, the one that has read the group's prompt if it can."""
        states = [
            state
            for state in self.table.states_for(place.service)
            if state.is_usable(now)
            and state.overloaded_until <= now
            and state.free_slots(now) > 0
            and _version_fits(place, state)
        ]
        if not states:
            return None
        others = [state for state in states if state.upstream.id != place.avoid] or states
        known = self.group_places.get(place.group)
        return min(
            others,
            key=lambda state: (
                self._is_slow(state, place, now),
                state.upstream.id != known,
                state.load_per_slot(now),
                state.upstream.data_centre != self.table.data_centre,
            ),
        )


def _version_fits(place: Place, state: UpstreamState) -> bool:
    version = state.newest_version(place.model)
    if version is None:
        return False
    if place.exact_version is not None:
        return version == place.exact_version
    return version >= place.min_version
