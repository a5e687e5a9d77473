"""Decide how much connections may hold, and which of them give way; pure functions."""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heapify, heappop
from typing import Protocol, TypeVar

from .const import (
    CALLER_CONNECTION_SHARE,
    CONTENT_MEMORY_SHARE,
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    DESCRIPTOR_SHARE,
    LARGE_BODY_SHARE,
    MEMORY_BYTES_PER_CONNECTION,
    MIN_CONNECTIONS,
    RESERVED_DESCRIPTORS,
)


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Limit the bytes that all connections make a process hold, and their number."""

    content_bytes: int = int(DEFAULT_MEMORY_BYTES * CONTENT_MEMORY_SHARE)
    max_connections: int = DEFAULT_MEMORY_BYTES // MEMORY_BYTES_PER_CONNECTION

    @classmethod
    def from_settings(
        cls, memory_bytes: int, max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    ) -> "ConnectionLimits":
        """Return the limits that follow from the memory and the descriptors of a process."""
        free_descriptors = max_descriptors - RESERVED_DESCRIPTORS
        max_connections = min(
            memory_bytes // MEMORY_BYTES_PER_CONNECTION, int(free_descriptors * DESCRIPTOR_SHARE)
        )
        return cls(int(memory_bytes * CONTENT_MEMORY_SHARE), max(MIN_CONNECTIONS, max_connections))

    @property
    def max_caller_connections(self) -> int:
        """Return how many connections callers may have."""
        return int(self.max_connections * CALLER_CONNECTION_SHARE)

    @property
    def large_body_bytes(self) -> int:
        """Return how many bytes all large bodies together may have."""
        return int(self.content_bytes * LARGE_BODY_SHARE)


class Holding(Protocol):
    """Tell what a connection holds, since when it has not gone on, and whether it may give way."""

    held_bytes: int
    progress_at: float

    @property
    def may_yield(self) -> bool:
        """Return whether it may give way."""


HoldingT = TypeVar("HoldingT", bound=Holding)


def choose_yielding(
    holdings: Iterable[HoldingT],
    needed_bytes: int,
    now: float,
    min_stalled_s: float = 0.0,
    bytes_each: int = 0,
) -> list[HoldingT]:
    """Return the connections that give way so that `needed_bytes` become free, if that suffices.

    First comes what holds most for longest without going on; connections that may not give way, or
    that have gone on within `min_stalled_s`, are left out. Each counts `bytes_each` beside what
    it holds.
    """
    candidates = [
        (
            -(holding.held_bytes + bytes_each) * (now - holding.progress_at),
            -holding.held_bytes,
            number,
            holding,
        )
        for number, holding in enumerate(holdings)
        if holding.may_yield and now - holding.progress_at >= min_stalled_s
    ]
    heapify(candidates)
    yielding: list[HoldingT] = []
    while candidates and needed_bytes > 0:
        holding = heappop(candidates)[-1]
        needed_bytes -= holding.held_bytes + bytes_each
        yielding.append(holding)
    return yielding if needed_bytes <= 0 else []
