"""Compute the counts to report for a usage window from the stored shards, without I/O."""

from dataclasses import dataclass, field
from typing import Any

import orjson

from ..stored_forms import build_record
from ._counter import UsageCounts

CoveredCounts = dict[str, dict[str, list[int]]]
"""Counts as [requests, tokens], by incarnation and customer."""


@dataclass(slots=True)
class SealedWindow:
    """Hold the counts reported for a window, and the shard counts that they cover.

    `totals` holds [requests, tokens] by customer. `corrections` adds late counts of earlier
    windows, by window and customer. `covered` holds what was added from each shard, by window.
    """

    window: int
    totals: dict[str, list[int]] = field(default_factory=dict)
    corrections: dict[str, dict[str, list[int]]] = field(default_factory=dict)
    covered: dict[str, CoveredCounts] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the sealed window as JSON."""
        return orjson.dumps(self, option=orjson.OPT_SORT_KEYS)

    @classmethod
    def decode(cls, data: bytes) -> "SealedWindow":
        """Return the sealed window that JSON `data` describes."""
        return build_record(cls, orjson.loads(data))

    def customers(self) -> list[str]:
        """Return the customers with counts or corrections in this window."""
        corrected = {name for by_customer in self.corrections.values() for name in by_customer}
        return sorted(self.totals.keys() | corrected)

    def report(self, customer: str) -> dict[str, Any]:
        """Return the report of one customer; it is the same on every call."""
        requests, tokens = self.totals.get(customer, [0, 0])
        corrections = {
            window: {"requests": by_customer[customer][0], "tokens": by_customer[customer][1]}
            for window, by_customer in sorted(self.corrections.items())
            if customer in by_customer
        }
        return {"requests": requests, "tokens": tokens, "corrections": corrections}


def seal_window(
    window: int,
    shards: dict[int, dict[str, dict[str, UsageCounts]]],
    earlier: list[SealedWindow],
) -> SealedWindow:
    """Sum the shards of a window; add as corrections what `earlier` sealed windows do not cover.

    `shards` maps this window and earlier ones to their counts by incarnation and customer.
    """
    sealed = SealedWindow(window)
    for past_window, by_incarnation in sorted(shards.items()):
        for incarnation, by_customer in by_incarnation.items():
            for customer, counts in by_customer.items():
                covered_counts = _covered_counts(past_window, incarnation, customer, earlier)
                added = [counts.requests - covered_counts[0], counts.tokens - covered_counts[1]]
                if added == [0, 0]:
                    continue
                _add_counts(sealed, past_window, incarnation, customer, added)
    return sealed


def _covered_counts(
    window: int, incarnation: str, customer: str, earlier: list[SealedWindow]
) -> list[int]:
    """Return the requests and tokens of a shard's customer that sealed windows cover."""
    requests = tokens = 0
    for sealed in earlier:
        covered = sealed.covered.get(str(window), {}).get(incarnation, {}).get(customer, [0, 0])
        requests += covered[0]
        tokens += covered[1]
    return [requests, tokens]


def _add_counts(
    sealed: SealedWindow, window: int, incarnation: str, customer: str, added: list[int]
) -> None:
    by_incarnation = sealed.covered.setdefault(str(window), {})
    by_incarnation.setdefault(incarnation, {})[customer] = added
    if window == sealed.window:
        totals = sealed.totals
    else:
        totals = sealed.corrections.setdefault(str(window), {})
    total = totals.setdefault(customer, [0, 0])
    total[0] += added[0]
    total[1] += added[1]
