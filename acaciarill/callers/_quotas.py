"""Compute customers' quotas of a target's capacity by weighted max-min fairness."""

import math
from collections.abc import Mapping
from dataclasses import dataclass


def max_min_allocation(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return each customer's allocation: its demand, or its weighted share of the remainder."""
    allocation: dict[str, float] = {}
    remaining = capacity
    ordered = sorted(demands, key=lambda name: demands[name] / weights[name])
    total_weight = sum(weights[name] for name in ordered)
    for name in ordered:
        fair_share = remaining * weights[name] / total_weight
        allocation[name] = min(demands[name], fair_share)
        remaining -= allocation[name]
        total_weight -= weights[name]
    return allocation


@dataclass(slots=True, frozen=True)
class Quota:
    """Limit the concurrent requests of one customer at one daemon.

    `guaranteed` of `limit` are the customer's own share; the rest is borrowed from others.
    """

    limit: int
    guaranteed: int


def local_quota(
    customer: str,
    local_demand: float,
    totals: Mapping[str, float],
    capacity: float,
    weights: Mapping[str, float],
    dither: float = 0.0,
) -> Quota:
    """Return the quota of a customer at this daemon.

    `local_demand` is the customer's demand at this daemon, including the request to admit;
    `totals` is the last exchanged demand of each customer over all daemons. `dither`, at least 0
    and below 1, decides which daemons round their part up, so that all parts add up to the
    allocation. The limit is at least 1, so that outdated totals never block a customer.
    """
    demands = {name: float(demand) for name, demand in totals.items() if demand > 0}
    demands[customer] = max(demands.get(customer, 0.0), local_demand)
    local_fraction = local_demand / demands[customer]
    local_part = max_min_allocation(capacity, demands, weights)[customer] * local_fraction
    share = capacity * weights[customer] / sum(weights[name] for name in demands) * local_fraction
    return Quota(max(1, math.floor(local_part + dither)), max(1, math.ceil(share)))
