"""Assign engine slots to the items of this daemon's batches, in order of rank."""

import math
from collections import Counter, OrderedDict
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from statistics import median
from types import MappingProxyType

import anyio

from ..fleet import UpstreamState, UpstreamTable
from ..fleet.const import EVENT_INTERVAL_MAX_S, PERMIT_PENDING_S, SLOW_ENGINE_FACTOR
from .const import (
    BURST_GAP_S,
    EVENTS_PER_PACE_SAMPLE,
    FASTEST_INTERVAL_TTL_S,
    MAX_TRACKED_GROUPS,
    MIN_SAVED_EVENTS,
    PREFIX_LOAD_MARGIN,
    SOFT_STALL_TIMEOUT_S,
    STALL_TIMEOUT_S,
    STOP_IDLE,
    STOP_SLOW,
    STOP_STALLED,
)


def is_move_worthwhile(event_count: int, own_interval_s: float, other_interval_s: float) -> bool:
    """Return whether a text is expected to end enough sooner on an engine with another pace.

    Lengths of texts have a heavy tail: as many events are expected to follow as there are already.
    """
    saved_s = event_count * (own_interval_s - other_interval_s)
    return saved_s >= MIN_SAVED_EVENTS * other_interval_s


@dataclass(slots=True)
class SlotRequest:
    """Describe the engine that an item needs; the request with the lowest `rank` is served first.

    The engine must serve at least `min_version` of the model, and `exact_version` if the item
    resumes a text whose route allows a single version. An item resumes a text only at engines of
    its `software_version`; if `may_begin_anew`, it need not wait for one of them. The request holds
    until `expires_at` on the daemon's clock, and while `has_same_route` says so, which is asked
    again under each version of the configuration.
    """

    service: str
    model: str
    min_version: int
    rank: tuple[float, ...]
    group: str
    exact_version: int | None = None
    avoided_upstream: str = ""
    software_version: str | None = None
    may_begin_anew: bool = False
    configuration_version: int = 0
    expires_at: float = math.inf
    has_same_route: Callable[[], bool] = lambda: True


@dataclass(slots=True)
class ActiveStream:
    """Track one response stream; `stop_reason` says why its item must resume elsewhere.

    `is_upstream_fault` returns whether its engine is to blame if no events arrive.
    """

    slot_request: SlotRequest
    state: UpstreamState
    last_event_at: float
    event_count: int = 0
    stop_reason: str = ""
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    sample_started_at: float = 0.0
    sampled_events: int = 0
    paused: bool = False
    is_upstream_fault: Callable[[], bool] = lambda: True

    def record_event(self, now: float) -> None:
        """Record an event and, after every few, update the engine's mean event interval.

        Events that a busy daemon reads late arrive together; samples start and end at the first
        event of such a burst. A single long interval is a weight load or a lost event and does not
        count; further ones do.
        """
        interval_s = now - self.last_event_at
        is_pause = interval_s > EVENT_INTERVAL_MAX_S and not self.paused
        if not self.event_count or is_pause:
            self.sample_started_at, self.sampled_events = now, 0
        else:
            self.sampled_events += 1
        self.paused = is_pause
        if self.sampled_events >= EVENTS_PER_PACE_SAMPLE and interval_s > BURST_GAP_S:
            sample_s = now - self.sample_started_at
            self.state.record_event_interval(sample_s / self.sampled_events, now)
            self.sample_started_at, self.sampled_events = now, 0
        self.event_count += 1
        self.last_event_at = now


@dataclass(slots=True)
class _Waiter:
    slot_request: SlotRequest
    ready: anyio.Event = field(default_factory=anyio.Event)
    assigned: UpstreamState | None = None


class EngineScheduler:
    """Assign free engine slots to waiting items, and stop streams on stalled or slow engines."""

    def __init__(
        self,
        table: UpstreamTable,
        clock: Callable[[], float],
        configuration_version: Callable[[], int] = lambda: 0,
    ) -> None:
        self.table = table
        self.clock = clock
        self.configuration_version = configuration_version
        self.waiters: list[_Waiter] = []
        self.active_streams: list[ActiveStream] = []
        self.group_upstreams: OrderedDict[str, str] = OrderedDict()
        self.fastest_intervals: dict[str, tuple[float, float | None]] = {}
        table.subscribe(self.assign_slots)

    @asynccontextmanager
    async def acquire_slot(self, slot_request: SlotRequest) -> AsyncIterator[UpstreamState | None]:
        """Wait for a slot, and release it when the block ends.

        Yield None once the request no longer holds: it must be made anew.
        """
        waiter = _Waiter(slot_request)
        self.waiters.append(waiter)
        self.assign_slots()
        try:
            await waiter.ready.wait()
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
        self._return_outdated_requests(now)
        open_states: dict[str, list[UpstreamState]] = {}
        for waiter in sorted(self.waiters, key=lambda waiter: waiter.slot_request.rank):
            service = waiter.slot_request.service
            if service not in open_states:
                open_states[service] = self._states_with_free_slots(service, now)
            state = self._choose_upstream(waiter.slot_request, open_states[service], now)
            if state is None:
                continue
            state.in_flight += 1
            if state.rate_limit is not None:
                state.limited_until = now + PERMIT_PENDING_S
            if state.free_slots(now) <= 0 or state.limited_until > now:
                open_states[service].remove(state)
            waiter.assigned = state
            self._remember_group_upstream(waiter.slot_request.group, state.upstream.id)
            self.waiters.remove(waiter)
            waiter.ready.set()

    def _return_outdated_requests(self, now: float) -> None:
        """Let the waiters go whose requests no longer hold."""
        version = self.configuration_version()
        for waiter in list(self.waiters):
            slot_request = waiter.slot_request
            holds = slot_request.expires_at > now and not self.is_version_gone(slot_request)
            if holds and slot_request.configuration_version != version:
                slot_request.configuration_version = version
                holds = slot_request.has_same_route()
            if not holds:
                self.waiters.remove(waiter)
                waiter.ready.set()

    def is_version_gone(self, slot_request: SlotRequest) -> bool:
        """Return whether the engines have only newer versions than the one that is required."""
        if slot_request.exact_version is None:
            return False
        versions = [
            version
            for state in self.table.states_for(slot_request.service)
            if not state.has_left()
            and (version := state.newest_version(slot_request.model)) is not None
        ]
        return bool(versions) and min(versions) > slot_request.exact_version

    def _remember_group_upstream(self, group: str, upstream: str) -> None:
        self.group_upstreams[group] = upstream
        self.group_upstreams.move_to_end(group)
        if len(self.group_upstreams) > MAX_TRACKED_GROUPS:
            self.group_upstreams.popitem(last=False)

    def stop_lagging_streams(self) -> None:
        """Stop stalled streams, and idle or slow ones that a free slot elsewhere serves better."""
        now = self.clock()
        claimed_slots: Counter[str] = Counter()
        for stream in sorted(self.active_streams, key=lambda stream: -stream.event_count):
            if stream.stop_reason:
                continue
            stream.stop_reason = self._find_stop_reason(stream, claimed_slots, now)
            if not stream.stop_reason:
                continue
            if stream.stop_reason != STOP_SLOW and stream.is_upstream_fault():
                stream.state.record_failure(now)
            stream.scope.cancel()

    def _find_stop_reason(
        self, stream: ActiveStream, claimed_slots: Counter[str], now: float
    ) -> str:
        """Return why a stream must be stopped, or an empty string; claim the slot it moves to."""
        idle_s = now - stream.last_event_at
        if idle_s >= STALL_TIMEOUT_S:
            return STOP_STALLED
        if idle_s < SOFT_STALL_TIMEOUT_S and not self._may_be_faster_elsewhere(stream, now):
            return ""
        software_version = stream.slot_request.software_version
        states = [
            state
            for state in self._states_with_free_slots(
                stream.slot_request.service, now, claimed_slots
            )
            if software_version in (None, state.upstream.software_version)
        ]
        alternative = self._choose_upstream(stream.slot_request, states, now)
        if alternative is None or alternative is stream.state:
            return ""
        if idle_s >= SOFT_STALL_TIMEOUT_S:
            claimed_slots[alternative.upstream.id] += 1
            return STOP_IDLE
        if alternative.rate_limit is None and self._is_faster_elsewhere(stream, alternative, now):
            claimed_slots[alternative.upstream.id] += 1
            return STOP_SLOW
        return ""

    def _may_be_faster_elsewhere(self, stream: ActiveStream, now: float) -> bool:
        """Return whether the fastest engine would make a move worthwhile, at little cost."""
        own_interval_s = stream.state.mean_event_interval_s(now)
        fastest_interval_s = self._fastest_interval_s(stream.slot_request.service, now)
        if own_interval_s is None or fastest_interval_s is None:
            return False
        return is_move_worthwhile(stream.event_count, own_interval_s, fastest_interval_s)

    def _is_faster_elsewhere(
        self, stream: ActiveStream, alternative: UpstreamState, now: float
    ) -> bool:
        own_interval_s = stream.state.mean_event_interval_s(now)
        other_interval_s = alternative.mean_event_interval_s(now)
        if other_interval_s is None:
            other_interval_s = self._typical_interval_s(stream, now)
        if own_interval_s is None or other_interval_s is None:
            return False
        return is_move_worthwhile(stream.event_count, own_interval_s, other_interval_s)

    def _fastest_interval_s(self, service: str, now: float) -> float | None:
        """Return the shortest event interval of a service's engines, or None if none is known."""
        known_at, interval_s = self.fastest_intervals.get(service, (-math.inf, None))
        if now - known_at >= FASTEST_INTERVAL_TTL_S:
            intervals_s = (s.mean_event_interval_s(now) for s in self.table.states_for(service))
            interval_s = min((value for value in intervals_s if value is not None), default=None)
            self.fastest_intervals[service] = (now, interval_s)
        return interval_s

    def _typical_interval_s(self, stream: ActiveStream, now: float) -> float | None:
        """Return the median event interval of the service's other engines, or None if unknown."""
        intervals_s = [
            interval_s
            for state in self.table.states_for(stream.slot_request.service)
            if state is not stream.state and (interval_s := state.mean_event_interval_s(now))
        ]
        return median(intervals_s) if intervals_s else None

    def _states_with_free_slots(
        self, service: str, now: float, claimed_slots: Mapping[str, int] = MappingProxyType({})
    ) -> list[UpstreamState]:
        """Return the engines that may get new requests and have more free slots than claimed."""
        return [
            state
            for state in self.table.states_for(service)
            if state.is_usable(now)
            and max(state.overloaded_until, state.limited_until) <= now
            and state.free_slots(now) > claimed_slots.get(state.upstream.id, 0)
        ]

    def _may_begin_anew(self, slot_request: SlotRequest, now: float) -> bool:
        """Return whether an item may use engines that cannot resume its text."""
        return slot_request.may_begin_anew or not any(
            state.is_usable(now)
            and _has_same_software(slot_request, state)
            and _has_required_version(slot_request, state)
            for state in self.table.states_for(slot_request.service)
        )

    def _choose_upstream(
        self, slot_request: SlotRequest, states: list[UpstreamState], now: float
    ) -> UpstreamState | None:
        """Return the preferred one of some engines with a free slot, or None.

        Engines that can resume the item's text come first, then others if it may begin anew. The
        avoided engine is used only if no other has a free slot. Engines that are not slow come
        first, then the group's last engine, which has processed the group's prompt, unless it is
        more loaded than others, then the engines with the lowest load, then those of this data
        centre.
        """
        available = [state for state in states if _has_required_version(slot_request, state)]
        same_software = [state for state in available if _has_same_software(slot_request, state)]
        if same_software or not self._may_begin_anew(slot_request, now):
            available = same_software
        if not available:
            return None
        candidates = [
            state for state in available if state.upstream.id != slot_request.avoided_upstream
        ] or available
        fastest_interval_s = self._fastest_interval_s(slot_request.service, now)
        group_upstream = self.group_upstreams.get(slot_request.group)
        load_limit = PREFIX_LOAD_MARGIN + min(state.load_per_slot(now) for state in candidates)
        return min(
            candidates,
            key=lambda state: (
                _is_slow(state, fastest_interval_s, now),
                state.upstream.id != group_upstream or state.load_per_slot(now) > load_limit,
                state.load_per_slot(now),
                state.upstream.data_centre != self.table.data_centre,
            ),
        )


def _is_slow(state: UpstreamState, fastest_interval_s: float | None, now: float) -> bool:
    """Return whether the engine's events take much longer than those of the fastest engine."""
    interval_s = state.mean_event_interval_s(now)
    if interval_s is None or fastest_interval_s is None:
        return False
    return interval_s > SLOW_ENGINE_FACTOR * fastest_interval_s


def _has_same_software(slot_request: SlotRequest, state: UpstreamState) -> bool:
    return slot_request.software_version in (None, state.upstream.software_version)


def _has_required_version(slot_request: SlotRequest, state: UpstreamState) -> bool:
    version = state.newest_version(slot_request.model)
    if version is None:
        return False
    if slot_request.exact_version is not None:
        return version == slot_request.exact_version
    return version >= slot_request.min_version
