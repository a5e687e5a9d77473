"""Decide whether a request that was running when upstreams crashed may run again.

Pure functions: [quarantine.md](../../docs/design/quarantine.md) weighs the design.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from .const import (
    COMPLETED_RECORD_TTL_S,
    CRASH_RECORD_TTL_S,
    LATE_TRIAL_BACKOFFS_S,
    MAX_CRASHES,
    MAX_CRASHES_WITHOUT_TRIAL,
    TRIAL_BACKOFF_S,
)


@dataclass(slots=True)
class CrashRecord:
    """Hold the crashes while a request ran, and its trials; times are on the daemon's clock.

    `crashes` maps the lifetimes of upstreams to when they crashed, and `trials` the ids of attempts
    to when they were sent. Those up to `completed_at`, when the request last completed, do not
    count and are dropped: a request that completes does not crash upstreams.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    trials: dict[str, float] = field(default_factory=dict)
    completed_at: float = -math.inf

    def add_crash(self, lifetime: str, at: float) -> None:
        """Add the crash of an upstream; the earliest report of it counts."""
        if at > self.completed_at:
            self.crashes[lifetime] = min(at, self.crashes.get(lifetime, math.inf))

    def add_trial(self, attempt_id: str, at: float) -> None:
        """Add an attempt that was sent as a trial."""
        if at > self.completed_at:
            self.trials[attempt_id] = min(at, self.trials.get(attempt_id, math.inf))

    def complete(self, at: float) -> None:
        """Drop what was recorded up to the time at which the request completed."""
        self.completed_at = max(self.completed_at, at)
        self.crashes = {k: t for k, t in self.crashes.items() if t > self.completed_at}
        self.trials = {k: t for k, t in self.trials.items() if t > self.completed_at}

    def needs_trial(self) -> bool:
        """Return whether the request may run only as a trial, one at a time."""
        return len(self.crashes) > MAX_CRASHES_WITHOUT_TRIAL

    def is_trial_running(self, now: float) -> bool:
        """Return whether a trial has been sent whose outcome is not known yet."""
        last_trial_at = max(self.trials.values(), default=-math.inf)
        last_crash_at = max(self.crashes.values(), default=-math.inf)
        return last_trial_at > last_crash_at and now - last_trial_at < TRIAL_BACKOFF_S

    def next_trial_at(self) -> float | None:
        """Return when the next trial may be sent, or None if no further one may."""
        last_trial_at = max(self.trials.values(), default=-math.inf)
        crash_times = sorted(self.crashes.values())
        if len(crash_times) < MAX_CRASHES:
            return last_trial_at + TRIAL_BACKOFF_S
        late_trials = sum(at > crash_times[MAX_CRASHES - 1] for at in self.trials.values())
        if late_trials >= len(LATE_TRIAL_BACKOFFS_S):
            return None
        return max(last_trial_at, crash_times[-1]) + LATE_TRIAL_BACKOFFS_S[late_trials]

    def restarted_at(self) -> float:
        """Return when the upstreams that crashed are expected to be back."""
        return max(self.crashes.values(), default=-math.inf) + TRIAL_BACKOFF_S

    def expires_at(self) -> float:
        """Return when the record is forgotten."""
        times = (*self.crashes.values(), *self.trials.values())
        return max(
            self.completed_at + COMPLETED_RECORD_TTL_S,
            max(times, default=-math.inf) + CRASH_RECORD_TTL_S,
        )

    def merge(self, other: "CrashRecord") -> None:
        """Add what another daemon recorded; the order of merges does not matter."""
        self.complete(other.completed_at)
        for lifetime, at in other.crashes.items():
            self.add_crash(lifetime, at)
        for attempt_id, at in other.trials.items():
            self.add_trial(attempt_id, at)

    def as_row(self, now: float) -> list[Any]:
        """Return the record with ages instead of times, which daemons do not share."""
        return [
            {lifetime: now - at for lifetime, at in self.crashes.items()},
            {attempt_id: now - at for attempt_id, at in self.trials.items()},
            None if math.isinf(self.completed_at) else now - self.completed_at,
        ]

    @classmethod
    def from_row(cls, row: list[Any], now: float) -> "CrashRecord":
        """Create a record from a row that another daemon has just encoded."""
        crash_ages, trial_ages, completed_age = row
        return cls(
            {lifetime: now - age for lifetime, age in crash_ages.items()},
            {attempt_id: now - age for attempt_id, age in trial_ages.items()},
            -math.inf if completed_age is None else now - completed_age,
        )


def digest_records(records: Mapping[str, CrashRecord]) -> int:
    """Return a checksum that is equal for daemons with the same crashes and trials, 0 for none."""
    lines = sorted(
        f"{key} {','.join(sorted(record.crashes))} {','.join(sorted(record.trials))}"
        for key, record in records.items()
        if record.crashes
    )
    return crc32("\n".join(lines).encode())
