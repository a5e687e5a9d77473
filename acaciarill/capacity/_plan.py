"""Decide how many upstreams a target needs in one data centre, as pure functions."""

import math
from dataclasses import dataclass

from ..config import Spend
from .const import CHEAP_RETRY_DECISIONS, SHRINK_AFTER_DECISIONS, SHRINK_LOAD, TARGET_UTILIZATION


@dataclass(slots=True, frozen=True)
class Demand:
    """Hold the demand for one target over all data centres.

    `queued` counts requests running or waiting, `slots` what one upstream runs at once,
    `data_centres` how many share the demand.
    """

    queued: float
    slots: int
    data_centres: int = 1


@dataclass(slots=True)
class Plan:
    """Hold an absolute order for one target in one data centre.

    `calm_decisions` counts how long a smaller order would have done; `cheap_limit` is what the
    platform granted when it had fewer cheap ones than ordered, `limited_for` for how long.
    """

    regular: int
    cheap: int = 0
    low_load_decisions: int = 0
    cheap_limit: int | None = None
    limited_for: int = 0

    @property
    def count(self) -> int:
        """Return how many upstreams are ordered."""
        return self.regular + self.cheap

    def record_granted_cheap(self, granted: int) -> None:
        """Note how many cheap ones the platform has; fewer are made up for by the next plan."""
        if granted < self.cheap:
            self.cheap_limit, self.limited_for = granted, 0


def needed_upstreams(demand: Demand, spare_share: float) -> int:
    """Return how many upstreams carry a demand at the target load, over all data centres."""
    return math.ceil(demand.queued * (1 + spare_share) / (demand.slots * TARGET_UTILIZATION))


def cheap_allowance(demand: Demand, spend: Spend, count: int) -> int:
    """Return how many of one data centre's upstreams may be cheap.

    When they vanish all at once, what is left everywhere still carries the demand without the
    spare part.
    """
    ordered = count * demand.data_centres
    bare = max(needed_upstreams(demand, 0.0), spend.minimum * (demand.data_centres - 1))
    return max(0, min(count, ordered - bare))


def plan_target(previous: Plan | None, demand: Demand, spend: Spend) -> Plan:
    """Return the next plan: grow at once, shrink by one step after a calm while."""
    needed = math.ceil(needed_upstreams(demand, spend.spare_share) / demand.data_centres)
    needed = max(spend.minimum, min(spend.maximum, needed))
    count, calm = _with_hysteresis(previous, needed, demand, spend)
    cheap = cheap_allowance(demand, spend, count)
    limit, limited_for = _cheap_limit(previous)
    if limit is not None:
        cheap = min(cheap, limit)
    return Plan(count - cheap, cheap, calm, limit, limited_for)


def _with_hysteresis(
    previous: Plan | None, needed: int, demand: Demand, spend: Spend
) -> tuple[int, int]:
    """Return the count to order and the calm decisions so far."""
    if previous is None or needed > previous.count:
        return needed, 0
    current = max(spend.minimum, min(spend.maximum, previous.count))
    load = demand.queued / max(1, current * demand.slots * demand.data_centres)
    if needed >= current or load > SHRINK_LOAD:
        return current, 0
    calm = previous.low_load_decisions + 1
    if calm < SHRINK_AFTER_DECISIONS:
        return current, calm
    return current - 1, 0


def _cheap_limit(previous: Plan | None) -> tuple[int | None, int]:
    """Return the platform's limit on cheap ones while it is young enough to believe."""
    if previous is None or previous.cheap_limit is None:
        return None, 0
    if previous.limited_for + 1 >= CHEAP_RETRY_DECISIONS:
        return None, 0
    return previous.cheap_limit, previous.limited_for + 1
