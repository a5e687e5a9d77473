"""Keep the intent of an order in the store, then send it under the lease."""

from collections.abc import Awaitable, Callable
from typing import Any
from uuid import uuid4

import orjson
from eliot import log_message

from ..config import ConfigCoordinator
from ..errors import LeaseLostError, Step
from ..leases import Lease
from ..object_store import ObjectStore
from ..upstreams import OrderSender
from ._plan import Demand, Plan, plan_target
from .const import INTENT_PREFIX

SendCapacityOrder = Callable[[OrderSender, str, int, dict[str, Any]], Awaitable[Any]]
"""Send an order of upstreams for a data centre under an epoch; raise AcaciarillError."""


def capacity_order_sender(base_url: str) -> SendCapacityOrder:
    """Return the orders to the capacity interface at an address."""

    async def order(sender: OrderSender, data_centre: str, epoch: int, counts: dict) -> Any:
        return await sender.send("PUT", f"{base_url}/orders/{data_centre}", epoch, counts)

    return order


class CapacityOrders:
    """Order one data centre's upstreams with absolute, repeatable orders."""

    def __init__(
        self,
        data_centre: str,
        config: ConfigCoordinator,
        demand_of: Callable[[str, str], Demand | None],
        store: ObjectStore,
        sender: OrderSender,
        order_counts: SendCapacityOrder,
    ) -> None:
        self.data_centre = data_centre
        self.config = config
        self.demand_of = demand_of
        self.store = store
        self.sender = sender
        self.order_counts = order_counts
        self.plans: dict[str, Plan] = {}
        self.sent: dict[str, object] = {}

    async def take_over(self, lease: Lease) -> None:
        """Repeat the intent of the predecessor under the new epoch; raise AcaciarillError."""
        found = await self.store.get(INTENT_PREFIX + self.data_centre)
        self.plans, self.sent = {}, {}
        if found is None:
            return
        intent = orjson.loads(found[0])
        self.plans = {target: Plan(**counts) for target, counts in intent["counts"].items()}
        await self._send(intent, lease)

    async def run_once(self, lease: Lease) -> None:
        """Decide, write the intent when it changed, and send it; raise AcaciarillError."""
        for section in self.config.document.sections.values():
            for spend in section.spend:
                demand = self.demand_of(spend.target, self.data_centre)
                if demand is not None:
                    previous = self.plans.get(spend.target)
                    self.plans[spend.target] = plan_target(previous, demand, spend)
        counts = {
            target: {"regular": plan.regular, "cheap": plan.cheap}
            for target, plan in sorted(self.plans.items())
        }
        if counts == self.sent.get("counts"):
            return
        intent = {"order_id": uuid4().hex, "epoch": lease.epoch, "counts": counts}
        await self._write_intent(intent, lease)
        await self._send(intent, lease)

    async def _write_intent(self, intent: dict, lease: Lease) -> None:
        """Write the intent unless a later epoch has; a successor then finds the newest."""
        name = INTENT_PREFIX + self.data_centre
        found = await self.store.get(name)
        if found is not None and orjson.loads(found[0])["epoch"] > lease.epoch:
            raise LeaseLostError("a later epoch has ordered", step=Step.ORDER, peer=name)
        await self.store.put(name, orjson.dumps(intent), found[1] if found else 0)

    async def _send(self, intent: dict, lease: Lease) -> None:
        order = {"order_id": intent["order_id"], "counts": intent["counts"]}
        answer = await self.order_counts(self.sender, self.data_centre, lease.epoch, order)
        self.sent = intent
        for target, granted in answer.get("granted", {}).items():
            if target in self.plans:
                self.plans[target].record_granted_cheap(int(granted["cheap"]))
        log_message(
            message_type="capacity:ordered", data_centre=self.data_centre, counts=intent["counts"]
        )
