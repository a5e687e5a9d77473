"""Define how streams are known to daemons: their keys, records and times; pure functions."""

import hashlib
from dataclasses import dataclass

from .const import (
    MAX_STREAM_KEY_CHARACTERS,
    STREAM_AGE_FACTOR,
    STREAM_AGE_MIN_S,
    STREAM_VERSION_TTL_S,
)


@dataclass(slots=True, frozen=True)
class StreamRecord:
    """Hold which software version began a stream, as daemons tell it each other.

    `remaining_s` is how long it is still to be known, in seconds.
    """

    stream_key: str
    software_version: str
    remaining_s: float


def make_stream_key(customer: str, request_id: str) -> str:
    """Return the key of a stream: two customers may use the same id for different requests."""
    return bound_stream_key(f"{len(customer)}:{customer}{request_id}")


def bound_stream_key(stream_key: str) -> str:
    """Return a key as it is, or the digest of a long one: clients choose the ids of requests."""
    if len(stream_key) <= MAX_STREAM_KEY_CHARACTERS:
        return stream_key
    return "digest:" + hashlib.blake2b(stream_key.encode(), digest_size=16).hexdigest()


def stream_age_s(timeout_s: float) -> float:
    """Return for how long clients may take up a stream, by its route's timeout, in seconds."""
    return max(STREAM_AGE_MIN_S, STREAM_AGE_FACTOR * timeout_s)


def record_ttl_s(timeout_s: float) -> float:
    """Return for how long a stream is known, by its route's timeout, in seconds."""
    return max(STREAM_VERSION_TTL_S, stream_age_s(timeout_s))
