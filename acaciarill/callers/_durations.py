"""Estimate how long requests to a target take, from the seconds per expected token."""

import statistics
from collections import deque

from .const import MAX_RECORDED_DURATIONS, MIN_RECORDED_DURATIONS


class DurationEstimator:
    """Keep the seconds per expected token of each target's latest complete responses."""

    def __init__(self) -> None:
        self.seconds_per_token: dict[str, deque[float]] = {}

    def observe(self, target: str, tokens: float, seconds: float) -> None:
        """Record the duration of a complete response."""
        self.seconds_per_token.setdefault(target, deque(maxlen=MAX_RECORDED_DURATIONS)).append(
            seconds / tokens
        )

    def median_s(self, target: str, tokens: float) -> float | None:
        """Return the median duration for a number of tokens; None if too few are recorded."""
        recorded = self.seconds_per_token.get(target, ())
        if len(recorded) < MIN_RECORDED_DURATIONS:
            return None
        return statistics.median(recorded) * tokens
