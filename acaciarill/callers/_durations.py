"""Know how long requests to a target take, in seconds for each expected token."""

import statistics
from collections import deque

from .const import PACE_OBSERVATIONS, PACES_KEPT


class DurationEstimator:
    """Keep the paces of the latest whole answers of each target."""

    def __init__(self) -> None:
        self.observed: dict[str, deque[float]] = {}

    def observe(self, target: str, tokens: float, seconds: float) -> None:
        """Note a whole answer."""
        self.observed.setdefault(target, deque(maxlen=PACES_KEPT)).append(seconds / tokens)

    def median_s(self, target: str, tokens: float) -> float | None:
        """Return what a request of this size usually takes, None while too little is known."""
        durations = self.observed.get(target, ())
        if len(durations) < PACE_OBSERVATIONS:
            return None
        return statistics.median(durations) * tokens
