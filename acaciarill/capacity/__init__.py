"""Order upstreams by data centre, sized to the demand."""

from ._orders import CapacityOrders, SendCapacityOrder, capacity_order_sender
from ._plan import Demand, Plan, cheap_allowance, plan_target

__all__ = [
    "CapacityOrders",
    "Demand",
    "SendCapacityOrder",
    "Plan",
    "cheap_allowance",
    "capacity_order_sender",
    "plan_target",
]
