"""Decide when requests may be sent to an upstream that limits its rate.

Pure functions: [rate-limits.md](../../docs/design/rate-limits.md) weighs the design.
"""

from dataclasses import dataclass

from .const import (
    MAX_PROMISED_WAIT_S,
    MIN_RATE,
    PERMIT_BURST_S,
    SUBSTITUTE_RATE_SHARE,
)


@dataclass(slots=True)
class RateBucket:
    """Hold when the last permit of an upstream fell due, on the issuing daemon's clock.

    `promised_until` is the time up to which rejected requests were told to come back.
    """

    last_due_at: float
    promised_until: float = 0.0


@dataclass(slots=True, frozen=True)
class RateLimit:
    """Hold a limit in requests per second, and how long ago a response named it."""

    rate: float
    age_s: float


@dataclass(slots=True, frozen=True)
class Permit:
    """Say whether a request may be sent, and when.

    `wait_s` is the time until it may be sent or, if it is not granted, until it should be tried
    again. `next_s` is the time until the next permit falls due. `limit_lifted` says that the
    upstream no longer limits its rate.
    """

    granted: bool
    wait_s: float
    next_s: float
    limit_lifted: bool = False


def effective_rate(limit: float, is_first: bool) -> float:
    """Return the permits per second that a daemon issues for a limit.

    A daemon that is not the first choice issues few: the first may still issue at the full rate.
    """
    return max(MIN_RATE, limit) * (1.0 if is_first else SUBSTITUTE_RATE_SHARE)


def isolated_rate(limit: float, daemon_count: int) -> float:
    """Return the permits per second of a daemon that reaches no issuer: an equal share."""
    return max(MIN_RATE, limit) / max(1, daemon_count)


def open_bucket(rate: float, now: float) -> RateBucket:
    """Return a bucket with one permit due, as another daemon may have just issued its credit."""
    return RateBucket(now - 1.0 / rate)


def issue_permit(bucket: RateBucket, rate: float, now: float, max_wait_s: float) -> Permit:
    """Issue the next permit if it falls due in time.

    Requests that would have waited are told to come back one after the other as permits fall due.
    """
    interval_s = 1.0 / rate
    due_at = max(bucket.last_due_at + interval_s, now - PERMIT_BURST_S)
    wait_s = max(0.0, due_at - now)
    if wait_s <= max_wait_s:
        bucket.last_due_at = due_at
        return Permit(True, wait_s, max(0.0, due_at + interval_s - now))
    if not max_wait_s:
        return Permit(False, wait_s, wait_s)
    promised_at = max(bucket.promised_until, due_at)
    bucket.promised_until = min(promised_at + interval_s, now + MAX_PROMISED_WAIT_S)
    return Permit(False, promised_at - now, wait_s)
