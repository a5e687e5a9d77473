"""Share the upstreams of a target among customers: weighted max-min, as pure functions."""

import math
from collections.abc import Mapping
from dataclasses import dataclass


def max_min(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return each customer's allocation: its demand, or its weighted part of what is left."""
    allocation: dict[str, float] = {}
    left = capacity
    waiting = sorted(demands, key=lambda name: demands[name] / weights[name])
    total_weight = sum(weights[name] for name in waiting)
    for name in waiting:
        part = left * weights[name] / total_weight
        allocation[name] = min(demands[name], part)
        left -= allocation[name]
        total_weight -= weights[name]
    return allocation


@dataclass(slots=True, frozen=True)
class Quota:
    """Hold how many requests of a customer may run from one daemon.

    `guaranteed` of them are its own share; what runs beyond is lent by others.
    """

    limit: int
    guaranteed: int


def local_quota(
    customer: str,
    own: float,
    totals: Mapping[str, float],
    capacity: float,
    weights: Mapping[str, float],
    dither: float = 0.0,
) -> Quota:
    """Return what a customer may run from this daemon.

    `own` is the customer's demand here with the request that asks, `totals` the demand of all
    customers over all daemons as last exchanged. `dither`, from 0 up to 1, decides which daemons
    round their part up, so that the parts of all add up to the whole. At least one may run, so
    that an old view never shuts a customer out.
    """
    demands = {name: float(demand) for name, demand in totals.items() if demand > 0}
    demands[customer] = max(demands.get(customer, 0.0), own)
    here = own / demands[customer]
    part = max_min(capacity, demands, weights)[customer] * here
    share = capacity * weights[customer] / sum(weights[name] for name in demands) * here
    return Quota(max(1, math.floor(part + dither)), max(1, math.ceil(share)))
