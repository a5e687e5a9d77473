"""Learn how many weight loads can run at once without slowing each other down."""

import math
from dataclasses import dataclass

MIN_CONCURRENT_LOADS = 2
LOAD_SLOWDOWN_FACTOR = 1.3
"""Loads that take longer than the fastest by this factor show that too many ran at once."""
LIMIT_REDUCTION = 0.75
PROBE_DELAY_S = 10.0
"""The limit is raised by one after this time without loads that slowed each other down."""


@dataclass(slots=True)
class LoadLimit:
    """Hold the learnt limit of concurrent loads; times are in seconds.

    Until loads slow each other down for the first time, the limit doubles with each wave of loads.
    """

    value: int = MIN_CONCURRENT_LOADS
    fastest_load_s: float = math.inf
    lowered_at: float | None = None

    def record_load(self, concurrent_loads: int, duration_s: float, now: float) -> None:
        """Adjust the limit to the duration of a finished load; the number includes that load."""
        self.fastest_load_s = min(self.fastest_load_s, duration_s)
        if duration_s > LOAD_SLOWDOWN_FACTOR * self.fastest_load_s:
            reduced = math.floor(concurrent_loads * LIMIT_REDUCTION)
            self.value = max(MIN_CONCURRENT_LOADS, min(self.value, reduced))
            self.lowered_at = now
        elif self.lowered_at is None:
            self.value += 2 * concurrent_loads > self.value
        elif concurrent_loads >= self.value and now - self.lowered_at >= PROBE_DELAY_S:
            self.value += 1
            self.lowered_at = now
