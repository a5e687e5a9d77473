"""Track the upstreams of each service, their health and load, and choose one for a request."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from eliot import log_message

from ._model import LoadReport, Upstream
from ._version_history import VersionHistory
from .const import (
    DEREGISTERED_STATE_TTL_S,
    EJECTION_BASE_S,
    EJECTION_MAX_S,
    EVENT_INTERVAL_TTL_S,
    EVENT_INTERVAL_WEIGHT,
    LEAVING_STATE_TTL_S,
    LOAD_REPORT_TTL_S,
    OVERLOAD_BACKOFF_MAX_S,
    OVERLOAD_BACKOFF_S,
)


@dataclass(slots=True)
class UpstreamState:
    """Hold the state of one upstream as this daemon sees it; times are on the daemon's clock.

    `in_flight` counts this daemon's requests, `others_in_flight` those of all other daemons.
    `rate_limit` is how many requests per second the upstream accepts from all daemons together, or
    None, as its latest response said at `rate_limit_named_at`. `limited_until` is when the next
    permit for a request to it falls due.
    `is_leaving` says that a response of this lifetime announced that it leaves.
    `observed_versions` are weight versions seen at the engine but not yet in its registration.
    """

    upstream: Upstream
    in_flight: int = 0
    others_in_flight: int = 0
    load_reported_at: float = 0.0
    ejected_until: float = 0.0
    consecutive_failures: int = 0
    overloaded_until: float = 0.0
    consecutive_rejections: int = 0
    deregistered: bool = False
    is_leaving: bool = False
    rate_limit: float | None = None
    rate_limit_named_at: float = 0.0
    limited_until: float = 0.0
    event_interval_s: float = 0.0
    event_interval_updated_at: float = 0.0
    observed_versions: dict[str, int] = field(default_factory=dict)

    def load_per_slot(self, now: float) -> float:
        """Return the requests that run or wait at the upstream, divided by its slots."""
        others_in_flight = (
            self.others_in_flight if now - self.load_reported_at < LOAD_REPORT_TTL_S else 0
        )
        return (self.in_flight + others_in_flight) / max(1, self.upstream.slots)

    def free_slots(self, now: float) -> int:
        """Return how many more requests the upstream can run without queueing."""
        others_in_flight = (
            self.others_in_flight if now - self.load_reported_at < LOAD_REPORT_TTL_S else 0
        )
        return self.upstream.slots - self.in_flight - others_in_flight

    def has_left(self) -> bool:
        """Return whether the upstream is leaving or gone and must get no new requests."""
        return self.deregistered or self.upstream.draining or self.is_leaving

    def record_leaving(self) -> None:
        """Record that a response said that the upstream leaves, and log the first time."""
        if not self.is_leaving:
            log_message(message_type="upstream:leaving", upstream=self.upstream.id)
        self.is_leaving = True

    def is_usable(self, now: float) -> bool:
        """Return whether the upstream may get new requests."""
        return not self.has_left() and self.ejected_until <= now

    def record_load_report(self, report: LoadReport, now: float) -> None:
        """Derive the load of other daemons from a report, which includes this daemon's requests."""
        self.others_in_flight = max(0, report.running + report.waiting - self.in_flight)
        self.load_reported_at = now

    def record_rate_limit(self, rate_limit: float | None, now: float) -> None:
        """Record the limit in the latest response, and log when it changes."""
        if rate_limit != self.rate_limit:
            log_message(
                message_type="upstream:rate_limit_changed",
                upstream=self.upstream.id,
                limit=rate_limit,
                previous_limit=self.rate_limit,
            )
        self.rate_limit = rate_limit
        self.rate_limit_named_at = now
        if rate_limit is None:
            self.limited_until = 0.0

    def newest_version(self, model: str) -> int | None:
        """Return the newest weight version of a model that the upstream has loaded, or None."""
        registered = self.upstream.versions.get(model)
        observed = self.observed_versions.get(model)
        return registered if observed is None or registered is None else max(registered, observed)

    def record_event_interval(self, interval_s: float, now: float) -> None:
        """Add a time between events of a stream to the upstream's moving average."""
        if now - self.event_interval_updated_at > EVENT_INTERVAL_TTL_S:
            self.event_interval_s = interval_s
        self.event_interval_s += EVENT_INTERVAL_WEIGHT * (interval_s - self.event_interval_s)
        self.event_interval_updated_at = now

    def mean_event_interval_s(self, now: float) -> float | None:
        """Return the moving average of seconds between events, or None if none is recent."""
        return (
            self.event_interval_s
            if now - self.event_interval_updated_at <= EVENT_INTERVAL_TTL_S
            else None
        )

    def record_success(self) -> None:
        """Reset the count of failures and end the ejection."""
        self.consecutive_failures = 0
        self.ejected_until = 0.0

    def record_failure(self, now: float) -> None:
        """Eject the upstream for a time that doubles with each consecutive failure."""
        self.consecutive_failures += 1
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2 ** (self.consecutive_failures - 1))
        self.ejected_until = now + ejection_s

    def record_overload(self, now: float) -> None:
        """Prefer other upstreams for a time that doubles with each rejection that follows soon.

        An engine that loads weights rejects requests for a while, though its slots are free.
        """
        if now - self.overloaded_until > OVERLOAD_BACKOFF_MAX_S:
            self.consecutive_rejections = 0
        backoff_s = OVERLOAD_BACKOFF_S * 2**self.consecutive_rejections
        self.overloaded_until = now + min(OVERLOAD_BACKOFF_MAX_S, backoff_s)
        self.consecutive_rejections += 1


class UpstreamTable:
    """Hold the state of every registered upstream, by id and by service."""

    def __init__(self, data_centre: str, clock: Callable[[], float], rng: random.Random) -> None:
        self.data_centre = data_centre
        self.clock = clock
        self.rng = rng
        self.states: dict[str, UpstreamState] = {}
        self.by_service: dict[str, list[UpstreamState]] = {}
        self.deregistered_states: dict[str, tuple[UpstreamState, float]] = {}
        self.listeners: list[Callable[[], None]] = []
        self.version_history = VersionHistory()

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call the listener after each change; return the unsubscribe function."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    def update(self, upstreams: list[Upstream]) -> None:
        """Apply the list of registered upstreams; each new lifetime starts with an empty state.

        An upstream whose registration returns in the same lifetime keeps its state.
        """
        self._observe_versions()  # those that go away now have served until now
        registered = {upstream.id: upstream for upstream in upstreams}
        for upstream_id in self.states.keys() - registered.keys():
            self._deregister(upstream_id)
        self._drop_old_states()
        for upstream_id, upstream in registered.items():
            state = self.states.get(upstream_id)
            if state is None or state.upstream.lifetime != upstream.lifetime:
                if state is not None:
                    state.deregistered = True
                self.states[upstream_id] = self._restore_state(upstream) or UpstreamState(upstream)
                log_message(
                    message_type="upstream:added",
                    upstream=upstream_id,
                    service=upstream.service,
                    data_centre=upstream.data_centre,
                    software_version=upstream.software_version,
                )
                continue
            if upstream.draining and not state.upstream.draining:
                log_message(message_type="upstream:draining", upstream=upstream_id)
            state.upstream = upstream
        self.by_service = {}
        for state in self.states.values():
            self.by_service.setdefault(state.upstream.service, []).append(state)
        self._observe_versions()
        self.notify_listeners()

    def _observe_versions(self) -> None:
        upstreams = [state.upstream for state in self.states.values()]
        self.version_history.observe(
            ((upstream.service, upstream.software_version) for upstream in upstreams), self.clock()
        )

    def only_software_version(self, service: str, period_s: float) -> str | None:
        """Return the only software version that served in a past period, or None if not known."""
        self._observe_versions()
        return self.version_history.only_version(service, self.clock(), period_s)

    def _deregister(self, upstream_id: str) -> None:
        state = self.states.pop(upstream_id)
        state.deregistered = True
        self.deregistered_states[upstream_id] = (state, self.clock())
        log_message(message_type="upstream:removed", upstream=upstream_id)

    def _restore_state(self, upstream: Upstream) -> UpstreamState | None:
        """Return the state that an upstream had before its registration was gone, or None."""
        state, _ = self.deregistered_states.pop(upstream.id, (None, 0.0))
        if state is None or state.upstream.lifetime != upstream.lifetime:
            return None
        state.upstream, state.deregistered = upstream, False
        return state

    def _drop_old_states(self) -> None:
        now = self.clock()
        for upstream_id, (state, deregistered_at) in list(self.deregistered_states.items()):
            ttl_s = LEAVING_STATE_TTL_S if state.is_leaving else DEREGISTERED_STATE_TTL_S
            if deregistered_at < now - ttl_s:
                del self.deregistered_states[upstream_id]

    def notify_listeners(self) -> None:
        """Call the listeners, because an upstream may have a free slot or a new version."""
        for listener in list(self.listeners):
            listener()

    def states_for(self, service: str) -> list[UpstreamState]:
        """Return the states of the upstreams of a service."""
        return self.by_service.get(service, [])

    def observe_version(self, upstream_id: str, lifetime: str, model: str, version: int) -> None:
        """Record a weight version that an engine loaded before its registration shows it."""
        state = self.states.get(upstream_id)
        if state is None or state.upstream.lifetime != lifetime:
            return
        if version > (state.newest_version(model) or 0):
            state.observed_versions[model] = version
            self.notify_listeners()

    def choose(
        self,
        service: str,
        excluded: Collection[str] = (),
        software_version: str | None = None,
    ) -> UpstreamState | None:
        """Return the least loaded upstream, or None if all are excluded or draining.

        Only upstreams of the software version are considered, if one is given. If the rate limits
        of all allow no request now, it is the one whose permit falls due first.
        """
        now = self.clock()
        states = [
            state
            for state in self.states_for(service)
            if state.upstream.id not in excluded
            and software_version in (None, state.upstream.software_version)
        ]
        usable = [state for state in states if state.is_usable(now)]
        if not usable:
            # All upstreams are ejected: an attempt may succeed, a refusal never does.
            usable = [state for state in states if not state.has_left()]
        if not usable:
            return None
        unlimited = [state for state in usable if state.limited_until <= now]
        if not unlimited:
            return min(usable, key=lambda state: state.limited_until)
        not_overloaded = [s for s in unlimited if s.overloaded_until <= now] or unlimited
        return min(not_overloaded, key=lambda state: self._sort_key(state, now))

    def _sort_key(self, state: UpstreamState, now: float) -> tuple[float, bool, float]:
        remote = state.upstream.data_centre != self.data_centre
        return (round(state.load_per_slot(now), 1), remote, self.rng.random())
