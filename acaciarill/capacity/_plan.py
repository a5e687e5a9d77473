"""Compute how many upstreams a target needs in one data centre, as pure functions.

Cheap upstreams are preemptible: a data centre may take them back all at once.
"""

import math
from dataclasses import dataclass

from ..config import SpendLimits
from .const import (
    CHEAP_RETRY_AFTER_DECISIONS,
    SCALE_DOWN_AFTER_DECISIONS,
    SCALE_DOWN_UTILIZATION,
    TARGET_UTILIZATION,
)


@dataclass(slots=True, frozen=True)
class Demand:
    """Hold the demand for one target over all data centres.

    `outstanding` is the number of running and waiting requests, `slots` the number of requests that
    one upstream runs at once, `data_centres` the number of data centres that share the demand.
    """

    outstanding: float
    slots: int
    data_centres: int = 1


@dataclass(slots=True)
class Plan:
    """Hold the ordered upstreams of one target in one data centre.

    `low_load_decisions` counts the successive decisions for which fewer upstreams were enough.
    `cheap_limit` is the number of cheap upstreams granted when it was lower than ordered, and
    `cheap_limit_age_decisions` the number of decisions since then.
    """

    regular: int
    cheap: int = 0
    low_load_decisions: int = 0
    cheap_limit: int | None = None
    cheap_limit_age_decisions: int = 0

    @property
    def count(self) -> int:
        """Return the number of ordered upstreams."""
        return self.regular + self.cheap

    def record_granted_cheap(self, granted: int) -> None:
        """Record the granted cheap upstreams; the next plan orders regular ones for the rest."""
        if granted < self.cheap:
            self.cheap_limit, self.cheap_limit_age_decisions = granted, 0


def required_upstreams(demand: Demand, spare_share: float) -> int:
    """Return how many upstreams serve a demand at the target utilization, over all data centres."""
    return math.ceil(demand.outstanding * (1 + spare_share) / (demand.slots * TARGET_UTILIZATION))


def max_cheap_upstreams(demand: Demand, spend: SpendLimits, count: int) -> int:
    """Return how many of one data centre's upstreams may be cheap.

    If all of them are lost at once, the remaining upstreams of all data centres still serve the
    demand without the spare share.
    """
    total = count * demand.data_centres
    required_without_spare = max(
        required_upstreams(demand, 0.0), spend.minimum * (demand.data_centres - 1)
    )
    return max(0, min(count, total - required_without_spare))


def plan_target(previous: Plan | None, demand: Demand, spend: SpendLimits) -> Plan:
    """Return the next plan: scale up at once, scale down by one after a period of low load."""
    required = math.ceil(required_upstreams(demand, spend.spare_share) / demand.data_centres)
    required = max(spend.minimum, min(spend.maximum, required))
    count, low_load_decisions = _apply_hysteresis(previous, required, demand, spend)
    cheap = max_cheap_upstreams(demand, spend, count)
    cheap_limit, cheap_limit_age_decisions = _valid_cheap_limit(previous)
    if cheap_limit is not None:
        cheap = min(cheap, cheap_limit)
    return Plan(count - cheap, cheap, low_load_decisions, cheap_limit, cheap_limit_age_decisions)


def _apply_hysteresis(
    previous: Plan | None, required: int, demand: Demand, spend: SpendLimits
) -> tuple[int, int]:
    """Return the number of upstreams to order and the decisions with low load so far."""
    if previous is None or required > previous.count:
        return required, 0
    current = max(spend.minimum, min(spend.maximum, previous.count))
    utilization = demand.outstanding / max(1, current * demand.slots * demand.data_centres)
    if required >= current or utilization > SCALE_DOWN_UTILIZATION:
        return current, 0
    low_load_decisions = previous.low_load_decisions + 1
    if low_load_decisions < SCALE_DOWN_AFTER_DECISIONS:
        return current, low_load_decisions
    return current - 1, 0


def _valid_cheap_limit(previous: Plan | None) -> tuple[int | None, int]:
    """Return the limit of cheap upstreams and its age in decisions; no limit once it is too old."""
    if previous is None or previous.cheap_limit is None:
        return None, 0
    if previous.cheap_limit_age_decisions + 1 >= CHEAP_RETRY_AFTER_DECISIONS:
        return None, 0
    return previous.cheap_limit, previous.cheap_limit_age_decisions + 1
