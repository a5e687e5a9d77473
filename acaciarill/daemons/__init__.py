"""Track the other daemons and exchange configuration, load and demand with them."""

from ._demand import Demand, DemandTable, Relation
from ._heartbeats import HeartbeatService
from ._membership import Membership
from ._occupancies import OccupancyTable

__all__ = ["Demand", "DemandTable", "OccupancyTable", "Membership", "Relation", "HeartbeatService"]
