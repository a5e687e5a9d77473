"""Choose an upstream by this daemon's view of the upstreams, without I/O or a clock of its own."""

import hashlib
import heapq
import random
from collections.abc import Sequence
from dataclasses import dataclass

from ..config import Upstream
from .const import (
    AFFINITY_CANDIDATES,
    AFFINITY_LOAD_FACTOR,
    AFFINITY_LOAD_SLACK,
    CONSECUTIVE_FAILURES_TO_EJECT,
    EJECTION_BASE_S,
    EJECTION_MAX_S,
    ESTIMATED_LOAD_WEIGHT,
    IN_FLIGHT_WEIGHT,
    LOCAL_OCCUPANCY_LIMIT,
    SLOW_START_PENALTY,
    SLOW_START_S,
)


@dataclass(slots=True)
class UpstreamState:
    """Hold this daemon's view of one upstream; times are in seconds on the daemon's clock.

    `reported_load` is the number of running and waiting requests in the latest load report,
    `in_flight` the number of unfinished attempts of this daemon, `version` the weight version,
    and `ejections` the number of ejections since the upstream last recovered.
    """

    upstream: Upstream
    reported_load: int = 0
    in_flight: int = 0
    in_flight_at_last_report: int = 0
    in_flight_at_previous_report: int = 0
    version: int = 0
    leaving: bool = False
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    def is_usable(self, now: float) -> bool:
        """Return whether the upstream may get new requests."""
        return not self.leaving and now >= self.ejected_until

    def estimated_load(self) -> int:
        """Estimate the running and waiting requests: the last report plus own changes since.

        A report describes the load at about the time of the report before it, so the change of
        this daemon's in-flight requests is counted from then.
        """
        in_flight_change = self.in_flight - self.in_flight_at_previous_report
        return max(self.reported_load + in_flight_change, self.in_flight, 0)

    def occupancy(self) -> float:
        """Return the estimated load as a fraction of the slots; above 1 when requests wait."""
        return self.estimated_load() / self.upstream.slots

    def load_score(self, now: float) -> float:
        """Return the score for comparing upstreams, lower for a less loaded one.

        This daemon's own in-flight requests weigh more than reports: reports are seconds old,
        and choosing by them alone sends every daemon to the same upstream.
        """
        weighted_load = (
            IN_FLIGHT_WEIGHT * self.in_flight + ESTIMATED_LOAD_WEIGHT * self.estimated_load()
        )
        score = weighted_load / self.upstream.slots
        since_ejection_end_s = now - self.ejected_until
        if self.ejections and since_ejection_end_s < SLOW_START_S:
            score += SLOW_START_PENALTY * (1 - since_ejection_end_s / SLOW_START_S)
        return score

    def apply_report(self, load: int, version: int) -> None:
        """Store a load report: running and waiting requests, and the weight version served."""
        self.reported_load = load
        self.in_flight_at_previous_report = self.in_flight_at_last_report
        self.in_flight_at_last_report = self.in_flight
        self.version = max(version, self.version)

    def record_success(self, now: float) -> None:
        """Record a complete response and, after the slow start, clear earlier ejections."""
        self.consecutive_failures = 0
        if self.ejections and now - self.ejected_until > SLOW_START_S:
            self.ejections = 0

    def record_failure(self, now: float) -> None:
        """Record a failed attempt; eject the upstream after several in a row.

        An upstream that was ejected before is ejected again at the first failure, each time
        twice as long, up to a limit.
        """
        self.consecutive_failures += 1
        if self.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT and not self.ejections:
            return
        self.consecutive_failures = 0
        self.ejections += 1
        self.ejected_until = now + min(EJECTION_MAX_S, EJECTION_BASE_S * 2 ** (self.ejections - 1))


def choose_upstream(
    states: Sequence[UpstreamState],
    data_centre: str,
    affinity: str,
    now: float,
    rng: random.Random,
) -> UpstreamState | None:
    """Return the upstream for a request, or None when every given upstream is leaving.

    Only the local data centre is considered while one of its upstreams has a free slot. Of the
    remaining upstreams, choose the first affinity candidate whose load score is at most a little
    above the mean, else the less loaded of two random ones.
    """
    usable = [state for state in states if state.is_usable(now)]
    if not usable:  # all are ejected: trying one is better than refusing every request
        usable = [state for state in states if not state.leaving]
    if not usable:
        return None
    local = [state for state in usable if state.upstream.data_centre == data_centre]
    if local and min(state.occupancy() for state in local) < LOCAL_OCCUPANCY_LIMIT:
        usable = local
    if len(usable) == 1:
        return usable[0]
    if affinity:
        mean_score = sum(state.load_score(now) for state in usable) / len(usable)
        max_score = mean_score * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK
        for state in _affinity_candidates(usable, affinity):
            if state.load_score(now) <= max_score:
                return state
    first, second = rng.sample(usable, 2)
    return first if first.load_score(now) <= second.load_score(now) else second


def _affinity_candidates(states: Sequence[UpstreamState], affinity: str) -> list[UpstreamState]:
    """Return the upstreams that an affinity key maps to, in the same order at every daemon."""
    return heapq.nsmallest(
        AFFINITY_CANDIDATES,
        states,
        key=lambda state: _affinity_hash(affinity, state.upstream.name),
    )


def _affinity_hash(affinity: str, name: str) -> bytes:
    return hashlib.blake2b(f"{affinity}\0{name}".encode(), digest_size=8).digest()
