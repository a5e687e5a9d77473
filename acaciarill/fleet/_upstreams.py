"""Know the upstreams of each service, their load, and which one to use next."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from eliot import log_message

from ._model import LoadReport, Upstream
from .const import (
    EJECT_MAX_S,
    EJECT_S,
    FULL_BACK_OFF_S,
    LOAD_REPORT_KEPT_S,
    PACE_KEPT_S,
    PACE_OUTLIER_S,
    PACE_WEIGHT,
)


@dataclass(slots=True)
class UpstreamState:
    """Hold what this daemon knows of one upstream; times are on the daemon's clock."""

    upstream: Upstream
    in_flight: int = 0
    others: int = 0
    reported_at: float = 0.0
    ejected_until: float = 0.0
    failures: int = 0
    overloaded_until: float = 0.0
    deregistered: bool = False
    pace_s: float = 0.0
    paced_at: float = 0.0
    observed: dict[str, int] = field(default_factory=dict)

    def load_per_slot(self, now: float) -> float:
        """Return the requests running or waiting there, for each slot."""
        others = self.others if now - self.reported_at < LOAD_REPORT_KEPT_S else 0
        return (self.in_flight + others) / max(1, self.upstream.slots)

    def free_slots(self, now: float) -> int:
        """Return how many more requests would run at once."""
        others = self.others if now - self.reported_at < LOAD_REPORT_KEPT_S else 0
        return self.upstream.slots - self.in_flight - others

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may go there."""
        return not self.deregistered and not self.upstream.draining and self.ejected_until <= now

    def note_report(self, report: LoadReport, now: float) -> None:
        """Take an upstream's own figures, from which the requests of this daemon are taken off."""
        self.others = max(0, report.running + report.waiting - self.in_flight)
        self.reported_at = now

    def newest_version(self, model: str) -> int | None:
        """Return the newest version of a model that this lifetime is known to hold."""
        listed = self.upstream.versions.get(model)
        seen = self.observed.get(model)
        return listed if seen is None or listed is None else max(listed, seen)

    def record_event_interval(self, pause_s: float, now: float) -> None:
        """Take the time between two events of a stream into the engine's pace."""
        if pause_s > PACE_OUTLIER_S:
            return
        if now - self.paced_at > PACE_KEPT_S:
            self.pace_s = pause_s
        self.pace_s += PACE_WEIGHT * (pause_s - self.pace_s)
        self.paced_at = now

    def mean_event_interval_s(self, now: float) -> float | None:
        """Return the seconds between events, None where none came lately."""
        return self.pace_s if now - self.paced_at <= PACE_KEPT_S else None

    def record_success(self) -> None:
        """Forget earlier failures."""
        self.failures = 0
        self.ejected_until = 0.0

    def record_failure(self, now: float) -> None:
        """Leave the upstream alone, longer after each failure in a row."""
        self.failures += 1
        pause = min(EJECT_MAX_S, EJECT_S * 2 ** (self.failures - 1))
        self.ejected_until = now + pause

    def record_overload(self, now: float) -> None:
        """Pass the upstream over for a moment."""
        self.overloaded_until = now + FULL_BACK_OFF_S


class UpstreamTable:
    """Keep the state of every registered upstream, by id."""

    def __init__(self, data_centre: str, clock: Callable[[], float], rng: random.Random) -> None:
        self.data_centre = data_centre
        self.clock = clock
        self.rng = rng
        self.states: dict[str, UpstreamState] = {}
        self.by_service: dict[str, list[UpstreamState]] = {}
        self.listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call the listener after each change; return the unsubscribe function."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    def update(self, upstreams: list[Upstream]) -> None:
        """Take the newest list; a new lifetime starts with nothing known."""
        found = {upstream.id: upstream for upstream in upstreams}
        for name in self.states.keys() - found.keys():
            self.states.pop(name).deregistered = True
            log_message(message_type="upstream:gone", upstream=name)
        for name, upstream in found.items():
            state = self.states.get(name)
            if state is None or state.upstream.lifetime != upstream.lifetime:
                if state is not None:
                    state.deregistered = True
                self.states[name] = UpstreamState(upstream)
                log_message(
                    message_type="upstream:found",
                    upstream=name,
                    service=upstream.service,
                    data_centre=upstream.data_centre,
                )
                continue
            if upstream.draining and not state.upstream.draining:
                log_message(message_type="upstream:draining", upstream=name)
            state.upstream = upstream
        self.by_service = {}
        for state in self.states.values():
            self.by_service.setdefault(state.upstream.service, []).append(state)
        self.notify_listeners()

    def notify_listeners(self) -> None:
        """Tell the listeners that an upstream may have room again."""
        for listener in list(self.listeners):
            listener()

    def states_for(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service."""
        return self.by_service.get(service, [])

    def observe_version(self, name: str, lifetime: str, model: str, version: int) -> None:
        """Take a version that an engine was seen to hold before its entry says so."""
        state = self.states.get(name)
        if state is None or state.upstream.lifetime != lifetime:
            return
        if version > (state.newest_version(model) or 0):
            state.observed[model] = version
            self.notify_listeners()

    def choose(self, service: str, excluded: Collection[str] = ()) -> UpstreamState | None:
        """Return the upstream for the next plain request; None if there is none at all."""
        now = self.clock()
        states = [state for state in self.states_for(service) if state.upstream.id not in excluded]
        usable = [state for state in states if state.is_usable(now)]
        if not usable:
            # All failed lately: trying one beats refusing for certain.
            usable = [s for s in states if not s.deregistered and not s.upstream.draining]
        if not usable:
            return None
        roomy = [state for state in usable if state.overloaded_until <= now] or usable
        return min(roomy, key=lambda state: self._rank(state, now))

    def _rank(self, state: UpstreamState, now: float) -> tuple[float, bool, float]:
        remote = state.upstream.data_centre != self.data_centre
        return (round(state.load_per_slot(now), 1), remote, self.rng.random())
