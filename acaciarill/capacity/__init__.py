"""Order upstreams by data centre, sized to the demand."""

from ._orders import CapacityOrders, SendCapacityOrder, counts_orderer
from ._plan import Demand, Plan, cheap_allowance, plan_target

__all__ = [
    "CapacityOrders",
    "Demand",
    "SendCapacityOrder",
    "Plan",
    "cheap_allowance",
    "counts_orderer",
    "plan_target",
]
