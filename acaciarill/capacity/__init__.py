"""Order the upstreams of each data centre according to demand."""

from ._orders import CapacityOrders, SendCapacityOrder, capacity_order_sender
from ._plan import Demand, Plan, max_cheap_upstreams, plan_target

__all__ = [
    "CapacityOrders",
    "Demand",
    "Plan",
    "SendCapacityOrder",
    "capacity_order_sender",
    "max_cheap_upstreams",
    "plan_target",
]
