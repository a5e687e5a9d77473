"""Choose an upstream: a pure function of plain state and the time given to it."""

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
    EJECT_FOR_MAX_S,
    EJECT_FOR_S,
    FAILURES_TO_EJECT,
    LOCAL_OCCUPANCY_LIMIT,
    OWN_WEIGHT,
    REPORT_WEIGHT,
    SLOW_RETURN_PENALTY,
    SLOW_RETURN_S,
)


@dataclass(slots=True)
class UpstreamState:
    """Hold what this daemon knows of one upstream; times are in seconds on its clock."""

    upstream: Upstream
    reported_load: int = 0
    in_flight: int = 0
    in_flight_at_report: int = 0
    in_flight_at_measure: int = 0
    version: int = 0
    leaving: bool = False
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    def is_usable(self, now: float) -> bool:
        """Tell whether the upstream may get new work."""
        return not self.leaving and now >= self.ejected_until

    def queued(self) -> int:
        """Return how many requests the upstream probably has: last report plus own since.

        A report tells of the time of the one before it, so own requests count from then.
        """
        changed = self.in_flight - self.in_flight_at_measure
        return max(self.reported_load + changed, self.in_flight, 0)

    def occupancy(self) -> float:
        """Return the part of the slots that is probably in use."""
        return self.queued() / self.upstream.slots

    def load_score(self, now: float) -> float:
        """Return the score by which upstreams are compared; own requests weigh more.

        Reports are seconds old, and choosing by them alone sends every daemon to the same one.
        """
        weighed = OWN_WEIGHT * self.in_flight + REPORT_WEIGHT * self.queued()
        score = weighed / self.upstream.slots
        returning_s = now - self.ejected_until
        if self.ejections and returning_s < SLOW_RETURN_S:
            score += SLOW_RETURN_PENALTY * (1 - returning_s / SLOW_RETURN_S)
        return score

    def apply_report(self, queued: int, version: int) -> None:
        """Take a load report."""
        self.reported_load = queued
        self.in_flight_at_measure = self.in_flight_at_report
        self.in_flight_at_report = self.in_flight
        self.version = max(version, self.version)

    def succeed(self, now: float) -> None:
        """Note a good answer."""
        self.failures = 0
        if self.ejections and now - self.ejected_until > SLOW_RETURN_S:
            self.ejections = 0

    def fail(self, now: float) -> None:
        """Note a failed attempt; enough of them in a row eject the upstream for a while."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT and not self.ejections:
            return
        self.failures = 0
        self.ejections += 1
        self.ejected_until = now + min(EJECT_FOR_MAX_S, EJECT_FOR_S * 2 ** (self.ejections - 1))


def choose_upstream(
    states: Sequence[UpstreamState],
    data_centre: str,
    affinity: str,
    now: float,
    rng: random.Random,
) -> UpstreamState | None:
    """Return the upstream for a request, or None when none may get work.

    Prefer the own data centre while it has room, then the first of the upstreams that a prompt
    prefix maps to whose load is near the mean, then the less loaded of two drawn at random.
    """
    usable = [state for state in states if state.is_usable(now)]
    if not usable:  # when all are ejected, refusing everything would be worse than trying one
        usable = [state for state in states if not state.leaving]
    if not usable:
        return None
    local = [state for state in usable if state.upstream.data_centre == data_centre]
    if local and min(state.occupancy() for state in local) < LOCAL_OCCUPANCY_LIMIT:
        usable = local
    if len(usable) == 1:
        return usable[0]
    if affinity:
        mean = sum(state.load_score(now) for state in usable) / len(usable)
        limit = mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK
        for state in _preferred(usable, affinity):
            if state.load_score(now) <= limit:
                return state
    first, second = rng.sample(usable, 2)
    return first if first.load_score(now) <= second.load_score(now) else second


def _preferred(states: Sequence[UpstreamState], affinity: str) -> list[UpstreamState]:
    """Return the upstreams that a prefix maps to, in the same order at every daemon."""
    return heapq.nsmallest(
        AFFINITY_CANDIDATES,
        states,
        key=lambda state: _affinity_weight(affinity, state.upstream.name),
    )


def _affinity_weight(affinity: str, name: str) -> bytes:
    return hashlib.blake2b(f"{affinity}\0{name}".encode(), digest_size=8).digest()
