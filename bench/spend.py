"""Compare cost and unserved demand of capacity planners over a simulated day, on a virtual clock.

Compares the plans of `acaciarill.capacity` with a fixed fleet that is sized for the peak. At random
times a data centre loses all of its cheap (reclaimable) upstreams at once.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import click

from acaciarill.capacity import Demand, Plan, plan_target
from acaciarill.capacity.const import DECISION_PERIOD_S, TARGET_UTILIZATION
from acaciarill.config import SpendLimits

DAY_S = 86_400
START_DELAY_S = 60.0
SLOTS = 16
PRICE_PER_HOUR, CHEAP_PRICE_PER_HOUR = 10.0, 3.5
PEAK_DEMAND = 900.0
RECLAIMS_PER_DAY = 6
RECLAIM_DURATION_S = 1_800
SPEND = SpendLimits("m", minimum=1, maximum=60, spare_share=0.2)

Planner = Callable[[Plan | None, Demand], Plan]


@dataclass(slots=True)
class DataCentreState:
    """Hold one data centre's plan and its running and starting upstreams."""

    plan: Plan | None = None
    regular: int = 0
    cheap: int = 0
    starting: list[tuple[float, int, int]] = field(default_factory=list)
    reclaimed_until: float = 0.0


@dataclass(slots=True)
class Day:
    """Hold a day's cost, and its demand and unserved demand in slot seconds."""

    cost: float = 0.0
    work: float = 0.0
    shortfall: float = 0.0
    cheap_work: float = 0.0


def demand_at(second_of_day: float, rng: random.Random) -> float:
    """Return the demand in concurrent requests: a daily sine wave with bursts."""
    daily_load = 0.55 - 0.45 * math.cos(2 * math.pi * second_of_day / DAY_S)
    burst = 1.0 + (0.3 if rng.random() < 0.01 else 0.0)
    return PEAK_DEMAND * daily_load * burst * rng.uniform(0.95, 1.05)


def run(planner: Planner, data_centres: int, seed: int) -> Day:
    """Simulate one day and return its totals."""
    rng = random.Random(seed)
    states = [DataCentreState() for _ in range(data_centres)]
    reclaim_times = sorted(rng.uniform(0, DAY_S) for _ in range(RECLAIMS_PER_DAY))
    day, now = Day(), 0.0
    while now < DAY_S:
        while reclaim_times and reclaim_times[0] <= now:
            reclaim_times.pop(0)
            state = rng.choice(states)
            state.cheap, state.reclaimed_until = 0, now + RECLAIM_DURATION_S
        demand_requests = demand_at(now, rng)
        for state in states:
            _apply_plan(state, planner, Demand(demand_requests, SLOTS, data_centres), now)
        _add_cost(day, states, demand_requests)
        now += DECISION_PERIOD_S
    return day


def _apply_plan(state: DataCentreState, planner: Planner, demand: Demand, now: float) -> None:
    state.plan = plan = planner(state.plan, demand)
    requested_cheap = plan.cheap if now >= state.reclaimed_until else 0
    plan.record_granted_cheap(requested_cheap)
    for ready_at, regular, cheap in [entry for entry in state.starting if entry[0] <= now]:
        state.regular = max(state.regular, regular)
        state.cheap = max(state.cheap, cheap if now >= state.reclaimed_until else 0)
        state.starting.remove((ready_at, regular, cheap))
    if plan.regular > state.regular or requested_cheap > state.cheap:
        state.starting.append((now + START_DELAY_S, plan.regular, requested_cheap))
    if (
        plan.count <= state.regular + state.cheap
    ):  # release upstreams only when the replacements run
        state.regular, state.cheap = min(state.regular, plan.regular), min(state.cheap, plan.cheap)


def _add_cost(day: Day, states: list[DataCentreState], demand_requests: float) -> None:
    regular = sum(state.regular for state in states)
    cheap = sum(state.cheap for state in states)
    served = min(demand_requests, (regular + cheap) * SLOTS)
    day.cost += (regular * PRICE_PER_HOUR + cheap * CHEAP_PRICE_PER_HOUR) * DECISION_PERIOD_S / 3600
    day.work += demand_requests * DECISION_PERIOD_S
    day.shortfall += (demand_requests - served) * DECISION_PERIOD_S
    if regular + cheap:
        day.cheap_work += served * cheap / (regular + cheap) * DECISION_PERIOD_S


def _fixed(data_centres: int) -> Planner:
    count = math.ceil(PEAK_DEMAND * 1.3 / (SLOTS * TARGET_UTILIZATION) / data_centres)
    return lambda previous, demand: Plan(count)


def _all_cheap(previous: Plan | None, demand: Demand) -> Plan:
    plan = plan_target(previous, demand, SPEND)
    return Plan(0, plan.count, plan.low_load_decisions)


def planners(data_centres: int) -> dict[str, Planner]:
    """Return the compared capacity planners by label."""
    return {
        "fixed fleet, regular": _fixed(data_centres),
        "planned": lambda previous, demand: plan_target(previous, demand, SPEND),
        "planned size, all cheap": _all_cheap,
    }


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print one row per planner, for the number of data centres of each member."""
    print("| data centres | orders | cost a day | work not served at once | on cheap ones |")
    print("| --- | --- | --- | --- | --- |")
    for data_centres in (3, 4):
        for label, planner in planners(data_centres).items():
            day = run(planner, data_centres, seed)
            shortfall, cheap = day.shortfall / day.work, day.cheap_work / day.work
            print(f"| {data_centres} | {label} | {day.cost:.0f} | {shortfall:.3%} | {cheap:.1%} |")


if __name__ == "__main__":
    main()
