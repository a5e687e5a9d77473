"""Decide how many upstreams each service gets in each data centre, and order them."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from eliot import log_message

from ..errors import AcaciarillError
from ..fleet import Configuration, Scaling
from ..leases import Lease

WAVES = 0.75
"""Share of the slots of a service that may be asked for before it grows: a step waits for its
longest text, so each item should start at once, and a lost step costs more than an upstream."""
CALM_S = 25.0
"""A service shrinks when a smaller one would have done for so long; a step takes 4 to 12 s."""
ORDER_AGAIN_S = 5.0
"""An order that is not fulfilled is sent again after so long; a boot takes 4 s."""


@dataclass(slots=True, frozen=True)
class FleetDemand:
    """Hold the requests of a service that are running or waiting, and its slots an upstream."""

    requests: int
    slots: int


@dataclass(slots=True)
class FleetPlan:
    """Hold the regular and the cheap upstreams ordered in each data centre."""

    regular: dict[str, int] = field(default_factory=dict)
    calm_since: float | None = None
    ordered_at: float = -math.inf

    @property
    def total(self) -> int:
        """Return how many upstreams are ordered in all."""
        return sum(self.regular.values())


def plan_fleet(
    previous: FleetPlan | None,
    present: dict[str, int],
    demand: FleetDemand,
    scaling: Scaling,
    now: float,
) -> FleetPlan:
    """Return the next plan: grow at once, shrink after a calm while, spread over data centres."""
    needed = math.ceil(demand.requests / (max(1, demand.slots) * WAVES))
    current = previous.total if previous is not None else sum(present.values())
    calm_since = previous.calm_since if previous is not None else None
    target = max(needed, current)
    if needed < current:
        calm_since = now if calm_since is None else calm_since
        if now - calm_since >= CALM_S:
            target, calm_since = current - 1, now
    else:
        calm_since = None
    regular = spread(target, scaling, previous.regular if previous else present)
    at = previous.ordered_at if previous is not None and previous.regular == regular else -math.inf
    return FleetPlan(regular, calm_since, at)


def spread(total: int, scaling: Scaling, before: dict[str, int]) -> dict[str, int]:
    """Divide a number over data centres: evenly, the cheaper ones first, moving little."""
    plan = dict.fromkeys(scaling.prices, scaling.minimum)
    while sum(plan.values()) < total:
        open_places = [name for name in plan if plan[name] < scaling.maximum]
        if not open_places:
            break
        best = min(
            open_places,
            key=lambda name: (
                plan[name] >= before.get(name, 0),
                plan[name],
                scaling.prices[name],
                name,
            ),
        )
        plan[best] += 1
    return plan


OrderCount = Callable[[str, str, int, Lease], Awaitable[bool]]
"""Order a number of upstreams of a service in a data centre, under a lease."""


class ScaleDuty:
    """Order the planned numbers while the lease is held."""

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        present: Callable[[str], dict[str, int]],
        demand: Callable[[str], FleetDemand],
        order: OrderCount,
        clock: Callable[[], float],
    ) -> None:
        self.configuration = configuration
        self.present = present
        self.demand = demand
        self.order = order
        self.clock = clock
        self.plans: dict[str, FleetPlan] = {}

    async def take_over(self, lease: Lease) -> None:
        """Start from what is there: an earlier holder's plan is not known."""
        self.plans.clear()

    async def run_once(self, lease: Lease) -> None:
        """Plan each service that can be scaled, and send the orders that changed."""
        configuration = self.configuration()
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            present = self.present(service.name)
            if not present:
                continue
            now = self.clock()
            previous = self.plans.get(service.name)
            plan = plan_fleet(previous, present, self.demand(service.name), service.scaling, now)
            self.plans[service.name] = plan
            before = previous.regular if previous is not None else present
            for data_centre, count in plan.regular.items():
                short = present.get(data_centre, 0) < count
                again = short and now - plan.ordered_at >= ORDER_AGAIN_S
                if count != before.get(data_centre, 0) or again:
                    plan.ordered_at = now
                    await self._order(service.name, data_centre, count, lease)

    async def _order(self, service: str, data_centre: str, count: int, lease: Lease) -> None:
        try:
            taken = await self.order(service, data_centre, count, lease)
        except AcaciarillError as error:
            log_message(
                message_type="scale:order_failed",
                service=service,
                data_centre=data_centre,
                reason=error.message,
            )
            return
        log_message(
            message_type="scale:ordered",
            service=service,
            data_centre=data_centre,
            count=count,
            taken=taken,
            epoch=lease.epoch,
        )
