"""Count the requests and tokens that this daemon served, by window and customer."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from ..config import ConfigCoordinator
from ..config.const import DEFAULT_USAGE_WINDOW_S


@dataclass(slots=True)
class UsageCounts:
    """Hold the requests and tokens of one customer; both only grow."""

    requests: int = 0
    tokens: int = 0

    def merge_maximum(self, other: "UsageCounts") -> bool:
        """Raise each count to the larger of both; return whether any changed."""
        if other.requests <= self.requests and other.tokens <= self.tokens:
            return False
        self.requests = max(self.requests, other.requests)
        self.tokens = max(self.tokens, other.tokens)
        return True


@dataclass(slots=True, frozen=True)
class ShardKey:
    """Identify a shard: the counts of one daemon for one owner and window.

    `window` is the start of the window in seconds; `incarnation` changes when a daemon restarts.
    """

    owner: str
    window: int
    incarnation: str


class UsageCounter:
    """Hold this daemon's shards; a request counts in the window in which it ended."""

    def __init__(
        self, config: ConfigCoordinator, incarnation: str, wall_clock: Callable[[], float]
    ) -> None:
        self.config = config
        self.incarnation = incarnation
        self.wall_clock = wall_clock
        self.shards: dict[ShardKey, dict[str, UsageCounts]] = {}
        self.changed: set[tuple[ShardKey, str]] = set()

    def window_s(self, owner: str) -> int:
        """Return the length of an owner's windows in seconds."""
        section = self.config.document.sections.get(owner)
        return section.window_s if section else DEFAULT_USAGE_WINDOW_S

    def current_window(self, owner: str) -> int:
        """Return the start of the current window in seconds."""
        length_s = self.window_s(owner)
        return math.floor(self.wall_clock() / length_s) * length_s

    def count(self, customer: str, requests: int, tokens: int) -> None:
        """Count requests that ended now, and their tokens, for a configured customer.

        Requests of open routes have no customer and are not counted.
        """
        customer_entry = self.config.document.customers.get(customer)
        if customer_entry is None:
            return
        key = ShardKey(
            customer_entry.owner, self.current_window(customer_entry.owner), self.incarnation
        )
        counts = self.shards.setdefault(key, {}).setdefault(customer, UsageCounts())
        counts.requests += requests
        counts.tokens += tokens
        self.changed.add((key, customer))

    def pop_changed(self) -> dict[ShardKey, list[str]]:
        """Return the customers whose counts changed since the last call, by shard."""
        by_shard: dict[ShardKey, list[str]] = {}
        for key, customer in self.changed:
            by_shard.setdefault(key, []).append(customer)
        self.changed.clear()
        return by_shard

    def ended_shards(self, include_open: bool = False) -> list[ShardKey]:
        """Return the shards whose window has ended, or all shards for a planned stop."""
        return [
            key
            for key in self.shards
            if include_open or key.window < self.current_window(key.owner)
        ]
