"""Assign engine slots to the items of this daemon's batches, in order of rank."""

from collections import OrderedDict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from ..fleet import UpstreamState, UpstreamTable
from ..fleet.const import SLOW_ENGINE_FACTOR
from .const import (
    MAX_TRACKED_GROUPS,
    MIN_EVENTS_BEFORE_SLOW_STOP,
    SOFT_STALL_TIMEOUT_S,
    STALL_TIMEOUT_S,
)


@dataclass(slots=True)
class SlotRequest:
    """Describe the engine that an item needs; the request with the lowest `rank` is served first.

    The engine must serve at least `min_version` of the model, and `exact_version` if the item
    resumes a text whose route allows a single version.
    """

    service: str
    model: str
    min_version: int
    rank: tuple[float, ...]
    group: str
    exact_version: int | None = None
    avoided_upstream: str = ""


@dataclass(slots=True)
class ActiveStream:
    """Track one response stream; `stop_reason` says why its item must resume elsewhere."""

    slot_request: SlotRequest
    state: UpstreamState
    last_event_at: float
    event_count: int = 0
    stop_reason: str = ""
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def record_event(self, now: float) -> None:
        """Record a received chunk as one event and update the engine's mean event interval."""
        if self.event_count:
            self.state.record_event_interval(now - self.last_event_at, now)
        self.event_count += 1
        self.last_event_at = now


@dataclass(slots=True)
class _Waiter:
    slot_request: SlotRequest
    ready: anyio.Event = field(default_factory=anyio.Event)
    assigned: UpstreamState | None = None


class EngineScheduler:
    """Assign free engine slots to waiting items, and stop streams on stalled or slow engines."""

    def __init__(self, table: UpstreamTable, clock: Callable[[], float]) -> None:
        self.table = table
        self.clock = clock
        self.waiters: list[_Waiter] = []
        self.active_streams: list[ActiveStream] = []
        self.group_upstreams: OrderedDict[str, str] = OrderedDict()
        table.subscribe(self.assign_slots)

    @asynccontextmanager
    async def acquire_slot(self, slot_request: SlotRequest) -> AsyncIterator[UpstreamState]:
        """Wait for a slot, and release it when the block ends."""
        waiter = _Waiter(slot_request)
        self.waiters.append(waiter)
        self.assign_slots()
        try:
            await waiter.ready.wait()
            assert waiter.assigned is not None
            yield waiter.assigned
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
            if waiter.assigned is not None:
                waiter.assigned.in_flight -= 1
                self.table.notify_listeners()

    def assign_slots(self) -> None:
        """Assign the free slots to waiting items, lowest rank first."""
        if not self.waiters:
            return
        now = self.clock()
        for waiter in sorted(self.waiters, key=lambda waiter: waiter.slot_request.rank):
            state = self._choose_upstream(waiter.slot_request, now)
            if state is None:
                continue
            state.in_flight += 1
            waiter.assigned = state
            self._remember_group_upstream(waiter.slot_request.group, state.upstream.id)
            self.waiters.remove(waiter)
            waiter.ready.set()

    def _remember_group_upstream(self, group: str, upstream: str) -> None:
        self.group_upstreams[group] = upstream
        self.group_upstreams.move_to_end(group)
        if len(self.group_upstreams) > MAX_TRACKED_GROUPS:
            self.group_upstreams.popitem(last=False)

    def stop_lagging_streams(self) -> None:
        """Stop stalled streams, and idle or slow ones if a better engine has a free slot."""
        now = self.clock()
        for stream in list(self.active_streams):
            if stream.stop_reason:
                continue
            idle_s = now - stream.last_event_at
            if idle_s >= STALL_TIMEOUT_S:
                stream.stop_reason = "no event within the stall timeout"
            elif idle_s >= SOFT_STALL_TIMEOUT_S and self._find_alternative(stream, now) is not None:
                stream.stop_reason = "no event lately and another engine is free"
            elif stream.event_count >= MIN_EVENTS_BEFORE_SLOW_STOP and self._has_faster_alternative(
                stream, now
            ):
                stream.stop_reason = "slow engine"
            if stream.stop_reason:
                if stream.stop_reason != "slow engine":
                    stream.state.record_failure(now)
                stream.scope.cancel()

    def _find_alternative(self, stream: ActiveStream, now: float) -> UpstreamState | None:
        candidate = self._choose_upstream(stream.slot_request, now)
        return None if candidate is stream.state else candidate

    def _has_faster_alternative(self, stream: ActiveStream, now: float) -> bool:
        alternative = self._find_alternative(stream, now)
        if alternative is None or not self._is_slow(stream.state, stream.slot_request, now):
            return False
        return not self._is_slow(alternative, stream.slot_request, now)

    def _is_slow(self, state: UpstreamState, slot_request: SlotRequest, now: float) -> bool:
        """Return whether the engine's events take much longer than those of the fastest engine."""
        own_interval_s = state.mean_event_interval_s(now)
        if own_interval_s is None:
            return False
        intervals_s = [
            interval_s
            for other in self.table.states_for(slot_request.service)
            if (interval_s := other.mean_event_interval_s(now))
        ]
        return own_interval_s > SLOW_ENGINE_FACTOR * min(intervals_s, default=own_interval_s)

    def _choose_upstream(self, slot_request: SlotRequest, now: float) -> UpstreamState | None:
        """Return the preferred engine with a free slot, or None.

        The avoided engine is used only if no other has a free slot. Engines that are not slow come
        first, then the group's last engine, which has processed the group's prompt, then the
        engines with the lowest load, then those of this data centre.
        """
        available = [
            state
            for state in self.table.states_for(slot_request.service)
            if state.is_usable(now)
            and state.overloaded_until <= now
            and state.free_slots(now) > 0
            and _has_required_version(slot_request, state)
        ]
        if not available:
            return None
        candidates = [
            state for state in available if state.upstream.id != slot_request.avoided_upstream
        ] or available
        group_upstream = self.group_upstreams.get(slot_request.group)
        return min(
            candidates,
            key=lambda state: (
                self._is_slow(state, slot_request, now),
                state.upstream.id != group_upstream,
                state.load_per_slot(now),
                state.upstream.data_centre != self.table.data_centre,
            ),
        )


def _has_required_version(slot_request: SlotRequest, state: UpstreamState) -> bool:
    version = state.newest_version(slot_request.model)
    if version is None:
        return False
    if slot_request.exact_version is not None:
        return version == slot_request.exact_version
    return version >= slot_request.min_version
