"""Decide how many upstreams each service needs in each data centre, and order them."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from eliot import log_message

from ..errors import AcaciarillError
from ..fleet import Configuration, Scaling
from ..leases import Lease

TARGET_SLOT_UTILIZATION = 0.75
"""A service scales up when its requests exceed this share of its slots. A training step waits for
its longest generation, so each request should start at once; a lost step costs more than an
upstream.
"""
SCALE_DOWN_DELAY_S = 25.0
"""A service scales down by one upstream after fewer have sufficed for this long. A training step
takes 4 to 12 s, so a gap between two steps does not scale it down."""
SCALE_ORDER_RESEND_S = 5.0
"""An unfulfilled order is sent again after this time; an upstream boots in 4 s."""


@dataclass(slots=True, frozen=True)
class FleetDemand:
    """Hold the requests of a service's open batches, and the slots of one of its upstreams."""

    requests: int
    slots: int


@dataclass(slots=True)
class FleetPlan:
    """Hold the number of regular upstreams ordered in each data centre; times are in seconds."""

    regular: dict[str, int] = field(default_factory=dict)
    surplus_since: float | None = None
    ordered_at: float = -math.inf

    @property
    def total(self) -> int:
        """Return the number of upstreams ordered in all data centres."""
        return sum(self.regular.values())


def plan_fleet(
    previous: FleetPlan | None,
    upstream_counts: dict[str, int],
    demand: FleetDemand,
    scaling: Scaling,
    now: float,
) -> FleetPlan:
    """Return the next plan: scale up at once, and down by one after SCALE_DOWN_DELAY_S."""
    needed = math.ceil(demand.requests / (max(1, demand.slots) * TARGET_SLOT_UTILIZATION))
    current = previous.total if previous is not None else sum(upstream_counts.values())
    surplus_since = previous.surplus_since if previous is not None else None
    target = max(needed, current)
    if needed < current:
        surplus_since = now if surplus_since is None else surplus_since
        if now - surplus_since >= SCALE_DOWN_DELAY_S:
            target, surplus_since = current - 1, now
    else:
        surplus_since = None
    regular = distribute_upstreams(
        target, scaling, previous.regular if previous else upstream_counts
    )
    ordered_at = (
        previous.ordered_at if previous is not None and previous.regular == regular else -math.inf
    )
    return FleetPlan(regular, surplus_since, ordered_at)


def distribute_upstreams(
    total: int, scaling: Scaling, previous_counts: dict[str, int]
) -> dict[str, int]:
    """Distribute upstreams evenly, the cheaper data centres first, with few changes."""
    plan = dict.fromkeys(scaling.prices, scaling.minimum)
    while sum(plan.values()) < total:
        open_data_centres = [name for name in plan if plan[name] < scaling.maximum]
        if not open_data_centres:
            break
        best = min(
            open_data_centres,
            key=lambda name: (
                plan[name] >= previous_counts.get(name, 0),
                plan[name],
                scaling.prices[name],
                name,
            ),
        )
        plan[best] += 1
    return plan


OrderUpstreamCount = Callable[[str, str, int, Lease], Awaitable[bool]]
"""Order a number of upstreams of a service in a data centre; return whether it was accepted."""


class ScaleDuty:
    """Keep the number of upstreams of each service in line with its demand."""

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        count_upstreams: Callable[[str], dict[str, int]],
        demand: Callable[[str], FleetDemand],
        order_upstream_count: OrderUpstreamCount,
        clock: Callable[[], float],
    ) -> None:
        self.configuration = configuration
        self.count_upstreams = count_upstreams
        self.demand = demand
        self.order_upstream_count = order_upstream_count
        self.clock = clock
        self.plans: dict[str, FleetPlan] = {}

    async def take_over(self, lease: Lease) -> None:
        """Discard old plans: another holder may have ordered since, so plan from current counts."""
        self.plans.clear()

    async def run_once(self, lease: Lease) -> None:
        """Plan each service that can be scaled, and send changed and unfulfilled orders."""
        configuration = self.configuration()
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            upstream_counts = self.count_upstreams(service.name)
            if not upstream_counts:
                continue
            now = self.clock()
            previous = self.plans.get(service.name)
            plan = plan_fleet(
                previous, upstream_counts, self.demand(service.name), service.scaling, now
            )
            self.plans[service.name] = plan
            previous_counts = previous.regular if previous is not None else upstream_counts
            for data_centre, count in plan.regular.items():
                unfulfilled = upstream_counts.get(data_centre, 0) < count
                resend = unfulfilled and now - plan.ordered_at >= SCALE_ORDER_RESEND_S
                if count != previous_counts.get(data_centre, 0) or resend:
                    plan.ordered_at = now
                    await self._send_order(service.name, data_centre, count, lease)

    async def _send_order(self, service: str, data_centre: str, count: int, lease: Lease) -> None:
        try:
            accepted = await self.order_upstream_count(service, data_centre, count, lease)
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
            accepted=accepted,
            epoch=lease.epoch,
        )
