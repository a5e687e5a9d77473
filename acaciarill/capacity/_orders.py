"""Store the intent of each capacity order, then send the order under the lease."""

from collections.abc import Awaitable, Callable
from typing import Any
from uuid import uuid4

import orjson
from eliot import log_message

from ..config import ConfigCoordinator
from ..errors import LeaseLostError, Step
from ..leases import Lease
from ..object_store import ObjectStore
from ..stored_forms import build_record
from ..upstreams import OrderSender
from ._plan import Demand, Plan, plan_target
from .const import INTENT_PREFIX

SendCapacityOrder = Callable[[OrderSender, str, int, dict[str, Any]], Awaitable[Any]]
"""Send the order of upstreams for a data centre under an epoch; raise AcaciarillError."""


def capacity_order_sender(base_url: str) -> SendCapacityOrder:
    """Return a function that sends orders to the capacity interface at a base URL."""

    async def send_order(sender: OrderSender, data_centre: str, epoch: int, order: dict) -> Any:
        return await sender.send("PUT", f"{base_url}/orders/{data_centre}", epoch, order)

    return send_order


class CapacityOrders:
    """Order the upstreams of one data centre; orders have absolute counts and may be repeated."""

    def __init__(
        self,
        data_centre: str,
        config: ConfigCoordinator,
        demand_of: Callable[[str, str], Demand | None],
        store: ObjectStore,
        sender: OrderSender,
        send_capacity_order: SendCapacityOrder,
    ) -> None:
        self.data_centre = data_centre
        self.config = config
        self.demand_of = demand_of
        self.store = store
        self.sender = sender
        self.send_capacity_order = send_capacity_order
        self.plans: dict[str, Plan] = {}
        self.last_sent_intent: dict[str, object] = {}

    async def take_over(self, lease: Lease) -> None:
        """Send the stored intent again under the new lease's epoch; raise AcaciarillError."""
        stored = await self.store.get(INTENT_PREFIX + self.data_centre)
        self.plans, self.last_sent_intent = {}, {}
        if stored is None:
            return
        intent = orjson.loads(stored[0])
        self.plans = {
            target: build_record(Plan, counts) for target, counts in intent["counts"].items()
        }
        await self._send(intent, lease)

    async def run_once(self, lease: Lease) -> None:
        """Plan all targets; store and send the order if it changed; raise AcaciarillError."""
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
        if counts == self.last_sent_intent.get("counts"):
            return
        intent = {"order_id": uuid4().hex, "epoch": lease.epoch, "counts": counts}
        await self._write_intent(intent, lease)
        await self._send(intent, lease)

    async def _write_intent(self, intent: dict, lease: Lease) -> None:
        """Store the intent, so that the next lease holder finds it.

        Raise LeaseLostError if the stored intent has a later epoch.
        """
        name = INTENT_PREFIX + self.data_centre
        stored = await self.store.get(name)
        if stored is not None and orjson.loads(stored[0])["epoch"] > lease.epoch:
            raise LeaseLostError("an intent of a later epoch is stored", step=Step.ORDER, peer=name)
        await self.store.put(name, orjson.dumps(intent), stored[1] if stored else 0)

    async def _send(self, intent: dict, lease: Lease) -> None:
        order = {"order_id": intent["order_id"], "counts": intent["counts"]}
        response = await self.send_capacity_order(self.sender, self.data_centre, lease.epoch, order)
        self.last_sent_intent = intent
        for target, granted in response.get("granted", {}).items():
            if target in self.plans:
                self.plans[target].record_granted_cheap(int(granted["cheap"]))
        log_message(
            message_type="capacity:ordered", data_centre=self.data_centre, counts=intent["counts"]
        )
