"""Set cost against service over a day's load curve on a virtual clock.

Compares the orders that the product plans with a fixed fleet sized to the peak, while data centres'
cheap upstreams are taken back all at once.
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
PRICE, CHEAP_PRICE = 10.0, 3.5
PEAK_QUEUED = 900.0
RECLAIMS_A_DAY = 6
RECLAIM_LASTS_S = 1_800
SPEND = SpendLimits("m", minimum=1, maximum=60, spare_share=0.2)

Planner = Callable[[Plan | None, Demand], Plan]


@dataclass(slots=True)
class Place:
    """Hold one data centre's plan and what of it runs."""

    plan: Plan | None = None
    regular: int = 0
    cheap: int = 0
    starting: list[tuple[float, int, int]] = field(default_factory=list)
    reclaimed_until: float = 0.0


@dataclass(slots=True)
class Day:
    """Hold a day's cost, and its work and shortfall in slot seconds."""

    cost: float = 0.0
    work: float = 0.0
    short: float = 0.0
    cheap_work: float = 0.0


def load_at(moment: float, rng: random.Random) -> float:
    """Return the demand in requests at once: a daily wave with bursts."""
    wave = 0.55 - 0.45 * math.cos(2 * math.pi * moment / DAY_S)
    burst = 1.0 + (0.3 if rng.random() < 0.01 else 0.0)
    return PEAK_QUEUED * wave * burst * rng.uniform(0.95, 1.05)


def run(planner: Planner, data_centres: int, seed: int) -> Day:
    """Play one day and return its figures."""
    rng = random.Random(seed)
    places = [Place() for _ in range(data_centres)]
    reclaims = sorted(rng.uniform(0, DAY_S) for _ in range(RECLAIMS_A_DAY))
    day, now = Day(), 0.0
    while now < DAY_S:
        while reclaims and reclaims[0] <= now:
            reclaims.pop(0)
            place = rng.choice(places)
            place.cheap, place.reclaimed_until = 0, now + RECLAIM_LASTS_S
        queued = load_at(now, rng)
        for place in places:
            _decide(place, planner, Demand(queued, SLOTS, data_centres), now)
        _account(day, places, queued)
        now += DECISION_PERIOD_S
    return day


def _decide(place: Place, planner: Planner, demand: Demand, now: float) -> None:
    place.plan = plan = planner(place.plan, demand)
    wanted_cheap = plan.cheap if now >= place.reclaimed_until else 0
    plan.record_granted_cheap(wanted_cheap)
    for due, regular, cheap in [entry for entry in place.starting if entry[0] <= now]:
        place.regular = max(place.regular, regular)
        place.cheap = max(place.cheap, cheap if now >= place.reclaimed_until else 0)
        place.starting.remove((due, regular, cheap))
    if plan.regular > place.regular or wanted_cheap > place.cheap:
        place.starting.append((now + START_DELAY_S, plan.regular, wanted_cheap))
    if plan.count <= place.regular + place.cheap:  # let go only once what replaces it runs
        place.regular, place.cheap = min(place.regular, plan.regular), min(place.cheap, plan.cheap)


def _account(day: Day, places: list[Place], queued: float) -> None:
    regular = sum(place.regular for place in places)
    cheap = sum(place.cheap for place in places)
    served = min(queued, (regular + cheap) * SLOTS)
    day.cost += (regular * PRICE + cheap * CHEAP_PRICE) * DECISION_PERIOD_S / 3600
    day.work += queued * DECISION_PERIOD_S
    day.short += (queued - served) * DECISION_PERIOD_S
    if regular + cheap:
        day.cheap_work += served * cheap / (regular + cheap) * DECISION_PERIOD_S


def _fixed(data_centres: int) -> Planner:
    count = math.ceil(PEAK_QUEUED * 1.3 / (SLOTS * TARGET_UTILIZATION) / data_centres)
    return lambda previous, demand: Plan(count)


def _all_cheap(previous: Plan | None, demand: Demand) -> Plan:
    plan = plan_target(previous, demand, SPEND)
    return Plan(0, plan.count, plan.low_load_decisions)


def planners(data_centres: int) -> dict[str, Planner]:
    """Return the ways of ordering that are compared, by label."""
    return {
        "fixed fleet, regular": _fixed(data_centres),
        "planned": lambda previous, demand: plan_target(previous, demand, SPEND),
        "planned size, all cheap": _all_cheap,
    }


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print one row for each way of ordering, for both members' numbers of data centres."""
    print("| data centres | orders | cost a day | work not served at once | on cheap ones |")
    print("| --- | --- | --- | --- | --- |")
    for data_centres in (3, 4):
        for label, planner in planners(data_centres).items():
            day = run(planner, data_centres, seed)
            short, cheap = day.short / day.work, day.cheap_work / day.work
            print(f"| {data_centres} | {label} | {day.cost:.0f} | {short:.3%} | {cheap:.1%} |")


if __name__ == "__main__":
    main()
